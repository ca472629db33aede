package onyxpaddle.node;

/** The largest value of about the last minute. Does no I/O and gets the time with each call. */
final class RecentMaximum {
    private static final long WINDOW_NANOS = 30_000_000_000L;

    private long windowStart;
    private long current;
    private long previous;

    void record(long value, long now) {
        rotate(now);
        current = Math.max(current, value);
    }

    long get(long now) {
        rotate(now);
        return Math.max(current, previous);
    }

    private void rotate(long now) {
        long elapsed = now - windowStart;
        if (elapsed >= WINDOW_NANOS) {
            previous = elapsed < 2 * WINDOW_NANOS ? current : 0;
            current = 0;
            windowStart = now;
        }
    }
}
