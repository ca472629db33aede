package onyxpaddle.capacity;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import onyxpaddle.capacity.CapacityCell.Origin;
import onyxpaddle.capacity.MeasuredRuns.RunFigure;

/** Computes the rows of the page, one per role and event, from the measured runs. */
final class CapacityPlan {
    private static final List<CapacityColumn> NODE_COLUMNS = List.of(CapacityColumn.CALLS, CapacityColumn.BYTES_IN,
        CapacityColumn.BYTES_OUT, CapacityColumn.WORST_8S, CapacityColumn.PROCESSOR, CapacityColumn.MEMORY);
    private static final List<CapacityColumn> OTHER_COLUMNS = List.of(CapacityColumn.CALLS, CapacityColumn.MOST_CALLS,
        CapacityColumn.BYTES_IN, CapacityColumn.BYTES_OUT, CapacityColumn.PROCESSOR, CapacityColumn.MEMORY,
        CapacityColumn.PROPAGATION_TIME);
    /** Role part of the slope rows of nodes; a slope row is named {@code ROLE.OVER.QUANTITY}. */
    private static final String NODE_SLOPES = "sidecar";
    /** Size in bytes of the text of a whole list, as a function of its number of lines. */
    private static final String STATE_SLOPE = "sidecar.servers.bytesAWhole";

    private final MeasuredRuns runs;
    private final EventCost events;

    CapacityPlan(MeasuredRuns runs) {
        this.runs = runs;
        this.events = new EventCost(runs);
    }

    /** All rows, ordered by role and event. */
    List<CapacityRow> rows() {
        List<CapacityRow> rows = new ArrayList<>();
        for (CapacityRole role : CapacityRole.values()) {
            for (CapacityEvent event : CapacityEvent.values()) {
                if (event != CapacityEvent.CHANGE || role == CapacityRole.CONFIGURATION) {
                    rows.add(row(role, event));
                }
            }
        }
        return rows;
    }

    /** The rows that are over their budget or without a mechanism, in order of priority. */
    List<CapacityRow> priorityRows() {
        return rows().stream().filter(CapacityRow::overBudgetOrWithoutMechanism).sorted(CapacityRow.BY_PRIORITY).toList();
    }

    private CapacityRow row(CapacityRole role, CapacityEvent event) {
        Map<CapacityColumn, CapacityCell> cells = new EnumMap<>(CapacityColumn.class);
        cells.put(CapacityColumn.STATE, state(role, event));
        for (CapacityColumn column : role.node() ? NODE_COLUMNS : OTHER_COLUMNS) {
            cells.put(column, cell(role, event, column));
        }
        // Events that last only seconds are compared with the byte budget of 8 s instead.
        if (event == CapacityEvent.CALM || event == CapacityEvent.RESTART && (role.node() || role == CapacityRole.LIST_SERVICE)) {
            bytes(role, cells);
        }
        if (event == CapacityEvent.CALM && role == CapacityRole.SIDECAR_MEAN) {
            cells.put(CapacityColumn.ADDED, added(AddedTimeFigures.MEAN_RATE));
        } else if (event == CapacityEvent.CALM && role == CapacityRole.SIDECAR_HOTTEST) {
            cells.put(CapacityColumn.ADDED, added(AddedTimeFigures.HOTTEST_RATE));
        }
        return role == CapacityRole.CONFIGURATION && event == CapacityEvent.CHANGE ? change(cells)
            : new CapacityRow(role, event, cells, Double.NaN, Double.NaN, "");
    }

    /** The row of a configuration change, the only one with a time limit. */
    private CapacityRow change(Map<CapacityColumn, CapacityCell> cells) {
        Optional<RunFigure> inForce = runs.figure("configuration", eventKey(CapacityRole.CONFIGURATION, CapacityEvent.CHANGE),
            "inForceAfter8s");
        Optional<RunFigure> of = runs.figure("configuration", eventKey(CapacityRole.CONFIGURATION, CapacityEvent.CHANGE), "ofNodes");
        if (of.isEmpty()) {
            return new CapacityRow(CapacityRole.CONFIGURATION, CapacityEvent.CHANGE, cells, DesignSize.PROPAGATION_LIMIT_S, Double.NaN, "");
        }
        double all = of.get().figure().value();
        double reached = inForce.map(found -> found.figure().value()).orElse(0.0);
        String reason = String.format(Locale.ROOT, "%.0f of %.0f nodes had a change in force within %.0f s (%s)", reached, all,
            DesignSize.PROPAGATION_LIMIT_S, of.get().run().file());
        double atLeast = reached < all ? 1 : Double.NaN;
        return new CapacityRow(CapacityRole.CONFIGURATION, CapacityEvent.CHANGE, cells, DesignSize.PROPAGATION_LIMIT_S, atLeast, reason);
    }

    /** The event name in result files. Events of the control processes have a prefix, as {@code change} is the manual change. */
    private static String eventKey(CapacityRole role, CapacityEvent event) {
        return role == CapacityRole.CONFIGURATION ? "configuration-" + event.key() : event.key();
    }

    private CapacityCell cell(CapacityRole role, CapacityEvent event, CapacityColumn column) {
        if (role == CapacityRole.CONFIGURATION && event == CapacityEvent.CALM && column == CapacityColumn.CALLS) {
            return new CapacityCell(DesignSize.deliveriesPerSecond(), "deliveries/s", Origin.CALCULATED, "", Double.NaN);
        }
        double budget = budget(role, column);
        Optional<RunFigure> measured = column.quantities().stream().map(q -> runs.figure(role.key(), eventKey(role, event), q))
            .flatMap(Optional::stream).findFirst();
        boolean atSize = measured.isPresent() && (measured.get().atSize() || perNodeOfRealNodes(role, event, column));
        if (!atSize && event == CapacityEvent.CALM) {
            Optional<CapacityCell> fromSlope = fromSlope(role, column);
            if (fromSlope.isPresent()) {
                return fromSlope.get().within(budget);
            }
        }
        if (measured.isEmpty()) {
            boolean fromChanges = role.node() && column == CapacityColumn.PROCESSOR;
            return fromChanges ? events.processor(role, event).within(budget) : CapacityCell.notMeasured();
        }
        RunFigure found = measured.get();
        if (EventCost.acceleratedRate(event, column)) {
            Optional<CapacityCell> daily = events.atDailyRate(found);
            return daily.orElseGet(CapacityCell::notMeasured);
        }
        boolean accelerated = event == CapacityEvent.RESTART;
        String from = Stream.of(atSize ? "" : "at " + found.run().nodes() + " nodes", accelerated ? "made faster" : "")
            .filter(words -> !words.isEmpty()).collect(Collectors.joining(", "));
        boolean counts = !accelerated && (role.node() || role == CapacityRole.CONFIGURATION || atSize);
        return new CapacityCell(found.figure().value(), unit(found.figure()),
            from.isEmpty() ? Origin.MEASURED : Origin.MEASURED_OTHER_CONDITIONS,
            from, counts ? budget : Double.NaN);
    }

    /** The unit, with the operation that it refers to where that is not one second. */
    private static String unit(MeasuredRun.Figure figure) {
        return switch (figure.quantity()) {
            case "readBytes", "readCpuSeconds" -> figure.unit() + " a reading of one node";
            default -> figure.unit();
        };
    }

    /** Whether the value was measured on individual real nodes, so that it does not depend on the size of the fleet. */
    private static boolean perNodeOfRealNodes(CapacityRole role, CapacityEvent event, CapacityColumn column) {
        boolean own = column == CapacityColumn.PROCESSOR || column == CapacityColumn.MEMORY;
        return event == CapacityEvent.CALM && own && role.node() || role == CapacityRole.FIGURES_READERS;
    }

    private Optional<CapacityCell> fromSlope(CapacityRole role, CapacityColumn column) {
        for (String quantity : column.quantities()) {
            Optional<CapacityCell> cell = role.node()
                ? onSlopeAt(NODE_SLOPES + ".services." + quantity, role.watchedServices())
                    .or(() -> onSlopeAt(NODE_SLOPES + ".servers." + quantity, role.lines()))
                : onSlopeAt(role.key() + ".nodes." + quantity, DesignSize.NODES);
            if (cell.isPresent()) {
                return cell;
            }
        }
        return Optional.empty();
    }

    /** The value of a slope at a size; empty if there is no such slope or it is not linear. */
    private Optional<CapacityCell> onSlopeAt(String row, double size) {
        return runs.slope(row).filter(MeasuredSlope::linear).map(slope -> new CapacityCell(slope.at(size), slope.unit(),
            slope.extrapolated(size) ? Origin.EXTRAPOLATED : Origin.SLOPE, row, Double.NaN));
    }

    private static void bytes(CapacityRole role, Map<CapacityColumn, CapacityCell> cells) {
        CapacityCell in = cells.get(CapacityColumn.BYTES_IN);
        CapacityCell out = cells.get(CapacityColumn.BYTES_OUT);
        if (in.origin() == Origin.NOT_MEASURED || out.origin() == Origin.NOT_MEASURED) {
            return;
        }
        Origin weaker = in.origin().compareTo(out.origin()) > 0 ? in.origin() : out.origin();
        double fleet = weaker == Origin.MEASURED_OTHER_CONDITIONS ? Double.NaN : DesignSize.fleetBytesPerSecond();
        cells.put(CapacityColumn.BYTES, new CapacityCell(in.value() + out.value(), in.unit(), weaker, in.from(),
            role.node() ? DesignSize.NODE_BYTES_PER_SECOND : fleet));
    }

    private CapacityCell added(int perSecond) {
        Optional<AddedTimeFigures> figures = runs.addedTime(perSecond);
        if (figures.isEmpty()) {
            return CapacityCell.notMeasured();
        }
        AddedTimeFigures added = figures.get();
        double time = added.time("added p99");
        String noise = "added " + CapacityCell.number(time) + " ms, noise " + CapacityCell.number(added.time("noise p99")) + " ms";
        return new CapacityCell(time, "ms", added.conclusive() ? Origin.MEASURED : Origin.INCONCLUSIVE, noise, DesignSize.ADDED_LATENCY_MS);
    }

    private CapacityCell state(CapacityRole role, CapacityEvent event) {
        Optional<RunFigure> measured = runs.figure(role.key(), eventKey(role, event), "state");
        if (measured.isPresent()) {
            RunFigure found = measured.get();
            return new CapacityCell(found.figure().value(), found.figure().unit(),
                found.atSize() ? Origin.MEASURED : Origin.MEASURED_OTHER_CONDITIONS, "at " + found.run().nodes() + " nodes", Double.NaN);
        }
        if (!role.node() && role != CapacityRole.LIST_SERVICE) {
            return CapacityCell.notMeasured();
        }
        double lines = role.node() ? role.lines() : DesignSize.SERVERS;
        return onSlopeAt(STATE_SLOPE, lines)
            .orElseGet(() -> new CapacityCell(lines * DesignSize.LINE_BYTES, "B", Origin.CALCULATED, "", Double.NaN));
    }

    private static double budget(CapacityRole role, CapacityColumn column) {
        if (role == CapacityRole.CONFIGURATION && column == CapacityColumn.PROPAGATION_TIME) {
            return DesignSize.PROPAGATION_LIMIT_S;
        }
        if (!role.node()) {
            return column == CapacityColumn.PROCESSOR && role == CapacityRole.LIST_SERVICE ? DesignSize.machinesCorePercent() : Double.NaN;
        }
        return switch (column) {
            case PROCESSOR -> DesignSize.NODE_CORE_PERCENT;
            case MEMORY -> DesignSize.NODE_MEMORY_MIB;
            case WORST_8S -> DesignSize.NODE_BYTES_PER_SECOND * DesignSize.PROPAGATION_LIMIT_S;
            default -> Double.NaN;
        };
    }
}
