package onyxpaddle.node;

/**
 * The node's single clock: Unix time at the start of the process, advanced by the monotonic counter only. The balancer
 * needs positive times that never step back, and takes a changed start time for a restarted server: as the origin is the
 * Unix epoch, {@code born_ms} converts by a constant factor and the same value always gives the same time. Not final, so
 * that tests can supply their own.
 */
public class Clock {
    private static final long MILLI = 1_000_000L;

    private final long epoch = System.currentTimeMillis() * MILLI;
    private final long start = System.nanoTime();

    /** Nanoseconds since the epoch. */
    public long now() {
        return epoch + (System.nanoTime() - start);
    }

    /**
     * The start of the last poll of the event loop's sockets that did not report what is read now from a watched socket: nothing of
     * that arrived earlier. The current time if the event loop is not observed.
     */
    public long lastPoll() {
        return now();
    }

    /** The start of the event loop's current turn; the current time if the event loop is not observed. */
    public long turnStart() {
        return now();
    }

    /** How late the node handles what is due, such as time-outs, judged by its event loop's recent turns; in nanoseconds. */
    public long lag() {
        return 0;
    }

    /** Converts a discovery entry's {@code born_ms}; 0 stays 0, which means long ago. */
    public static long ofMillis(long millis) {
        return millis * MILLI;
    }
}
