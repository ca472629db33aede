package onyxpaddle.budget;

/**
 * How much less time than it has itself a node gives the next one, so that the answer that time has run out comes from
 * below before it would be given here. Grows where attempts run out here with no word from below, shrinks slowly where the
 * word comes in time. In nanoseconds. No clock but the node's own is read: what goes down is a span, never a moment.
 */
public final class HopMargin {
    private static final long LEAST = 1_000_000L;
    private static final long MOST = 100_000_000L;
    private static final double GROWTH = 1.5;
    private static final double SHRINK = 0.98;
    /** The most of the time left that is kept back. */
    private static final double LARGEST_PART = 0.2;

    private double margin = 2 * LEAST;

    /** What to give of so much time left. */
    public long below(long left) {
        return Math.max(0, left - (long) Math.min(margin, LARGEST_PART * left));
    }

    /** An attempt ran out of time here: {@code told}, with the word from below that it had run out there, or without. */
    public void ranOut(boolean told) {
        margin = Math.max(LEAST, Math.min(MOST, margin * (told ? SHRINK : GROWTH)));
    }

    /** An attempt took {@code whole} as seen from here and {@code inside} as it was told from below, if it was. */
    public void took(long whole, long inside) {
        double passing = Math.max(0, whole - inside);
        margin = Math.max(LEAST, Math.min(MOST, margin + 0.05 * (2 * passing - margin)));
    }

    long margin() {
        return (long) margin;
    }
}
