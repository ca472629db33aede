package onyxpaddle.capacity;

import java.util.Optional;
import java.util.Set;
import onyxpaddle.capacity.CapacityCell.Origin;
import onyxpaddle.capacity.MeasuredRuns.Found;

/** Events are played within seconds: what they cost in the time that they have in earnest. */
final class EventCost {
    /** Events of which changes of lists are all that a node's processor has to do with. */
    private static final Set<CapacityEvent> BY_CHANGES = Set.of(CapacityEvent.RESTART, CapacityEvent.RACK_LOSS,
        CapacityEvent.ZONE_LOSS_QUARTER, CapacityEvent.ZONE_LOSS_EIGHTH, CapacityEvent.REGIONS_PARTED, CapacityEvent.REGIONS_JOINED);
    private static final Set<CapacityColumn> RATES = Set.of(CapacityColumn.CALLS, CapacityColumn.BYTES_IN, CapacityColumn.BYTES_OUT);
    private static final String CHANGES_SLOPE = "sidecar.changes.cpu";

    private final MeasuredRuns runs;

    EventCost(MeasuredRuns runs) {
        this.runs = runs;
    }

    /** Whether what was measured is a rate that the day's restarts have at a pace made faster. */
    static boolean madeFaster(CapacityEvent event, CapacityColumn column) {
        return event == CapacityEvent.RESTART && RATES.contains(column);
    }

    /**
     * A rate of the restarts by the day's pace: what they add to calm in the time of the run, over a day. None where the run's length or
     * the rate when calm is not there.
     */
    Optional<CapacityCell> byTheDaysPace(Found faster) {
        Optional<Found> seconds = runs.figure(CapacityRole.LIST_SERVICE.key(), CapacityEvent.RESTART.key(), "seconds");
        Optional<Found> calm = runs.figure(faster.figure().role(), CapacityEvent.CALM.key(), faster.figure().quantity());
        if (seconds.isEmpty() || calm.isEmpty()) {
            return Optional.empty();
        }
        double calmRate = calm.get().figure().value();
        double added = (faster.figure().value() - calmRate) * seconds.get().figure().value() / DesignSize.SECONDS_A_DAY;
        String from = (faster.atSize() ? "" : "at " + faster.run().nodes() + " nodes, ") + "by the day's pace";
        return Optional.of(new CapacityCell(calmRate + added, faster.figure().unit(), Origin.MEASURED_OTHERWISE, from, Double.NaN));
    }

    /**
     * A node's processor time in an event: what it needs when calm, and by their slope what the changes cost that it was told, spread over
     * the event and over 8 s at least, or over the day for its restarts.
     */
    CapacityCell processor(CapacityRole role, CapacityEvent event) {
        Optional<Found> calm = runs.figure(role.key(), CapacityEvent.CALM.key(), "cpuControl");
        Optional<Found> differences = runs.figure(role.key(), event.key(), "differences");
        Optional<Found> seconds = runs.figure(CapacityRole.LIST_SERVICE.key(), event.key(), "seconds");
        Optional<MeasuredSlope> slope = runs.slope(CHANGES_SLOPE).filter(MeasuredSlope::linear);
        if (!BY_CHANGES.contains(event) || calm.isEmpty() || differences.isEmpty() || seconds.isEmpty() || slope.isEmpty()) {
            return CapacityCell.notMeasured();
        }
        double spread = event == CapacityEvent.RESTART ? DesignSize.SECONDS_A_DAY
            : Math.max(DesignSize.IN_FORCE_S, seconds.get().figure().value());
        double perSecond = differences.get().figure().value() / spread;
        return new CapacityCell(calm.get().figure().value() + slope.get().slope() * perSecond, slope.get().unit(),
            slope.get().extrapolated(perSecond) ? Origin.EXTRAPOLATED : Origin.SLOPE, slope.get().row(), Double.NaN);
    }
}
