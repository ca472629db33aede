package onyxpaddle.node;

/** The largest value of a recent span of time, which is one to two windows long. Does no I/O and gets the time with each call. */
public final class RecentMaximum {
    private final long window;
    private long windowStart;
    private long current;
    private long previous;

    /** {@code window}: in nanoseconds. */
    public RecentMaximum(long window) {
        this.window = window;
    }

    /** Records a value of now. */
    public void record(long value, long now) {
        rotate(now);
        current = Math.max(current, value);
    }

    /** The largest value that is recent now; 0 if there is none. */
    public long get(long now) {
        rotate(now);
        return Math.max(current, previous);
    }

    private void rotate(long now) {
        long elapsed = now - windowStart;
        if (elapsed >= window) {
            previous = elapsed < 2 * window ? current : 0;
            current = 0;
            windowStart = now;
        }
    }
}
