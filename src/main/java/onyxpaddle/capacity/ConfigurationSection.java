package onyxpaddle.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import onyxpaddle.capacity.MeasuredRuns.RunFigure;

/**
 * The cost of a configuration change, made manually and through the control processes: the rows of this section of the page and the
 * sentence that explains why this mechanism was built first. Does no I/O.
 */
final class ConfigurationSection {
    static final String TITLE = "A change of configuration, before and after its mechanism";
    static final List<String> COLUMNS = List.of("When", "In force at the last node", "In force after 8 s",
        "Control processes: processor time", "Control processes: bytes in and out", "A node: processor time (hollow)",
        "A node: bytes in and out", "Need / budget");

    private static final String CONFIGURATION_ROLE = CapacityRole.CONFIGURATION.key();
    private static final String NODE_ROLE = CapacityRole.SIDECAR_MEAN.key();
    private static final String MANUAL_CHANGE = CapacityEvent.CHANGE.key();

    /** An event by its name in result files, and its title. */
    private record ConfigurationEvent(String key, String title) {
    }

    private static final List<ConfigurationEvent> EVENTS = List.of(
        new ConfigurationEvent(MANUAL_CHANGE, "before: a file and SIGHUP, by hand"),
        new ConfigurationEvent("configuration-calm", "calm"), new ConfigurationEvent("configuration-change", "a change for all nodes"),
        new ConfigurationEvent("configuration-change-one-service", "a change for one service"),
        new ConfigurationEvent("configuration-change-one-dead", "a change for all nodes, one of four processes killed"),
        new ConfigurationEvent("configuration-cold-start", "everything starts cold, with the start of the nodes' processes"));

    private final MeasuredRuns runs;

    ConfigurationSection(MeasuredRuns runs) {
        this.runs = runs;
    }

    /** Explains why this mechanism was built first, from the measurements without it. */
    String reason() {
        Optional<RunFigure> reached = runs.figure(CONFIGURATION_ROLE, MANUAL_CHANGE, "inForceAfter8s");
        Optional<RunFigure> all = runs.figure(CONFIGURATION_ROLE, MANUAL_CHANGE, "ofNodes");
        String measured = reached.isEmpty() || all.isEmpty() ? "What it needed without one was not measured."
            : String.format(Locale.ROOT, "Measured without it: %.0f of %.0f nodes had a change in force %.0f s after it was made, without a "
                + "hand on them (%s).", reached.get().figure().value(), all.get().figure().value(), DesignSize.PROPAGATION_LIMIT_S,
                reached.get().run().file());
        return String.format(Locale.ROOT, "Of all roles this one stood on top: no package carried it, and of what nothing carried it was the one "
            + "that a time is given for (%.0f s). %s 2,000 changes a day at 920 nodes are %.1f deliveries a second (reckoned).",
            DesignSize.PROPAGATION_LIMIT_S, measured, DesignSize.deliveriesPerSecond());
    }

    /** One row per event, with the cells in the order of {@link #COLUMNS}. */
    List<List<String>> rows() {
        List<List<String>> rows = new ArrayList<>();
        for (ConfigurationEvent event : EVENTS) {
            Optional<RunFigure> any = runs.figure(CONFIGURATION_ROLE, event.key(), "changeSeconds")
                .or(() -> runs.figure(CONFIGURATION_ROLE, event.key(), "cpu"));
            String nodes = any.isPresent() ? " (" + any.get().run().nodes() + " nodes)" : "";
            boolean manual = event.key().equals(MANUAL_CHANGE);
            rows.add(List.of(event.title() + (manual ? " (one real node)" : nodes),
                text(CONFIGURATION_ROLE, event, "changeSeconds"), reached(event),
                text(CONFIGURATION_ROLE, event, "cpu"), text(CONFIGURATION_ROLE, event, "bytes"),
                text(NODE_ROLE, event, "cpuHollow"), text(NODE_ROLE, event, "bytes"), ratio(event)));
        }
        return rows;
    }

    private String reached(ConfigurationEvent event) {
        Optional<RunFigure> reached = runs.figure(CONFIGURATION_ROLE, event.key(), "inForceAfter8s");
        Optional<RunFigure> all = runs.figure(CONFIGURATION_ROLE, event.key(), "ofNodes");
        return all.isEmpty() ? "" : reached.map(found -> CapacityCell.number(found.figure().value())).orElse("not all") + " of "
            + CapacityCell.number(all.get().figure().value());
    }

    private String text(String role, ConfigurationEvent event, String quantity) {
        return runs.figure(role, event.key(), quantity)
            .map(found -> CapacityCell.number(found.figure().value()) + " " + found.figure().unit()).orElse("not measured");
    }

    /** The highest ratio to the budget among propagation time, a node's CPU time and a node's bytes. */
    private String ratio(ConfigurationEvent event) {
        if (event.key().equals(MANUAL_CHANGE)) {
            return "over 1.00";
        }
        double highest = Math.max(budgetRatio(CONFIGURATION_ROLE, event, "changeSeconds", DesignSize.PROPAGATION_LIMIT_S),
            Math.max(budgetRatio(NODE_ROLE, event, "cpuHollow", DesignSize.NODE_CORE_PERCENT), budgetRatio(NODE_ROLE, event, "bytes",
                DesignSize.NODE_BYTES_PER_SECOND)));
        return highest < 0 ? "not measured" : CapacityCell.number(highest);
    }

    /** The ratio of a requirement to its budget; negative if it was not measured. */
    private double budgetRatio(String role, ConfigurationEvent event, String quantity, double budget) {
        return runs.figure(role, event.key(), quantity).map(found -> found.figure().value() / budget).orElse(-1.0);
    }
}
