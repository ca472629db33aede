package onyxpaddle.budget;

/**
 * Decides whether a pool, or a tenant, may make one more further attempt: as many are allowed as a share of the first attempts of the last
 * ten seconds, plus a fixed rate, so that a pool with little traffic can retry at all (Finagle's {@code RetryBudget}, Linkerd's {@code
 * retryRatio} and {@code minRetriesPerSecond}). Times in nanoseconds, which must not go back.
 *
 * <p>An attempt that replaces one that never ran is free while most attempts succeed, as it adds no work. While most fail, it counts like
 * any other, as it would only move the overload to other servers. While nearly all fail, further attempts that replace ones that may have
 * run are limited to the fixed rate, as by a circuit breaker. This is wrong where a few requests cause most of the failures of a healthy
 * pool, such as a class that always fails.
 */
public final class RetryBudget {
    private static final long SECOND = 1_000_000_000L;
    private static final int WINDOW_S = 10;
    /** Below this many attempts in the window, the share of failures is not significant. */
    private static final int MIN_SAMPLES = 20;
    private static final double MOST_FAIL = 0.5;
    private static final double NEARLY_ALL_FAIL = 0.8;

    private final double share;
    private final double minPerSecond;
    private final long[] slotSecond = new long[WINDOW_S];
    private final int[] firstAttempts = new int[WINDOW_S];
    private final int[] furtherAttempts = new int[WINDOW_S];
    private final int[] successes = new int[WINDOW_S];
    private final int[] failures = new int[WINDOW_S];

    /** {@code share}: further attempts per first attempt, 0 or more; {@code minPerSecond}: further attempts per second besides. */
    public RetryBudget(double share, double minPerSecond) {
        this.share = share;
        this.minPerSecond = minPerSecond;
        java.util.Arrays.fill(slotSecond, Long.MIN_VALUE);
    }

    private int slot(long now) {
        long second = Math.floorDiv(now, SECOND);
        int slot = (int) Math.floorMod(second, (long) WINDOW_S);
        if (slotSecond[slot] != second) {
            slotSecond[slot] = second;
            firstAttempts[slot] = 0;
            furtherAttempts[slot] = 0;
            successes[slot] = 0;
            failures[slot] = 0;
        }
        return slot;
    }

    private int sum(int[] counts, long now) {
        long oldest = Math.floorDiv(now, SECOND) - WINDOW_S + 1;
        int sum = 0;
        for (int i = 0; i < WINDOW_S; i++) {
            sum += slotSecond[i] >= oldest ? counts[i] : 0;
        }
        return sum;
    }

    /** Counts the first attempt of a request. */
    public void firstAttempt(long now) {
        firstAttempts[slot(now)]++;
    }

    /** Counts the end of an attempt. */
    public void ended(long now, boolean success) {
        (success ? successes : failures)[slot(now)]++;
    }

    /** The share of the attempts in the window that failed; 0 where there are too few to tell. */
    public double failureShare(long now) {
        int failed = sum(failures, now);
        int all = failed + sum(successes, now);
        return all < MIN_SAMPLES ? 0 : (double) failed / all;
    }

    /** Whether a further attempt may be made, which is then counted; {@code neverRan}: all before are known not to have run. */
    public boolean mayTry(long now, boolean neverRan) {
        double failureShare = failureShare(now);
        if (neverRan && failureShare <= MOST_FAIL) {
            return true;
        }
        double allowed = failureShare > NEARLY_ALL_FAIL ? 0 : share * sum(firstAttempts, now);
        if (sum(furtherAttempts, now) + 1 > allowed + minPerSecond * WINDOW_S) {
            return false;
        }
        furtherAttempts[slot(now)]++;
        return true;
    }
}
