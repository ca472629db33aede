package onyxpaddle.capacity;

import java.util.Map;
import java.util.Optional;

/** Results of {@code bin/measure added-time} at one call rate; times in milliseconds. */
final class AddedTimeFigures {
    /** The measured call rates per second: that of an average node and that of a busy one. */
    static final int MEAN_RATE = 261;
    static final int HOTTEST_RATE = 1_000;
    private static final int WITHIN = 0;
    private static final int OVER = 1;

    private final MeasuredRun run;
    private final int perSecond;
    private final Map<String, Double> figures;

    private AddedTimeFigures(MeasuredRun run, int perSecond) {
        this.run = run;
        this.perSecond = perSecond;
        this.figures = run.plain();
    }

    /** The results of a run at this rate; empty if the run did not measure it. */
    static Optional<AddedTimeFigures> of(MeasuredRun run, int perSecond) {
        AddedTimeFigures figures = new AddedTimeFigures(run, perSecond);
        return Double.isNaN(figures.time("added p99")) ? Optional.empty() : Optional.of(figures);
    }

    MeasuredRun run() {
        return run;
    }

    /** A time by its name, such as {@code straight p50}; NaN if the run has no time of that name. */
    double time(String name) {
        return plain(name + " (ms)");
    }

    double calls() {
        return plain("calls through");
    }

    /** Calls that failed or got no answer, both direct ones and those through the node. */
    double failed() {
        return plain("calls failed");
    }

    double rounds() {
        return plain("rounds");
    }

    double coresAllowed() {
        return figures.getOrDefault("added-time cores allowed", Double.NaN);
    }

    double coresUsedByOthers() {
        return figures.getOrDefault("added-time cores used by others, mean", Double.NaN);
    }

    /** Whether the run was precise enough to compare the time with its budget. */
    boolean conclusive() {
        double verdict = plain("verdict (0 within, 1 over, 2 can't be judged)");
        return verdict == WITHIN || verdict == OVER;
    }

    private double plain(String name) {
        return figures.getOrDefault("added-time " + perSecond + "/s " + name, Double.NaN);
    }
}
