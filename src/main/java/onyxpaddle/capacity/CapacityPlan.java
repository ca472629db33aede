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
import onyxpaddle.capacity.MeasuredRuns.Found;

/** Makes the rows: each role in calm and in each event, from what was measured. */
final class CapacityPlan {
    private static final List<CapacityColumn> NODE_COLUMNS = List.of(CapacityColumn.CALLS, CapacityColumn.BYTES_IN,
        CapacityColumn.BYTES_OUT, CapacityColumn.WORST_8S, CapacityColumn.PROCESSOR, CapacityColumn.MEMORY);
    private static final List<CapacityColumn> OTHER_COLUMNS = List.of(CapacityColumn.CALLS, CapacityColumn.MOST_CALLS,
        CapacityColumn.BYTES_IN, CapacityColumn.BYTES_OUT, CapacityColumn.PROCESSOR, CapacityColumn.MEMORY, CapacityColumn.CURRENT);
    /** A slope's row is {@code ROLE.OVER.QUANTITY}; those of nodes have this role. */
    private static final String NODE_SLOPES = "sidecar";
    /** Bytes of a whole list's text over its lines. */
    private static final String STATE_SLOPE = "sidecar.servers.bytesAWhole";

    private final MeasuredRuns runs;
    private final EventCost events;

    CapacityPlan(MeasuredRuns runs) {
        this.runs = runs;
        this.events = new EventCost(runs);
    }

    /** All rows, role by role and event by event. */
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

    /** Those over their budget or without a mechanism, the one that is missed most first. */
    List<CapacityRow> top() {
        return rows().stream().filter(CapacityRow::onTop).sorted(CapacityRow.MOST_NEEDED_FIRST).toList();
    }

    private CapacityRow row(CapacityRole role, CapacityEvent event) {
        Map<CapacityColumn, CapacityCell> cells = new EnumMap<>(CapacityColumn.class);
        cells.put(CapacityColumn.STATE, state(role, event));
        for (CapacityColumn column : role.node() ? NODE_COLUMNS : OTHER_COLUMNS) {
            cells.put(column, cell(role, event, column));
        }
        // What is over within seconds has its budget in the bytes of 8 s.
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

    /** The one row that a time is given for. */
    private CapacityRow change(Map<CapacityColumn, CapacityCell> cells) {
        Optional<Found> inForce = runs.figure("configuration", eventKey(CapacityRole.CONFIGURATION, CapacityEvent.CHANGE), "inForceAfter8s");
        Optional<Found> of = runs.figure("configuration", eventKey(CapacityRole.CONFIGURATION, CapacityEvent.CHANGE), "ofNodes");
        if (of.isEmpty()) {
            return new CapacityRow(CapacityRole.CONFIGURATION, CapacityEvent.CHANGE, cells, DesignSize.IN_FORCE_S, Double.NaN, "");
        }
        double all = of.get().figure().value();
        double reached = inForce.map(found -> found.figure().value()).orElse(0.0);
        String why = String.format(Locale.ROOT, "%.0f of %.0f nodes had a change in force within %.0f s (%s)", reached, all, DesignSize.IN_FORCE_S,
            of.get().run().file());
        double atLeast = reached < all ? 1 : Double.NaN;
        return new CapacityRow(CapacityRole.CONFIGURATION, CapacityEvent.CHANGE, cells, DesignSize.IN_FORCE_S, atLeast, why);
    }

    /** As results name the event: those of the control processes have a prefix, as `change` is the one by hand. */
    private static String eventKey(CapacityRole role, CapacityEvent event) {
        return role == CapacityRole.CONFIGURATION ? "configuration-" + event.key() : event.key();
    }

    private CapacityCell cell(CapacityRole role, CapacityEvent event, CapacityColumn column) {
        if (role == CapacityRole.CONFIGURATION && event == CapacityEvent.CALM && column == CapacityColumn.CALLS) {
            return new CapacityCell(DesignSize.deliveriesPerSecond(), "deliveries/s", Origin.RECKONED, "", Double.NaN);
        }
        double budget = budget(role, column);
        Optional<Found> whole = column.quantities().stream().map(q -> runs.figure(role.key(), eventKey(role, event), q)).flatMap(Optional::stream)
            .findFirst();
        boolean atSize = whole.isPresent() && (whole.get().atSize() || perNodeOfRealNodes(role, event, column));
        if (!atSize && event == CapacityEvent.CALM) {
            Optional<CapacityCell> bySlope = bySlope(role, column);
            if (bySlope.isPresent()) {
                return bySlope.get().within(budget);
            }
        }
        if (whole.isEmpty()) {
            boolean fromChanges = role.node() && column == CapacityColumn.PROCESSOR;
            return fromChanges ? events.processor(role, event).within(budget) : CapacityCell.notMeasured();
        }
        Found found = whole.get();
        if (EventCost.madeFaster(event, column)) {
            Optional<CapacityCell> paced = events.byTheDaysPace(found);
            return paced.orElseGet(CapacityCell::notMeasured);
        }
        boolean faster = event == CapacityEvent.RESTART;
        String from = Stream.of(atSize ? "" : "at " + found.run().nodes() + " nodes", faster ? "made faster" : "")
            .filter(words -> !words.isEmpty()).collect(Collectors.joining(", "));
        boolean counts = !faster && (role.node() || role == CapacityRole.CONFIGURATION || atSize);
        return new CapacityCell(found.figure().value(), unit(found.figure()), from.isEmpty() ? Origin.MEASURED : Origin.MEASURED_OTHERWISE,
            from, counts ? budget : Double.NaN);
    }

    /** Its unit, and of what it is where that is not a second. */
    private static String unit(MeasuredRun.Figure figure) {
        return switch (figure.quantity()) {
            case "readBytes", "readCpuSeconds" -> figure.unit() + " a reading of one node";
            default -> figure.unit();
        };
    }

    /** What was measured at real nodes, one by one, does not depend on how many others there are. */
    private static boolean perNodeOfRealNodes(CapacityRole role, CapacityEvent event, CapacityColumn column) {
        boolean own = column == CapacityColumn.PROCESSOR || column == CapacityColumn.MEMORY;
        return event == CapacityEvent.CALM && own && role.node() || role == CapacityRole.FIGURES_READERS;
    }

    private Optional<CapacityCell> bySlope(CapacityRole role, CapacityColumn column) {
        for (String quantity : column.quantities()) {
            Optional<CapacityCell> cell = role.node()
                ? onLine(NODE_SLOPES + ".services." + quantity, role.watched())
                    .or(() -> onLine(NODE_SLOPES + ".servers." + quantity, role.lines()))
                : onLine(role.key() + ".nodes." + quantity, DesignSize.NODES);
            if (cell.isPresent()) {
                return cell;
            }
        }
        return Optional.empty();
    }

    /** A value on a slope; none where there is no such slope, or where it is no line and the size lies beyond those measured. */
    private Optional<CapacityCell> onLine(String row, double size) {
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
        double fleet = weaker == Origin.MEASURED_OTHERWISE ? Double.NaN : DesignSize.fleetBytesPerSecond();
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
        return new CapacityCell(time, "ms", added.judged() ? Origin.MEASURED : Origin.CANNOT_JUDGE, noise, DesignSize.ADDED_MS);
    }

    private CapacityCell state(CapacityRole role, CapacityEvent event) {
        Optional<Found> measured = runs.figure(role.key(), eventKey(role, event), "state");
        if (measured.isPresent()) {
            Found found = measured.get();
            return new CapacityCell(found.figure().value(), found.figure().unit(),
                found.atSize() ? Origin.MEASURED : Origin.MEASURED_OTHERWISE, "at " + found.run().nodes() + " nodes", Double.NaN);
        }
        if (!role.node() && role != CapacityRole.LIST_SERVICE) {
            return CapacityCell.notMeasured();
        }
        double lines = role.node() ? role.lines() : DesignSize.SERVERS;
        return onLine(STATE_SLOPE, lines)
            .orElseGet(() -> new CapacityCell(lines * DesignSize.LINE_BYTES, "B", Origin.RECKONED, "", Double.NaN));
    }

    private static double budget(CapacityRole role, CapacityColumn column) {
        if (role == CapacityRole.CONFIGURATION && column == CapacityColumn.CURRENT) {
            return DesignSize.IN_FORCE_S;
        }
        if (!role.node()) {
            return column == CapacityColumn.PROCESSOR && role == CapacityRole.LIST_SERVICE ? DesignSize.machinesCorePercent() : Double.NaN;
        }
        return switch (column) {
            case PROCESSOR -> DesignSize.NODE_CORE_PERCENT;
            case MEMORY -> DesignSize.NODE_MEMORY_MIB;
            case WORST_8S -> DesignSize.NODE_BYTES_PER_SECOND * DesignSize.IN_FORCE_S;
            default -> Double.NaN;
        };
    }
}
