package onyxpaddle.capacity;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
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

    private final MeasuredRuns runs;

    CapacityPlan(MeasuredRuns runs) {
        this.runs = runs;
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
        if (role.node() || role == CapacityRole.LIST_SERVICE) {
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
        Optional<Found> inForce = runs.figure("configuration", "change", "inForceAfter8s");
        Optional<Found> of = runs.figure("configuration", "change", "ofNodes");
        if (inForce.isEmpty() || of.isEmpty()) {
            return new CapacityRow(CapacityRole.CONFIGURATION, CapacityEvent.CHANGE, cells, DesignSize.IN_FORCE_S, Double.NaN, "");
        }
        double reached = inForce.get().figure().value();
        double all = of.get().figure().value();
        String why = String.format(Locale.ROOT,
            "%.0f of %.0f nodes had a change in force %.0f s after it was made, without a hand on them (%s)", reached, all,
            DesignSize.IN_FORCE_S, inForce.get().run().file());
        double atLeast = reached < all ? 1 : Double.NaN;
        return new CapacityRow(CapacityRole.CONFIGURATION, CapacityEvent.CHANGE, cells, DesignSize.IN_FORCE_S, atLeast, why);
    }

    private CapacityCell cell(CapacityRole role, CapacityEvent event, CapacityColumn column) {
        double budget = budget(role, column);
        Optional<Found> whole = column.quantities().stream().map(q -> runs.figure(role.key(), event.key(), q)).flatMap(Optional::stream)
            .findFirst();
        boolean atSize = whole.isPresent() && (whole.get().atSize() || perNodeOfRealNodes(role, event, column));
        if (!atSize && event == CapacityEvent.CALM) {
            Optional<CapacityCell> bySlope = bySlope(role, column);
            if (bySlope.isPresent()) {
                return bySlope.get().within(budget);
            }
        }
        if (whole.isEmpty()) {
            boolean byChanges = role.node() && column == CapacityColumn.PROCESSOR && event != CapacityEvent.CALM;
            return byChanges ? byChanges(role, event).within(budget) : CapacityCell.notMeasured();
        }
        Found found = whole.get();
        return new CapacityCell(found.figure().value(), unit(found.figure()), atSize ? Origin.MEASURED : Origin.MEASURED_SMALLER,
            "at " + found.run().nodes() + " nodes", budget);
    }

    /** A node's processor time in an event: what it needs when calm, and what the changes that it was told cost by their slope. */
    private CapacityCell byChanges(CapacityRole role, CapacityEvent event) {
        Optional<Found> calm = runs.figure(role.key(), CapacityEvent.CALM.key(), "cpuControl");
        Optional<Found> differences = runs.figure(role.key(), event.key(), "differences");
        Optional<Found> seconds = runs.figure(CapacityRole.LIST_SERVICE.key(), event.key(), "seconds");
        Optional<MeasuredSlope> slope = runs.slope(NODE_SLOPES + ".changes.cpu").filter(MeasuredSlope::linear);
        if (calm.isEmpty() || differences.isEmpty() || seconds.isEmpty() || slope.isEmpty()) {
            return CapacityCell.notMeasured();
        }
        double perSecond = differences.get().figure().value() / seconds.get().figure().value();
        double value = calm.get().figure().value() + slope.get().slope() * perSecond;
        return new CapacityCell(value, slope.get().unit(), slope.get().extrapolated(perSecond) ? Origin.EXTRAPOLATED : Origin.SLOPE,
            slope.get().row(), Double.NaN);
    }

    /** Its unit, and of what it is where that is not a second. */
    private static String unit(MeasuredRun.Figure figure) {
        return switch (figure.quantity()) {
            case "readBytes", "readCpuSeconds" -> figure.unit() + " a reading of one node";
            case "changeSeconds", "changeCpuSeconds" -> figure.unit() + " at a node that is told by hand";
            default -> figure.unit();
        };
    }

    /** What one real node needs when calm does not depend on how many others there are. */
    private static boolean perNodeOfRealNodes(CapacityRole role, CapacityEvent event, CapacityColumn column) {
        boolean own = column == CapacityColumn.PROCESSOR || column == CapacityColumn.MEMORY;
        return event == CapacityEvent.CALM && own && (role.node() || role == CapacityRole.FIGURES_READERS);
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
        double fleet = weaker == Origin.MEASURED_SMALLER ? Double.NaN : DesignSize.fleetBytesPerSecond();
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
        Optional<Found> measured = runs.figure(role.key(), event.key(), "state");
        if (measured.isPresent()) {
            Found found = measured.get();
            return new CapacityCell(found.figure().value(), found.figure().unit(),
                found.atSize() ? Origin.MEASURED : Origin.MEASURED_SMALLER, "at " + found.run().nodes() + " nodes", Double.NaN);
        }
        if (role.node()) {
            return new CapacityCell(role.lines() * DesignSize.LINE_BYTES, "B", Origin.RECKONED, "", Double.NaN);
        }
        return role == CapacityRole.LIST_SERVICE ? new CapacityCell(DesignSize.wholeListBytes(), "B", Origin.RECKONED, "", Double.NaN)
            : CapacityCell.notMeasured();
    }

    private static double budget(CapacityRole role, CapacityColumn column) {
        if (role == CapacityRole.CONFIGURATION && column == CapacityColumn.CURRENT) {
            return DesignSize.IN_FORCE_S;
        }
        if (!role.node()) {
            return Double.NaN;
        }
        return switch (column) {
            case PROCESSOR -> DesignSize.NODE_CORE_PERCENT;
            case MEMORY -> DesignSize.NODE_MEMORY_MIB;
            case WORST_8S -> DesignSize.NODE_BYTES_PER_SECOND * DesignSize.IN_FORCE_S;
            default -> Double.NaN;
        };
    }
}
