package onyxpaddle.budget;

/**
 * Whether a pool, or a tenant, may make one more further attempt: as many as a share of the first tries of the last ten
 * seconds, and a few besides, so that a quiet pool may retry at all (Finagle's {@code RetryBudget}, Linkerd's {@code
 * retryRatio} and {@code minRetriesPerSecond}). Time in nanoseconds, never back.
 *
 * <p>An attempt in place of one that never ran costs nothing in a fleet of which most attempts succeed, as it adds no work;
 * where most fail, it counts like any other, since it then only moves the storm. And where nearly all fail, further
 * attempts of those that may have run are stopped but for the few besides: the circuit of last resort. It does harm where
 * few requests make up most of the failures of a sound pool, such as a class that always fails.
 */
public final class RetryBudget {
    private static final long SECOND = 1_000_000_000L;
    private static final int WINDOW = 10;
    /** Attempts in the window from which on shares of failures mean anything. */
    private static final int ENOUGH = 20;
    private static final double MOST_FAIL = 0.5;
    private static final double NEARLY_ALL_FAIL = 0.8;

    private final double share;
    private final double besides;
    private final long[] second = new long[WINDOW];
    private final int[] firsts = new int[WINDOW];
    private final int[] again = new int[WINDOW];
    private final int[] good = new int[WINDOW];
    private final int[] bad = new int[WINDOW];

    /** {@code share}: further attempts for each first one, from 0 on; {@code besides}: so many a second without any. */
    public RetryBudget(double share, double besides) {
        this.share = share;
        this.besides = besides;
        java.util.Arrays.fill(second, Long.MIN_VALUE);
    }

    private int slot(long now) {
        long of = Math.floorDiv(now, SECOND);
        int slot = (int) Math.floorMod(of, (long) WINDOW);
        if (second[slot] != of) {
            second[slot] = of;
            firsts[slot] = 0;
            again[slot] = 0;
            good[slot] = 0;
            bad[slot] = 0;
        }
        return slot;
    }

    private int sum(int[] counts, long now) {
        long oldest = Math.floorDiv(now, SECOND) - WINDOW + 1;
        int sum = 0;
        for (int i = 0; i < WINDOW; i++) {
            sum += second[i] >= oldest ? counts[i] : 0;
        }
        return sum;
    }

    /** A request's first attempt. */
    public void first(long now) {
        firsts[slot(now)]++;
    }

    /** An attempt has ended, well or not. */
    public void ended(long now, boolean well) {
        (well ? good : bad)[slot(now)]++;
    }

    /** The part of the attempts of late that did not end well; 0 where there are too few to tell. */
    public double failing(long now) {
        int failed = sum(bad, now);
        int all = failed + sum(good, now);
        return all < ENOUGH ? 0 : (double) failed / all;
    }

    /** Whether a further attempt may be made, which is then counted; {@code neverRan}: all before are known not to have run. */
    public boolean mayTry(long now, boolean neverRan) {
        double failing = failing(now);
        if (neverRan && failing <= MOST_FAIL) {
            return true;
        }
        double open = failing > NEARLY_ALL_FAIL ? 0 : share * sum(firsts, now);
        if (sum(again, now) + 1 > open + besides * WINDOW) {
            return false;
        }
        again[slot(now)]++;
        return true;
    }
}
