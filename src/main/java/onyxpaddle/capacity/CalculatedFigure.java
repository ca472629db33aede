package onyxpaddle.capacity;

import java.util.List;

/**
 * A figure calculated from given parameters; not measured.
 *
 * @param what the quantity
 * @param how the formula
 * @param budget the limit, in {@code unit}; NaN if there is none
 */
record CalculatedFigure(String what, String how, double value, String unit, double budget) {

    static List<CalculatedFigure> all() {
        double whole = DesignSize.wholeListBytes();
        double nodeBytes = DesignSize.NODE_BYTES_PER_SECOND;
        return List.of(
            none("calls at a node, mean", "240,000 / 920", DesignSize.callsPerNode(), "calls/s"),
            none("deliveries of configuration", "2,000 changes a day x 920 nodes / 86,400 s", DesignSize.deliveriesPerSecond(),
                "a second"),
            none("changes of lists", "(240 + 2) servers a day x 3 changes / 86,400 s", DesignSize.listChangesPerSecond(), "a second"),
            none("calls to the list service for one list that all watch", "920 nodes / 2 s of waiting",
                DesignSize.NODES / DesignSize.WATCH_INTERVAL_S, "calls/s"),
            none("the whole list", "920 lines x 150 B", whole, "B"),
            new CalculatedFigure("the whole list at a node's bytes a second", "138,000 B / 3,000 B/s, beside 8 s",
                whole / nodeBytes, "s", DesignSize.PROPAGATION_LIMIT_S),
            none("one service's list at a node's bytes a second", "920 / 57 lines x 150 B / 3,000 B/s",
                DesignSize.serversPerService() * DesignSize.LINE_BYTES / nodeBytes, "s"),
            none("the most a change may take of a node's bytes", "8 s x 3,000 B/s", DesignSize.PROPAGATION_LIMIT_S * nodeBytes, "B"),
            none("what each of 4 control machines carries at the most", "920 x 3,000 B/s / 4", DesignSize.machineBytesPerSecond(), "B/s"),
            none("a zone is one in 4: nodes gone", "920 / 4; the others get a third more", DesignSize.NODES / 4.0, "nodes"),
            none("a zone is one in 8: nodes gone", "920 / 8; the others get a seventh more", DesignSize.NODES / 8.0, "nodes"),
            none("machines that a majority of 4 needs", "4 / 2 + 1, where parted regions have two each",
                DesignSize.CONTROL_MACHINES / 2 + 1.0, "machines"),
            none("what a request may have added in all", "9 deep x 0.36 ms", DesignSize.DEPTH * DesignSize.ADDED_LATENCY_MS, "ms"));
    }

    private static CalculatedFigure none(String what, String how, double value, String unit) {
        return new CalculatedFigure(what, how, value, unit, Double.NaN);
    }

    /** The ratio of value to budget as shown on the page; empty if there is no budget. */
    String ratio() {
        return Double.isNaN(budget) ? "" : CapacityCell.number(value / budget);
    }
}
