package onyxpaddle.siteplan;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import onyxpaddle.site.Fleet;
import onyxpaddle.site.FailoverPlan;
import onyxpaddle.site.FailoverPlan.Case;

/** A plan in words, for operators. */
public final class PlanReport {
    /** How wrong a stated capacity may be before it is told what that would mean. */
    private static final double[] OFF = {0.7, 1.3};

    private PlanReport() {
    }

    /** A line for each loss. */
    public static List<String> table(Fleet fleet, FailoverPlan plan) {
        List<String> lines = new ArrayList<>();
        lines.add(String.format("%-24s %9s  %-40s %s", "lost", "worth", "refused", "use of survivors"));
        for (Case c : plan.cases()) {
            lines.add(String.format(Locale.ROOT, "%-24s %8.1f%%  %-40s %s", name(c.lost()), 100 * c.evaluation().worth() / fleet.worth(), refused(fleet, c), percents(c.evaluation().use())));
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

    private static String percents(Map<String, Double> parts) {
        return parts.entrySet().stream().map(e -> String.format(Locale.ROOT, "%s %.0f%%", e.getKey(), 100 * e.getValue())).collect(Collectors.joining(", "));
    }

    /** All there is to say of one loss. */
    public static List<String> explain(Fleet fleet, Set<String> lost) {
        Case c = Planner.solve(fleet, lost);
        List<String> lines = new ArrayList<>();
        lines.add("lost: " + name(lost));
        c.to().forEach((from, parts) -> lines.add(String.format(Locale.ROOT, "clients of %s (%.2f seconds of work a second): to %s", from, fleet.work(from), percents(parts))));
        lines.add("refused first to last, by the worth of a second of work:");
        for (String name : fleet.refusalOrder()) {
            Fleet.Kind kind = fleet.classes().get(name);
            lines.add(String.format(Locale.ROOT, "    %s (worth %.1f): %.1f%% refused, never more than %.1f%%", name, kind.worthOfWork(), 100 * (1 - c.served().get(name)),
                100 * (1 - kind.floor())));
        }
        lines.add("use of survivors, of all that each can do: " + percents(c.evaluation().use()));
        lines.add(String.format(Locale.ROOT, "worth served: %.1f of %.1f a second, %.1f lost", c.evaluation().worth(), fleet.worth(), fleet.worth() - c.evaluation().worth()));
        lines.add("what binds: " + (c.evaluation().binds().isEmpty() ? "nothing" : String.join(", ", c.evaluation().binds())));
        if (c.evaluation().floors() < 1) {
            lines.add(String.format(Locale.ROOT, "no plan can hold the floors: what is left can do %.1f%% of them, which is what each class gets; lower floors, "
                + "more capacity or wider ways between sites would be needed", 100 * c.evaluation().floors()));
        }
        for (double off : OFF) {
            Case other = Planner.solve(fleet.scaled(off), lost);
            lines.add(String.format(Locale.ROOT, "if each site can do %.1f of what is stated: survivors would be at %s by this plan; the best would be %.1f worth, refusing %s", off,
                percents(c.evaluation().use().entrySet().stream().collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue() / off, (a, b) -> a, java.util.TreeMap::new))),
                other.evaluation().worth(), refused(fleet, other)));
        }
        return lines;
    }
}
