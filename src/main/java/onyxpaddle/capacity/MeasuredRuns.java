package onyxpaddle.capacity;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import onyxpaddle.capacity.MeasuredRun.Figure;

/** Several runs as one: of what more than one has, the run with the most nodes counts, and of equal ones the first. */
final class MeasuredRuns {
    /** A figure and the run that has it. */
    record Found(Figure figure, MeasuredRun run) {
        /** Whether its fleet had the size to design for. */
        boolean atSize() {
            return run.nodes() >= DesignSize.NODES;
        }
    }

    private final List<MeasuredRun> runs;
    private final List<MeasuredRun> largestFirst;

    MeasuredRuns(List<MeasuredRun> runs) {
        this.runs = List.copyOf(runs);
        this.largestFirst = runs.stream().sorted(Comparator.comparing((MeasuredRun run) -> -run.nodes())).toList();
    }

    List<MeasuredRun> all() {
        return runs;
    }

    /** The figure of a role in an event, where a run has one that is a number. */
    Optional<Found> figure(String role, String event, String quantity) {
        return largestFirst.stream().flatMap(run -> run.figures().stream()
            .filter(f -> f.role().equals(role) && f.event().equals(event) && f.quantity().equals(quantity) && Double.isFinite(f.value()))
            .map(f -> new Found(f, run))).findFirst();
    }

    /** The slope of that name, from the run in which it reaches the largest size. */
    Optional<MeasuredSlope> slope(String row) {
        return largestFirst.stream().flatMap(run -> run.slopes().stream()).filter(s -> s.row().equals(row) && Double.isFinite(s.slope()))
            .max(Comparator.comparing(MeasuredSlope::largest));
    }

    /** The names of all slopes, each once, in the order of the runs. */
    List<String> slopeRows() {
        return runs.stream().flatMap(run -> run.slopes().stream()).map(MeasuredSlope::row).distinct().toList();
    }

    /** The time that a node adds at a rate, where a run has measured it. */
    Optional<AddedTimeFigures> addedTime(int perSecond) {
        return runs.stream().map(run -> AddedTimeFigures.of(run, perSecond)).flatMap(Optional::stream).findFirst();
    }
}
