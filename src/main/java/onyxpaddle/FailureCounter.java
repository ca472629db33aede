package onyxpaddle;

/** Counts failures since the last served call; the count decays exponentially. */
final class FailureCounter {
    /** Time constant of the decay, in nanoseconds. */
    private static final double DEFAULT_DECAY_TIME = 5e9;
    /** Lower bound of {@link #factor}, so that a server is still tried however often it has failed. */
    static final double MIN_FACTOR = 0.02;

    private final double decayTime;
    private final double max;
    private double count;
    long updatedAt;

    FailureCounter() {
        this(DEFAULT_DECAY_TIME, Double.MAX_VALUE);
    }

    FailureCounter(double decayTime, double max) {
        this.decayTime = decayTime;
        this.max = max;
    }

    void add(long now) {
        count = Math.min(max, currentCount(now) + 1);
        updatedAt = now;
    }

    void clear() {
        count = 0;
    }

    void restore(double savedCount, long savedAt) {
        count = Math.min(max, savedCount);
        updatedAt = savedAt;
    }

    double currentCount(long now) {
        return count == 0 ? 0 : count * Math.exp((updatedAt - now) / decayTime);
    }

    /** Factor for a server's chance in the draw: 1 without failures, less with each, never 0. */
    double factor(long now) {
        if (count == 0) {
            return 1;
        }
        double failures = currentCount(now);
        return Math.max(MIN_FACTOR, 1 / (1 + failures * failures));
    }
}
