package onyxpaddle.budget;

/**
 * How much less time a node gives the next one than it has itself, so that a timeout is reported by the downstream node before it occurs
 * here. Grows when an attempt times out here without a report from downstream, and shrinks slowly when the report arrives in time. In
 * nanoseconds. Reads only the node's own clock: what is passed on is a duration, never a point in time.
 */
public final class HopMargin {
    private static final long MIN_MARGIN = 1_000_000L;
    private static final long MAX_MARGIN = 100_000_000L;
    private static final double GROWTH = 1.5;
    private static final double SHRINK = 0.98;
    /** The largest fraction of the remaining time that the margin may take. */
    private static final double MAX_FRACTION = 0.2;

    private double margin = 2 * MIN_MARGIN;

    /** The time to give the next node, of this much time left. */
    public long downstreamTimeout(long left) {
        return Math.max(0, left - (long) Math.min(margin, MAX_FRACTION * left));
    }

    /** An attempt timed out here; {@code reported}: the downstream node had reported a timeout of its own. */
    public void timedOut(boolean reported) {
        margin = Math.max(MIN_MARGIN, Math.min(MAX_MARGIN, margin * (reported ? SHRINK : GROWTH)));
    }

    /** An attempt took {@code total} as measured here, and {@code downstream} as the next node reported, if it did. */
    public void completed(long total, long downstream) {
        double transit = Math.max(0, total - downstream);
        margin = Math.max(MIN_MARGIN, Math.min(MAX_MARGIN, margin + 0.05 * (2 * transit - margin)));
    }

    long margin() {
        return (long) margin;
    }
}
