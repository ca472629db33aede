package onyxpaddle.scale;

import java.util.Arrays;

/** Counts by tenths of a second since a begin; gives the most in a tenth and in any ten tenths in a row. Time is handed in. */
final class RateBins {
    /** Of a bin. */
    static final long BIN_NANOS = 100_000_000L;
    private static final int BINS_PER_SECOND = 10;

    private final long begin;
    private int[] bins = new int[64];
    private int used;

    RateBins(long begin) {
        this.begin = begin;
    }

    void count(long now) {
        int bin = (int) Math.max(0, (now - begin) / BIN_NANOS);
        if (bin >= bins.length) {
            bins = Arrays.copyOf(bins, Math.max(bin + 1, bins.length * 2));
        }
        bins[bin]++;
        used = Math.max(used, bin + 1);
    }

    int mostInABin() {
        return Arrays.stream(bins, 0, used).max().orElse(0);
    }

    /** Of each whole second the most in a bin; the median of these, 0 before the first second is over. */
    double usualMost() {
        int seconds = used / BINS_PER_SECOND;
        double[] most = new double[seconds];
        for (int i = 0; i < seconds * BINS_PER_SECOND; i++) {
            most[i / BINS_PER_SECOND] = Math.max(most[i / BINS_PER_SECOND], bins[i]);
        }
        Arrays.sort(most);
        return seconds == 0 ? 0 : seconds % 2 == 1 ? most[seconds / 2] : (most[seconds / 2 - 1] + most[seconds / 2]) / 2;
    }

    int mostInASecond() {
        int most = 0;
        int sum = 0;
        for (int i = 0; i < used; i++) {
            sum += bins[i];
            sum -= i >= BINS_PER_SECOND ? bins[i - BINS_PER_SECOND] : 0;
            most = Math.max(most, sum);
        }
        return most;
    }
}
