package onyxpaddle.front;

/**
 * Detects by how much a periodic check was delayed. A process that was stopped, or got no processor time, resumes with its clock far
 * ahead and its sockets full of data that arrived meanwhile; idle and read time-outs must not count the time of the stall. It
 * does no I/O.
 */
final class StallDetector {
    /** Delays up to this are normal: a garbage collection, or a long turn of the event loop. */
    static final long TOLERANCE = 50_000_000L;

    private final long interval;
    private long lastCheck;
    private boolean started;

    /** {@code interval}: the planned time between checks, in nanoseconds. */
    StallDetector(long interval) {
        this.interval = interval;
    }

    /** Records a check; returns by how much it is later than planned, in nanoseconds, or 0 if that is normal. */
    long check(long now) {
        long late = started ? now - lastCheck - interval : 0;
        started = true;
        lastCheck = now;
        return late > TOLERANCE ? late : 0;
    }
}
