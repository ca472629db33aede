package onyxpaddle;

/** Failures since the last served call, fading with time. */
final class FailureCounter {
    /** Time in which a count loses most of its height, in nanoseconds. */
    private static final double USUAL_FADE = 5e9;
    /** Share of the draws that is left to a server however often it failed. */
    static final double LEAST_CHANCE = 0.02;

    private final double fade;
    private final double most;
    private double count;
    long at;

    FailureCounter() {
        this(USUAL_FADE, Double.MAX_VALUE);
    }

    FailureCounter(double fade, double most) {
        this.fade = fade;
        this.most = most;
    }

    void add(long now) {
        count = Math.min(most, countNow(now) + 1);
        at = now;
    }

    void clear() {
        count = 0;
    }

    void recall(double known, long then) {
        count = Math.min(most, known);
        at = then;
    }

    double countNow(long now) {
        return count == 0 ? 0 : count * Math.exp((at - now) / fade);
    }

    /** What they leave of a chance: less with each, never nothing. */
    double factor(long now) {
        if (count == 0) {
            return 1;
        }
        double failures = countNow(now);
        return Math.max(LEAST_CHANCE, 1 / (1 + failures * failures));
    }
}
