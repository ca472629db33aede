package onyxpaddle.control;

import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Waits for events that other processes bring about. */
final class Await {
    /** No verdict depends on the machine's speed: far longer than any of the events takes. */
    private static final long END_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long LOOK_MS = 5;

    /** Something that becomes true; what it throws counts as not yet. */
    interface Condition {
        boolean holds() throws Exception;
    }

    private Await() {
    }

    /**
     * Returns once the condition holds.
     *
     * @param what what did not happen, for the message
     * @param state what is known at the end, for the message
     * @return how long it took, in milliseconds
     * @throws AssertionError if it doesn't within a minute
     */
    static long until(String what, Condition condition, Supplier<String> state) throws InterruptedException {
        long begin = System.nanoTime();
        Exception last = null;
        while (true) {
            try {
                if (condition.holds()) {
                    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin);
                }
                last = null;
            } catch (InterruptedException e) {
                throw e;
            } catch (Exception e) {
                last = e;
            }
            if (System.nanoTime() - begin > END_NANOS) {
                throw new AssertionError("not within a minute: " + what + "; " + state.get(), last);
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        }
    }
}
