package onyxpaddle.capacity;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import onyxpaddle.capacity.MeasuredRun.Figure;

/** Combines several runs. A value that several of them contain is taken from the run with the most nodes, or the first of equal ones. */
final class MeasuredRuns {
    /** A figure and the run that contains it. */
    record RunFigure(Figure figure, MeasuredRun run) {
        /** Whether the fleet of the run had at least the design size. */
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

    /** The figure of a role during an event; empty if no run has a finite value for it. */
    Optional<RunFigure> figure(String role, String event, String quantity) {
        return largestFirst.stream().flatMap(run -> run.figures().stream()
            .filter(f -> f.role().equals(role) && f.event().equals(event) && f.quantity().equals(quantity) && Double.isFinite(f.value()))
            .map(f -> new RunFigure(f, run))).findFirst();
    }

    /** The slope of that name, from the run in which it covers the largest size. */
    Optional<MeasuredSlope> slope(String row) {
        return largestFirst.stream().flatMap(run -> run.slopes().stream()).filter(s -> s.row().equals(row) && Double.isFinite(s.slope()))
            .max(Comparator.comparing(MeasuredSlope::largest));
    }

    /** The distinct names of all slopes, in the order of the runs. */
    List<String> slopeRows() {
        return runs.stream().flatMap(run -> run.slopes().stream()).map(MeasuredSlope::row).distinct().toList();
    }

    /** The results of the first run that measured the time added by a node at this call rate. */
    Optional<AddedTimeFigures> addedTime(int perSecond) {
        return runs.stream().map(run -> AddedTimeFigures.of(run, perSecond)).flatMap(Optional::stream).findFirst();
    }
}
