package onyxpaddle.node;

/**
 * The node's one clock: Unix time at the start of the process, moved on by the monotonic counter only. The module
 * needs positive times that never step back, and takes a changed start time for a restarted server: as the origin
 * is the Unix epoch, {@code born_ms} converts by a constant factor and the same figure always gives the same time. Open, so that a test may hand in another.
 */
public class Clock {
    private static final long MILLI = 1_000_000L;

    private final long epoch = System.currentTimeMillis() * MILLI;
    private final long start = System.nanoTime();

    /** Nanoseconds since the epoch. */
    public long now() {
        return epoch + (System.nanoTime() - start);
    }

    /** What is read from a socket now came at this time or later; a clock that knows nothing of its loop says now. */
    public long earliestArrival() {
        return now();
    }

    /** How late the node comes to what is due, such as a time-out, as its loop went lately; in nanoseconds. */
    public long lag() {
        return 0;
    }

    /** The time of a discovery entry's {@code born_ms}; 0 stays 0, "long ago". */
    public static long ofMillis(long millis) {
        return millis * MILLI;
    }
}
