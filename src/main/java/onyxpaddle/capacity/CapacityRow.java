package onyxpaddle.capacity;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;

/**
 * The requirements of a role during an event.
 *
 * @param cells by column; only the columns that apply to the role
 * @param timeLimitSeconds the time limit, in seconds; NaN if there is none
 * @param atLeastRatio a lower bound of the ratio, known without a figure of its own, such as 1 if a change was not in force
 *     everywhere at the time limit; NaN if unknown
 * @param reason a sentence that gives the figures behind this; empty if there are none
 */
record CapacityRow(CapacityRole role, CapacityEvent event, Map<CapacityColumn, CapacityCell> cells, double timeLimitSeconds,
        double atLeastRatio, String reason) {
    /** Rows without a mechanism first, among them those with a time limit first; then by the ratio of requirement to budget. */
    static final Comparator<CapacityRow> BY_PRIORITY = Comparator.comparing((CapacityRow row) -> row.hasMechanism())
        .thenComparing(row -> Double.isNaN(row.timeLimitSeconds)).thenComparing(row -> -row.sortRatio())
        .thenComparing(CapacityRow::role).thenComparing(CapacityRow::event);

    CapacityRow {
        cells = new EnumMap<>(cells);
    }

    /** Whether a package implements the role. */
    boolean hasMechanism() {
        return !role.packages().isEmpty();
    }

    boolean overBudgetOrWithoutMechanism() {
        return !hasMechanism() || ratio() > 1 || atLeastRatio >= 1;
    }

    /** The highest ratio of requirement to budget; NaN if no cell has both. */
    double ratio() {
        CapacityColumn column = worst();
        return column == null ? Double.NaN : cells.get(column).ratio();
    }

    /** The column with the highest ratio; null if no cell has a ratio. */
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

    /** The ratio of requirement to budget as shown on the page. */
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
        if (cells.values().stream().anyMatch(cell -> cell.origin() == CapacityCell.Origin.INCONCLUSIVE)) {
            return "can't be judged here";
        }
        boolean measured = cells.values().stream().anyMatch(cell -> cell.origin() != CapacityCell.Origin.NOT_MEASURED
            && cell.origin() != CapacityCell.Origin.CALCULATED);
        return measured ? "no budget at this size" : "not measured";
    }

    /** The packages that implement the role, as shown on the page. */
    String mechanism() {
        if (!hasMechanism()) {
            return "**none**";
        }
        return role == CapacityRole.LIST_SERVICE ? "the platform's service (measured: a stand-in in `scale`)"
            : "`" + String.join("`, `", role.packages()) + "`";
    }
}
