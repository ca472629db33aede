package onyxpaddle.scale;

import java.util.Arrays;
import java.util.SplittableRandom;

/** When the calls of an open load are due: drawn before it begins, so that no answer can put a later call off. */
public final class OpenLoadSchedule {
    private static final double NANOS_PER_SECOND = 1e9;

    private OpenLoadSchedule() {
    }

    /**
     * Arrivals of many independent callers (a Poisson process).
     *
     * @param perSecond mean rate, above 0
     * @param durationNanos no call is due at or after this
     * @param seed the same seed gives the same arrivals
     * @return nanoseconds after the load's begin, ascending
     */
    public static long[] poisson(double perSecond, long durationNanos, long seed) {
        if (!(perSecond > 0)) {
            throw new IllegalArgumentException("calls a second: " + perSecond + " is not above 0");
        }
        SplittableRandom random = new SplittableRandom(seed);
        long[] due = new long[16];
        int count = 0;
        double at = interval(random, perSecond);
        while (at < durationNanos) {
            due = count == due.length ? Arrays.copyOf(due, count * 2) : due;
            due[count++] = (long) at;
            at += interval(random, perSecond);
        }
        return Arrays.copyOf(due, count);
    }

    private static double interval(SplittableRandom random, double perSecond) {
        return -Math.log(1 - random.nextDouble()) / perSecond * NANOS_PER_SECOND;
    }
}
