package onyxpaddle.control;

import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Waits for conditions that other processes bring about. */
final class Await {
    /** Far longer than any awaited event takes, so that no result depends on the machine's speed. */
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long POLL_MS = 5;

    /** A condition that is awaited; an exception counts as false. */
    interface Condition {
        boolean holds() throws Exception;
    }

    private Await() {
    }

    /**
     * Polls until the condition holds.
     *
     * @param what the awaited event, for the failure message
     * @param state details for the failure message
     * @return the time waited, in milliseconds
     * @throws AssertionError if it does not hold within a minute
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
            if (System.nanoTime() - begin > TIMEOUT_NANOS) {
                throw new AssertionError("not within a minute: " + what + "; " + state.get(), last);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }
}
