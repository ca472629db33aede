package onyxpaddle.capacity;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;

/**
 * What a role needs in an event.
 *
 * @param cells by column, those that the role has
 * @param namedTime the time that is given for it, in seconds; NaN where none is
 * @param atLeastRatio a ratio that it is known to exceed without its own figure, such as that nothing was in force when the time was
 *     over; NaN where nothing is known
 * @param why the figures that this rests on, in a sentence; empty for none
 */
record CapacityRow(CapacityRole role, CapacityEvent event, Map<CapacityColumn, CapacityCell> cells, double namedTime, double atLeastRatio,
        String why) {
    /** First what nothing carries, among that what a time is given for; then by need divided by budget. */
    static final Comparator<CapacityRow> MOST_NEEDED_FIRST = Comparator.comparing((CapacityRow row) -> row.carried())
        .thenComparing(row -> Double.isNaN(row.namedTime)).thenComparing(row -> -row.sortRatio())
        .thenComparing(CapacityRow::role).thenComparing(CapacityRow::event);

    CapacityRow {
        cells = new EnumMap<>(cells);
    }

    /** Whether there is a mechanism. */
    boolean carried() {
        return !role.packages().isEmpty();
    }

    boolean onTop() {
        return !carried() || ratio() > 1 || atLeastRatio >= 1;
    }

    /** The highest need divided by its budget; NaN where no cell has both. */
    double ratio() {
        CapacityColumn column = worst();
        return column == null ? Double.NaN : cells.get(column).ratio();
    }

    /** The column with the highest ratio; null where none has one. */
    CapacityColumn worst() {
        CapacityColumn worst = null;
        for (CapacityColumn column : cells.keySet()) {
            double ratio = cells.get(column).ratio();
            if (!Double.isNaN(ratio) && (worst == null || ratio > cells.get(worst).ratio())) {
                worst = column;
            }
        }
        return worst;
    }

    private double sortRatio() {
        double own = Double.isNaN(ratio()) ? 0 : ratio();
        return Double.isNaN(atLeastRatio) ? own : Math.max(own, atLeastRatio);
    }

    /** Need divided by budget, as the page shows it. */
    String ratioText() {
        if (!Double.isNaN(atLeastRatio)) {
            return "over " + CapacityCell.number(atLeastRatio);
        }
        CapacityColumn worst = worst();
        if (worst == null) {
            return withoutRatio();
        }
        return CapacityCell.number(ratio()) + " (" + worst.title().toLowerCase(java.util.Locale.ROOT) + ")";
    }

    private String withoutRatio() {
        if (cells.values().stream().anyMatch(cell -> cell.origin() == CapacityCell.Origin.CANNOT_JUDGE)) {
            return "can't be judged here";
        }
        boolean measured = cells.values().stream().anyMatch(cell -> cell.origin() != CapacityCell.Origin.NOT_MEASURED
            && cell.origin() != CapacityCell.Origin.RECKONED);
        return measured ? "no budget at this size" : "not measured";
    }

    /** The packages that carry it, or none. */
    String mechanism() {
        if (!carried()) {
            return "**none**";
        }
        return role == CapacityRole.LIST_SERVICE ? "the platform's service (measured: a stand-in in `scale`)"
            : "`" + String.join("`, `", role.packages()) + "`";
    }
}
