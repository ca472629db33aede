package onyxpaddle.siteplan;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import onyxpaddle.site.FailoverPlan;
import onyxpaddle.site.FailoverPlan.Case;
import onyxpaddle.site.Fleet;

/** Formats a failover plan for operators. */
public final class PlanReport {
    /** Factors of the configured capacities for which the report shows how sensitive the plan is to a wrong capacity. */
    private static final double[] CAPACITY_FACTORS = {0.7, 1.3};

    private PlanReport() {
    }

    /** One line for each loss. */
    public static List<String> table(Fleet fleet, FailoverPlan plan) {
        List<String> lines = new ArrayList<>();
        lines.add(String.format("%-24s %9s  %-40s %s", "lost", "worth", "refused", "utilization of survivors"));
        for (Case c : plan.cases()) {
            lines.add(String.format(Locale.ROOT, "%-24s %8.1f%%  %-40s %s", name(c.lost()), 100 * c.evaluation().worth() / fleet.worth(),
                refused(fleet, c), percents(c.evaluation().utilization())));
        }
        return lines;
    }

    private static String name(Set<String> lost) {
        return lost.isEmpty() ? "none" : String.join(", ", lost);
    }

    private static String refused(Fleet fleet, Case c) {
        String all = fleet.refusalOrder().stream().filter(name -> c.served().get(name) < 1)
            .map(name -> String.format(Locale.ROOT, "%s %.1f%%", name, 100 * (1 - c.served().get(name)))).collect(Collectors.joining(", "));
        return all.isEmpty() ? "nothing" : all;
    }

    private static String percents(Map<String, Double> shares) {
        return shares.entrySet().stream().map(e -> String.format(Locale.ROOT, "%s %.0f%%", e.getKey(), 100 * e.getValue()))
            .collect(Collectors.joining(", "));
    }

    /** The response to one loss in detail. */
    public static List<String> explain(Fleet fleet, Set<String> lost) {
        Case c = Planner.solve(fleet, lost);
        List<String> lines = new ArrayList<>();
        lines.add("lost: " + name(lost));
        c.destinations().forEach((from, shares) -> lines.add(String.format(Locale.ROOT,
            "clients of %s (%.2f seconds of work per second): to %s", from, fleet.work(from), percents(shares))));
        lines.add("refused first to last, by worth per second of work:");
        for (String name : fleet.refusalOrder()) {
            Fleet.Kind kind = fleet.classes().get(name);
            lines.add(String.format(Locale.ROOT, "    %s (worth %.1f): %.1f%% refused, the floor allows %.1f%%", name, kind.worthPerWork(),
                100 * (1 - c.served().get(name)), 100 * (1 - kind.floor())));
        }
        lines.add("utilization of survivors: " + percents(c.evaluation().utilization()));
        lines.add(String.format(Locale.ROOT, "worth served: %.1f of %.1f per second, %.1f lost", c.evaluation().worth(), fleet.worth(),
            fleet.worth() - c.evaluation().worth()));
        lines.add("binding constraints: "
            + (c.evaluation().bindingConstraints().isEmpty() ? "nothing" : String.join(", ", c.evaluation().bindingConstraints())));
        if (c.evaluation().floorsMet() < 1) {
            lines.add(String.format(Locale.ROOT, "no plan can meet the floors: survivors can meet %.1f%% of them, "
                + "which is what each class gets; lower the floors, or add capacity to sites or to links between them",
                100 * c.evaluation().floorsMet()));
        }
        for (double factor : CAPACITY_FACTORS) {
            Case other = Planner.solve(fleet.scaled(factor), lost);
            lines.add(String.format(Locale.ROOT,
                "at %.1f of the configured capacity: this plan loads survivors to %s; the optimal plan serves a worth of %.1f, refusing %s",
                factor,
                percents(c.evaluation().utilization().entrySet().stream()
                    .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue() / factor, (a, b) -> a, java.util.TreeMap::new))),
                other.evaluation().worth(), refused(fleet, other)));
        }
        return lines;
    }
}
