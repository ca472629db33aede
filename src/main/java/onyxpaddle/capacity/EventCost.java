package onyxpaddle.capacity;

import java.util.Optional;
import java.util.Set;
import onyxpaddle.capacity.CapacityCell.Origin;
import onyxpaddle.capacity.MeasuredRuns.RunFigure;

/** Converts the cost of events, which measurements simulate within seconds, to the duration that they have in production. */
final class EventCost {
    /** Events whose only effect on the CPU time of a node is through list changes. */
    private static final Set<CapacityEvent> LIST_CHANGE_EVENTS = Set.of(CapacityEvent.RESTART, CapacityEvent.RACK_LOSS,
        CapacityEvent.ZONE_LOSS_QUARTER, CapacityEvent.ZONE_LOSS_EIGHTH, CapacityEvent.REGIONS_PARTITIONED,
        CapacityEvent.REGIONS_RECONNECTED);
    private static final Set<CapacityColumn> RATES = Set.of(CapacityColumn.CALLS, CapacityColumn.BYTES_IN, CapacityColumn.BYTES_OUT);
    private static final String CHANGES_SLOPE = "sidecar.changes.cpu";

    private final MeasuredRuns runs;

    EventCost(MeasuredRuns runs) {
        this.runs = runs;
    }

    /** Whether the measured value is a rate of the accelerated restarts. */
    static boolean acceleratedRate(CapacityEvent event, CapacityColumn column) {
        return event == CapacityEvent.RESTART && RATES.contains(column);
    }

    /**
     * Converts a rate of the accelerated restarts to a daily average: the calm rate, plus what the restarts add to it during the run,
     * averaged over a day. Empty if the duration of the run or the calm rate is missing.
     */
    Optional<CapacityCell> atDailyRate(RunFigure accelerated) {
        Optional<RunFigure> seconds = runs.figure(CapacityRole.LIST_SERVICE.key(), CapacityEvent.RESTART.key(), "seconds");
        Optional<RunFigure> calm = runs.figure(accelerated.figure().role(), CapacityEvent.CALM.key(), accelerated.figure().quantity());
        if (seconds.isEmpty() || calm.isEmpty()) {
            return Optional.empty();
        }
        double calmRate = calm.get().figure().value();
        double added = (accelerated.figure().value() - calmRate) * seconds.get().figure().value() / DesignSize.SECONDS_PER_DAY;
        String from = (accelerated.atSize() ? "" : "at " + accelerated.run().nodes() + " nodes, ") + "by the day's pace";
        return Optional.of(new CapacityCell(calmRate + added, accelerated.figure().unit(), Origin.MEASURED_OTHER_CONDITIONS,
            from, Double.NaN));
    }

    /**
     * CPU time of a node during an event: its calm CPU time plus, from the slope, the cost of the list changes that it received, averaged
     * over the event but at least 8 s, or over a day for restarts.
     */
    CapacityCell processor(CapacityRole role, CapacityEvent event) {
        Optional<RunFigure> calm = runs.figure(role.key(), CapacityEvent.CALM.key(), "cpuControl");
        Optional<RunFigure> differences = runs.figure(role.key(), event.key(), "differences");
        Optional<RunFigure> seconds = runs.figure(CapacityRole.LIST_SERVICE.key(), event.key(), "seconds");
        Optional<MeasuredSlope> slope = runs.slope(CHANGES_SLOPE).filter(MeasuredSlope::linear);
        if (!LIST_CHANGE_EVENTS.contains(event) || calm.isEmpty() || differences.isEmpty() || seconds.isEmpty() || slope.isEmpty()) {
            return CapacityCell.notMeasured();
        }
        double spread = event == CapacityEvent.RESTART ? DesignSize.SECONDS_PER_DAY
            : Math.max(DesignSize.PROPAGATION_LIMIT_S, seconds.get().figure().value());
        double perSecond = differences.get().figure().value() / spread;
        return new CapacityCell(calm.get().figure().value() + slope.get().slope() * perSecond, slope.get().unit(),
            slope.get().extrapolated(perSecond) ? Origin.EXTRAPOLATED : Origin.SLOPE, slope.get().row(), Double.NaN);
    }
}
