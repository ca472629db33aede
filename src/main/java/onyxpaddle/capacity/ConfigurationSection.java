package onyxpaddle.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import onyxpaddle.capacity.MeasuredRuns.Found;

/**
 * What a change of configuration takes, by hand and by the control processes: the rows of the page's section and the sentence that says why
 * this mechanism was built first. No I/O.
 */
final class ConfigurationSection {
    static final String TITLE = "A change of configuration, before and after its mechanism";
    static final List<String> COLUMNS = List.of("When", "In force at the last node", "In force after 8 s", "Control processes: processor time",
        "Control processes: bytes in and out", "A node: processor time (hollow)", "A node: bytes in and out", "Need / budget");

    private static final String CARRIER = CapacityRole.CONFIGURATION.key();
    private static final String NODE = CapacityRole.SIDECAR_MEAN.key();
    private static final String BY_HAND = CapacityEvent.CHANGE.key();

    /** An event as results name it, and as people do. */
    private record Played(String event, String title) {
    }

    private static final List<Played> PLAYED = List.of(new Played(BY_HAND, "before: a file and SIGHUP, by hand"),
        new Played("configuration-calm", "calm"), new Played("configuration-change", "a change for all nodes"),
        new Played("configuration-change-one-service", "a change for one service"),
        new Played("configuration-change-one-dead", "a change for all nodes, one of four processes killed"),
        new Played("configuration-cold-start", "everything starts cold, with the start of the nodes' processes"));

    private final MeasuredRuns runs;

    ConfigurationSection(MeasuredRuns runs) {
        this.runs = runs;
    }

    /** Why it came first, from what was measured without it. */
    String why() {
        Optional<Found> reached = runs.figure(CARRIER, BY_HAND, "inForceAfter8s");
        Optional<Found> all = runs.figure(CARRIER, BY_HAND, "ofNodes");
        String measured = reached.isEmpty() || all.isEmpty() ? "What it needed without one was not measured."
            : String.format(Locale.ROOT, "Measured without it: %.0f of %.0f nodes had a change in force %.0f s after it was made, without a "
                + "hand on them (%s).", reached.get().figure().value(), all.get().figure().value(), DesignSize.IN_FORCE_S,
                reached.get().run().file());
        return String.format(Locale.ROOT, "Of all roles this one stood on top: no package carried it, and of what nothing carried it was the one "
            + "that a time is given for (%.0f s). %s 2,000 changes a day at 920 nodes are %.1f deliveries a second (reckoned).",
            DesignSize.IN_FORCE_S, measured, DesignSize.deliveriesPerSecond());
    }

    /** A row for each event that can be played, in the order of {@link #COLUMNS}. */
    List<List<String>> rows() {
        List<List<String>> rows = new ArrayList<>();
        for (Played played : PLAYED) {
            Optional<Found> any = runs.figure(CARRIER, played.event(), "changeSeconds").or(() -> runs.figure(CARRIER, played.event(), "cpu"));
            String nodes = any.isPresent() ? " (" + any.get().run().nodes() + " nodes)" : "";
            boolean byHand = played.event().equals(BY_HAND);
            rows.add(List.of(played.title() + (byHand ? " (one real node)" : nodes), text(CARRIER, played, "changeSeconds"), reached(played),
                text(CARRIER, played, "cpu"), text(CARRIER, played, "bytes"), text(NODE, played, "cpuHollow"), text(NODE, played, "bytes"),
                ratio(played)));
        }
        return rows;
    }

    private String reached(Played played) {
        Optional<Found> reached = runs.figure(CARRIER, played.event(), "inForceAfter8s");
        Optional<Found> all = runs.figure(CARRIER, played.event(), "ofNodes");
        return all.isEmpty() ? "" : reached.map(found -> CapacityCell.number(found.figure().value())).orElse("not all") + " of "
            + CapacityCell.number(all.get().figure().value());
    }

    private String text(String role, Played played, String quantity) {
        return runs.figure(role, played.event(), quantity)
            .map(found -> CapacityCell.number(found.figure().value()) + " " + found.figure().unit()).orElse("not measured");
    }

    /** The highest of time by 8 s, a node's processor time and its bytes by their budgets. */
    private String ratio(Played played) {
        if (played.event().equals(BY_HAND)) {
            return "over 1.00";
        }
        double highest = Math.max(part(CARRIER, played, "changeSeconds", DesignSize.IN_FORCE_S),
            Math.max(part(NODE, played, "cpuHollow", DesignSize.NODE_CORE_PERCENT), part(NODE, played, "bytes",
                DesignSize.NODE_BYTES_PER_SECOND)));
        return highest < 0 ? "not measured" : CapacityCell.number(highest);
    }

    /** Need by budget; below 0 where it was not measured. */
    private double part(String role, Played played, String quantity, double budget) {
        return runs.figure(role, played.event(), quantity).map(found -> found.figure().value() / budget).orElse(-1.0);
    }
}
