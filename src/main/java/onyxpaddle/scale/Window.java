package onyxpaddle.scale;

import java.util.concurrent.TimeUnit;

/** Lets time pass while something is measured. */
final class Window {
    private Window() {
    }

    /** The length of a measurement, in milliseconds; nothing is proved by it. */
    static void pass(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(millis);
    }
}
