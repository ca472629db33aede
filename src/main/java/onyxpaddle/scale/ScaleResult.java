package onyxpaddle.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What a run has found, row by row; each is printed as it is found. Scenarios that run side by side may add to it. */
public final class ScaleResult {
    /** A line over sizes. {@code over}: what grows. */
    public record Slope(String role, String over, String quantity, String unit, SlopeFit fit) {
        String row() {
            return role + "." + over + "." + quantity;
        }
    }

    /** One figure of a role in an event. */
    public record Figure(String role, String event, String quantity, String unit, double value) {
    }

    /** An event that was played: how many nodes the fleet had, and how many nodes or servers it hit. */
    public record Event(String name, int nodes, int touched) {
    }

    /** What the verdict rests on: a value that must lie within bounds. */
    public record Check(String row, double value, double least, double most, String unit) {
        boolean holds() {
            return value >= least && value <= most;
        }

        String sentence() {
            return String.format(Locale.ROOT, "%s is %.3f %s, not from %.3f to %.3f", row, value, unit, least, most);
        }
    }

    /** What the run itself took. */
    public record Cost(double seconds, double memoryMiB, int processes) {
    }

    private final Map<String, Double> settings = new LinkedHashMap<>();
    private final List<Slope> slopes = new ArrayList<>();
    private final List<Event> events = new ArrayList<>();
    private final List<Figure> figures = new ArrayList<>();
    private final List<Check> checks = new ArrayList<>();
    private Cost cost = new Cost(0, 0, 0);

    synchronized void setting(String name, double value) {
        settings.put(name, value);
    }

    synchronized void slope(Slope slope) {
        slopes.add(slope);
        SlopeFit fit = slope.fit();
        System.out.printf(Locale.ROOT, "%-42s %12.4g a %s, from %.4g, residual %.3g %s; at %.0f foretold %.4g, measured %.4g: %s%n",
            slope.row(), fit.slope(), slope.over().replaceAll("s$", ""), fit.intercept(), fit.residual(), slope.unit(), fit.largest(),
            fit.foretold(), fit.measured(), fit.linear() ? "linear" : "NOT LINEAR");
    }

    synchronized void event(Event event) {
        events.add(event);
    }

    synchronized void figure(String role, String event, String quantity, String unit, double value) {
        figures.add(new Figure(role, event, quantity, unit, value));
        System.out.printf(Locale.ROOT, "%-16s %-20s %-18s %14.3f %s%n", role, event, quantity, value, unit);
    }

    /** A value that must lie within bounds. */
    synchronized void check(String row, double value, double least, double most, String unit) {
        Check check = new Check(row, value, least, most, unit);
        checks.add(check);
        System.out.printf(Locale.ROOT, "%-52s %12.3f %s, from %.3f to %.3f: %s%n", "check " + row, value, unit, least, most,
            check.holds() ? "holds" : "FALLS SHORT");
    }

    synchronized void cost(Cost taken) {
        cost = taken;
        System.out.printf(Locale.ROOT, "took %.1f s, %.0f MiB, %d processes at once%n", taken.seconds(), taken.memoryMiB(), taken.processes());
    }

    Map<String, Double> settings() {
        return settings;
    }

    public List<Slope> slopes() {
        return slopes;
    }

    public List<Event> events() {
        return events;
    }

    public List<Figure> figures() {
        return figures;
    }

    public List<Check> checks() {
        return checks;
    }

    public Cost cost() {
        return cost;
    }

    /** The rows that do not hold, as sentences. */
    public List<String> shortOf() {
        return checks.stream().filter(check -> !check.holds()).map(Check::sentence).toList();
    }
}
