package onyxpaddle.scale;

/** How many whole lists a second a list service makes: a token bucket that holds a tenth of a second's. Time is handed in. */
final class WholeListLimit {
    private static final double NANOS_PER_SECOND = 1e9;
    /** A service that works through calls in turn has this much of its second's work at hand before it turns calls away. */
    private static final double HELD_SECONDS = 0.1;

    private final double perSecond;
    private final double most;
    private double tokens;
    private long filledAt;

    /** {@code perSecond}: whole lists a second, above 0. */
    WholeListLimit(double perSecond, long now) {
        this.perSecond = perSecond;
        this.most = Math.max(1, perSecond * HELD_SECONDS);
        this.tokens = most;
        this.filledAt = now;
    }

    /** Whether one more can be made now; {@code now}: monotonic nanoseconds. */
    boolean takes(long now) {
        tokens = Math.min(most, tokens + (now - filledAt) / NANOS_PER_SECOND * perSecond);
        filledAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
