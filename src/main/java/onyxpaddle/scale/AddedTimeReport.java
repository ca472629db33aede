package onyxpaddle.scale;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * What a path adds to a call at one rate, from rounds of a straight block and one through the path. All times in milliseconds.
 *
 * @param perSecond calls a second
 * @param rounds at least two: without a second straight block there is no noise to tell
 */
public record AddedTimeReport(double perSecond, List<Round> rounds) {
    /** What is judged. */
    public static final double JUDGED_PERCENT = 99;

    /** Whether the time that is added keeps to a budget. */
    public enum Verdict {
        /** It does, also if the noise is added to it. */
        WITHIN,
        /** It does not, also if the noise is taken off it. */
        OVER,
        /** The noise is larger than the budget, or the budget lies within the noise, or calls failed. */
        CANNOT_JUDGE
    }

    /** One block of each. */
    record Round(OpenLoadResult straight, OpenLoadResult through) {
        double added(double percent) {
            return through.latencyMs(percent) - straight.latencyMs(percent);
        }
    }

    public AddedTimeReport {
        if (rounds.size() < 2) {
            throw new IllegalArgumentException("two rounds at least, not " + rounds.size());
        }
        rounds = List.copyOf(rounds);
    }

    /** Straight calls, median of the rounds. */
    public double straight(double percent) {
        return median(each(r -> r.straight().latencyMs(percent)));
    }

    /** Calls through the path, median of the rounds. */
    public double through(double percent) {
        return median(each(r -> r.through().latencyMs(percent)));
    }

    /** What is added, median of the rounds. */
    public double added(double percent) {
        return median(added(rounds, percent));
    }

    /** The least that a round had. */
    public double addedLowest(double percent) {
        return Arrays.stream(added(rounds, percent)).min().orElseThrow();
    }

    /** The most that a round had. */
    public double addedHighest(double percent) {
        return Arrays.stream(added(rounds, percent)).max().orElseThrow();
    }

    /** What is added if the calls of all rounds are taken together. */
    public double addedPooled(double percent) {
        return pooledThrough().latencyMs(percent) - pooledStraight().latencyMs(percent);
    }

    /** What two straight blocks in sequence differ by, median: a difference that says nothing of the path. */
    public double noise(double percent) {
        double[] differences = new double[rounds.size() - 1];
        for (int i = 0; i < differences.length; i++) {
            differences[i] = Math.abs(rounds.get(i + 1).straight().latencyMs(percent) - rounds.get(i).straight().latencyMs(percent));
        }
        return median(differences);
    }

    /** How late the generator itself sent its calls, of all blocks. */
    public double sendDelay(double percent) {
        return pooledStraight().with(pooledThrough()).sendDelayMs(percent);
    }

    /** Calls in all blocks of one kind. */
    public long calls() {
        return pooledThrough().latencies().getTotalCount();
    }

    /** Calls that failed or had no answer. */
    public long failures() {
        OpenLoadResult all = pooledStraight().with(pooledThrough());
        return all.failed() + all.unanswered();
    }

    /** Why the first of these failed; empty if none did, or if they only had no answer in time. */
    public String firstFailure() {
        return pooledStraight().with(pooledThrough()).firstFailure();
    }

    /** Judges what is added for 99 in 100 calls; {@code budgetMs}: the most that is allowed. */
    public Verdict verdict(double budgetMs) {
        double added = added(JUDGED_PERCENT);
        double noise = noise(JUDGED_PERCENT);
        if (failures() > 0 || noise > budgetMs) {
            return Verdict.CANNOT_JUDGE;
        }
        if (added + noise <= budgetMs) {
            return Verdict.WITHIN;
        }
        return added - noise > budgetMs ? Verdict.OVER : Verdict.CANNOT_JUDGE;
    }

    /** The verdict in a sentence, with what it comes from. */
    public String sentence(double budgetMs) {
        String said = switch (verdict(budgetMs)) {
            case WITHIN -> "within the budget";
            case OVER -> "over the budget";
            case CANNOT_JUDGE -> "can't be judged here";
        };
        return String.format(Locale.ROOT, "at %.0f calls a second: %s: %.3f ms added for 99 in 100, noise %.3f ms, budget %.2f ms, %d calls failed%s",
            perSecond, said, added(JUDGED_PERCENT), noise(JUDGED_PERCENT), budgetMs, failures(),
            firstFailure().isEmpty() ? "" : " (the first: " + firstFailure() + ")");
    }

    private OpenLoadResult pooledStraight() {
        return rounds.stream().map(Round::straight).reduce(OpenLoadResult::with).orElseThrow();
    }

    private OpenLoadResult pooledThrough() {
        return rounds.stream().map(Round::through).reduce(OpenLoadResult::with).orElseThrow();
    }

    private double[] each(ToDoubleFunction<Round> figure) {
        return rounds.stream().mapToDouble(figure).toArray();
    }

    private static double[] added(List<Round> rounds, double percent) {
        return rounds.stream().mapToDouble(r -> r.added(percent)).toArray();
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int middle = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
    }
}
