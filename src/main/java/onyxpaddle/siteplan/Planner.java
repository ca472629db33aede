package onyxpaddle.siteplan;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import onyxpaddle.site.Fleet;
import onyxpaddle.site.Fleet.Crossing;
import onyxpaddle.site.Fleet.Kind;
import onyxpaddle.site.FailoverPlan;
import onyxpaddle.site.FailoverPlan.Case;
import onyxpaddle.site.FailoverPlan.Evaluation;
import org.ojalgo.optimisation.Expression;
import org.ojalgo.optimisation.ExpressionsBasedModel;
import org.ojalgo.optimisation.Optimisation;
import org.ojalgo.optimisation.Variable;

/**
 * Solves where load goes and what is refused when sites are lost, as linear programs, one after the other: as much of the floors as can be held; then
 * the most worth less crossings; then the lowest use of the fullest survivor; then the least work that leaves a site for no need.
 *
 * <p>A class is served by the same part at every site, so that it makes no difference where a client is, and a node needs one number for each class.
 * Needs the solver's library, which a node does not have: nodes load what this has made.
 */
public final class Planner {
    private static final double CLOSE = 1e-7;
    /** What is within this of its bound is at it. */
    private static final double AT_BOUND = 1e-5;
    /** A smaller part of a site's work than this is not sent on a way of its own. */
    private static final double LEAST_PART = 1e-3;

    private Planner() {
    }

    /** A plan for every loss of one site and of two. */
    public static FailoverPlan plan(Fleet fleet) {
        List<Case> cases = new ArrayList<>();
        fleet.losses().forEach(lost -> cases.add(solve(fleet, lost)));
        return new FailoverPlan(PlanFile.digest(fleet), fleet.name(), cases);
    }

    /** The best that can be done when these are lost. */
    public static Case solve(Fleet fleet, Set<String> lost) {
        double floors = Math.min(1, new Program(fleet, lost).floors());
        Program worth = new Program(fleet, lost);
        worth.hold(floors);
        worth.maximiseWorth();
        Map<String, Double> served = new TreeMap<>();
        fleet.classes().forEach((name, c) -> served.put(name, snapped(worth.value(worth.part.get(name)), floors * c.floor())));
        Program even = new Program(fleet, lost);
        even.serve(served, worth.crossingCost() + CLOSE * Math.max(1, fleet.worth()));
        double fullest = even.minimiseFullest();
        Program near = new Program(fleet, lost);
        near.serve(served, worth.crossingCost() + CLOSE * Math.max(1, fleet.worth()));
        near.fullest.upper(fullest + CLOSE);
        near.minimiseCrossing();
        return near.read(served, floors);
    }

    /** Solvers end within a hair of a bound. */
    private static double snapped(double part, double floor) {
        if (part > 1 - AT_BOUND) {
            return 1;
        }
        return Math.abs(part - floor) < AT_BOUND ? floor : Math.max(0, part);
    }

    /** The variables and the constraints that hold in every step. */
    private static final class Program {
        private final Fleet fleet;
        private final List<String> survivors;
        private final ExpressionsBasedModel model = new ExpressionsBasedModel();
        /** By class, the part of it that is served. */
        private final Map<String, Variable> part = new TreeMap<>();
        /** By site and survivor, work a second. */
        private final Map<String, Map<String, Variable>> flow = new TreeMap<>();
        /** Work over what a plan may use, of the survivor where that is highest. */
        private final Variable fullest = model.newVariable("fullest").lower(0).upper(1);
        private Optimisation.Result result;

        Program(Fleet fleet, Set<String> lost) {
            this.fleet = fleet;
            survivors = fleet.sites().keySet().stream().filter(s -> !lost.contains(s)).toList();
            fleet.classes().keySet().forEach(c -> part.put(c, model.newVariable("part of " + c).lower(0).upper(1)));
            for (String from : fleet.sites().keySet()) {
                Expression all = model.newExpression("work of " + from).level(0);
                fleet.classes().forEach((name, c) -> all.set(part.get(name), -c.work() * c.perSecond().getOrDefault(from, 0.0)));
                flow.put(from, new TreeMap<>());
                for (String to : survivors) {
                    Variable way = model.newVariable(from + " to " + to).lower(0);
                    double most = fleet.crossing(from, to).most();
                    if (!from.equals(to) && most < Double.POSITIVE_INFINITY) {
                        way.upper(most);
                    }
                    all.set(way, 1);
                    flow.get(from).put(to, way);
                }
            }
            for (String to : survivors) {
                Expression use = model.newExpression("use of " + to).upper(0);
                flow.values().forEach(ways -> use.set(ways.get(to), 1));
                use.set(fullest, -fleet.sites().get(to).usable());
            }
        }

        /** The largest part of all floors that can be held at once. */
        double floors() {
            Variable held = model.newVariable("floors held").lower(0).upper(1).weight(1);
            fleet.classes().forEach((name, c) -> {
                Expression floor = model.newExpression("floor of " + name).lower(0);
                floor.set(part.get(name), 1);
                floor.set(held, -c.floor());
            });
            solved(model.maximise());
            double most = value(held);
            return most > 1 - AT_BOUND ? 1 : Math.max(0, most - CLOSE);
        }

        void hold(double floors) {
            fleet.classes().forEach((name, c) -> part.get(name).lower(floors * c.floor()));
        }

        void maximiseWorth() {
            fleet.classes().forEach((name, c) -> part.get(name).weight(c.worth() * c.total()));
            crossings((crossing, way) -> way.weight(-crossing.cost()));
            solved(model.maximise());
        }

        void serve(Map<String, Double> served, double mostCost) {
            served.forEach((name, p) -> part.get(name).lower(Math.max(0, p - CLOSE)).upper(p));
            Expression cost = model.newExpression("crossings").upper(mostCost);
            crossings((crossing, way) -> cost.set(way, crossing.cost()));
        }

        double minimiseFullest() {
            fullest.weight(1);
            solved(model.minimise());
            return value(fullest);
        }

        void minimiseCrossing() {
            flow.forEach((from, ways) -> ways.forEach((to, way) -> way.weight(from.equals(to) ? 0 : 1)));
            solved(model.minimise());
        }

        double crossingCost() {
            double[] cost = {0};
            crossings((crossing, way) -> cost[0] += crossing.cost() * value(way));
            return cost[0];
        }

        private interface Way {
            void of(Crossing crossing, Variable way);
        }

        private void crossings(Way each) {
            flow.forEach((from, ways) -> ways.forEach((to, way) -> {
                if (!from.equals(to)) {
                    each.of(fleet.crossing(from, to), way);
                }
            }));
        }

        private void solved(Optimisation.Result of) {
            if (!of.getState().isFeasible()) {
                throw new IllegalStateException("the solver found " + of.getState() + " for " + fleet.name());
            }
            result = of;
        }

        private double value(Variable of) {
            return result.doubleValue(model.indexOf(of));
        }

        Case read(Map<String, Double> served, double floors) {
            Map<String, Map<String, Double>> to = new TreeMap<>();
            Map<String, Double> use = new TreeMap<>();
            List<String> binds = new ArrayList<>();
            boolean refuses = served.values().stream().anyMatch(p -> p < 1);
            for (String survivor : survivors) {
                double work = flow.values().stream().mapToDouble(ways -> value(ways.get(survivor))).sum();
                use.put(survivor, work / fleet.sites().get(survivor).capacity());
                if (refuses && work >= fleet.sites().get(survivor).usable() * (1 - AT_BOUND)) {
                    binds.add("all that " + survivor + " may use");
                }
            }
            flow.forEach((from, ways) -> {
                double all = ways.values().stream().mapToDouble(this::value).sum();
                double sum = ways.values().stream().mapToDouble(this::value).filter(w -> w >= LEAST_PART * all).sum();
                Map<String, Double> parts = new TreeMap<>();
                ways.forEach((survivor, way) -> {
                    double most = fleet.crossing(from, survivor).most();
                    if (sum > AT_BOUND && value(way) >= LEAST_PART * all) {
                        parts.put(survivor, value(way) / sum);
                    }
                    if (refuses && !from.equals(survivor) && most < Double.POSITIVE_INFINITY && value(way) >= most * (1 - AT_BOUND)) {
                        binds.add("the way from " + from + " to " + survivor);
                    }
                });
                if (parts.isEmpty()) {
                    // Nothing of it is served: where it would go makes no difference, and stays stated.
                    parts.put(survivors.contains(from) ? from : survivors.get(0), 1.0);
                }
                to.put(from, parts);
            });
            served.forEach((name, p) -> {
                Kind c = fleet.classes().get(name);
                if (p < 1 && c.floor() > 0 && p <= floors * c.floor() + AT_BOUND) {
                    binds.add("the floor of " + name);
                }
            });
            double worth = fleet.classes().entrySet().stream().mapToDouble(c -> served.get(c.getKey()) * c.getValue().worth() * c.getValue().total()).sum();
            return new Case(survivorsMissing(), served, to, new Evaluation(worth - crossingCost(), use, floors, binds));
        }

        private Set<String> survivorsMissing() {
            Set<String> lost = new java.util.TreeSet<>(fleet.sites().keySet());
            survivors.forEach(lost::remove);
            return lost;
        }
    }
}
