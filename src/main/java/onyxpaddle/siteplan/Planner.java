package onyxpaddle.siteplan;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import onyxpaddle.site.FailoverPlan;
import onyxpaddle.site.FailoverPlan.Case;
import onyxpaddle.site.FailoverPlan.Evaluation;
import onyxpaddle.site.Fleet;
import onyxpaddle.site.Fleet.Crossing;
import onyxpaddle.site.Fleet.Kind;
import org.ojalgo.optimisation.Expression;
import org.ojalgo.optimisation.ExpressionsBasedModel;
import org.ojalgo.optimisation.Optimisation;
import org.ojalgo.optimisation.Variable;

/**
 * Computes where load goes and what is refused when sites are lost, as a sequence of linear programs with lexicographic objectives: meet as
 * much of the floors as possible; then maximise worth less link cost; then minimise the highest utilization of a survivor; then minimise
 * the work that leaves its own site.
 *
 * <p>A class is served with the same share at every site, so that all clients are treated alike and a node needs only one number per class.
 * Needs the solver library, which nodes don't have: they load the finished plan.
 */
public final class Planner {
    /** Slack for holding the result of one program as a bound of the next. */
    private static final double SOLVER_SLACK = 1e-7;
    /** A value within this distance of its bound counts as being at the bound. */
    private static final double AT_BOUND = 1e-5;
    /** Shares of a site's work below this are dropped, and the survivors with larger shares take them. */
    private static final double MIN_SHARE = 1e-3;

    private Planner() {
    }

    /** A plan for the loss of each single site and of each pair. */
    public static FailoverPlan plan(Fleet fleet) {
        List<Case> cases = new ArrayList<>();
        fleet.losses().forEach(lost -> cases.add(solve(fleet, lost)));
        return new FailoverPlan(PlanFile.digest(fleet), fleet.name(), cases);
    }

    /** The optimal response to the loss of these sites. */
    public static Case solve(Fleet fleet, Set<String> lost) {
        double floors = Math.min(1, new Program(fleet, lost).maximiseFloors());
        Program worth = new Program(fleet, lost);
        worth.requireFloors(floors);
        worth.maximiseWorth();
        Map<String, Double> served = new TreeMap<>();
        fleet.classes().forEach((name, c) ->
            served.put(name, snapToBound(worth.value(worth.servedShare.get(name)), floors * c.floor())));
        Program balanced = new Program(fleet, lost);
        balanced.requireServed(served, worth.linkCost() + SOLVER_SLACK * Math.max(1, fleet.worth()));
        double peak = balanced.minimisePeakUtilization();
        Program local = new Program(fleet, lost);
        local.requireServed(served, worth.linkCost() + SOLVER_SLACK * Math.max(1, fleet.worth()));
        local.peakUtilization.upper(peak + SOLVER_SLACK);
        local.minimiseRemoteWork();
        return local.result(served, floors);
    }

    /** Rounds a share to its bound where the solver stopped just short of it. */
    private static double snapToBound(double share, double floor) {
        if (share > 1 - AT_BOUND) {
            return 1;
        }
        return Math.abs(share - floor) < AT_BOUND ? floor : Math.max(0, share);
    }

    /** The variables and the constraints that all programs of the sequence have in common. */
    private static final class Program {
        private final Fleet fleet;
        private final List<String> survivors;
        private final ExpressionsBasedModel model = new ExpressionsBasedModel();
        /** By class, the share of it that is served. */
        private final Map<String, Variable> servedShare = new TreeMap<>();
        /** By site and survivor, the work sent, in seconds per second. */
        private final Map<String, Map<String, Variable>> flow = new TreeMap<>();
        /** The highest ratio of work to usable capacity over all survivors. */
        private final Variable peakUtilization = model.newVariable("fullest").lower(0).upper(1);
        private Optimisation.Result result;

        Program(Fleet fleet, Set<String> lost) {
            this.fleet = fleet;
            survivors = fleet.sites().keySet().stream().filter(s -> !lost.contains(s)).toList();
            fleet.classes().keySet().forEach(c -> servedShare.put(c, model.newVariable("served share of " + c).lower(0).upper(1)));
            for (String from : fleet.sites().keySet()) {
                Expression sent = model.newExpression("work of " + from).level(0);
                fleet.classes().forEach((name, c) -> sent.set(servedShare.get(name), -c.work() * c.perSecond().getOrDefault(from, 0.0)));
                flow.put(from, new TreeMap<>());
                for (String to : survivors) {
                    Variable work = model.newVariable(from + " to " + to).lower(0);
                    double limit = fleet.crossing(from, to).most();
                    if (!from.equals(to) && limit < Double.POSITIVE_INFINITY) {
                        work.upper(limit);
                    }
                    sent.set(work, 1);
                    flow.get(from).put(to, work);
                }
            }
            for (String to : survivors) {
                Expression load = model.newExpression("use of " + to).upper(0);
                flow.values().forEach(bySurvivor -> load.set(bySurvivor.get(to), 1));
                load.set(peakUtilization, -fleet.sites().get(to).usable());
            }
        }

        /** The largest fraction of all floors that can be met at once. */
        double maximiseFloors() {
            Variable met = model.newVariable("floors met").lower(0).upper(1).weight(1);
            fleet.classes().forEach((name, c) -> {
                Expression floor = model.newExpression("floor of " + name).lower(0);
                floor.set(servedShare.get(name), 1);
                floor.set(met, -c.floor());
            });
            accept(model.maximise());
            double most = value(met);
            return most > 1 - AT_BOUND ? 1 : Math.max(0, most - SOLVER_SLACK);
        }

        void requireFloors(double fraction) {
            fleet.classes().forEach((name, c) -> servedShare.get(name).lower(fraction * c.floor()));
        }

        void maximiseWorth() {
            fleet.classes().forEach((name, c) -> servedShare.get(name).weight(c.worth() * c.totalPerSecond()));
            forEachLink((link, work) -> work.weight(-link.cost()));
            accept(model.maximise());
        }

        void requireServed(Map<String, Double> served, double maxLinkCost) {
            served.forEach((name, share) -> servedShare.get(name).lower(Math.max(0, share - SOLVER_SLACK)).upper(share));
            Expression cost = model.newExpression("crossings").upper(maxLinkCost);
            forEachLink((link, work) -> cost.set(work, link.cost()));
        }

        double minimisePeakUtilization() {
            peakUtilization.weight(1);
            accept(model.minimise());
            return value(peakUtilization);
        }

        void minimiseRemoteWork() {
            flow.forEach((from, bySurvivor) -> bySurvivor.forEach((to, work) -> work.weight(from.equals(to) ? 0 : 1)));
            accept(model.minimise());
        }

        double linkCost() {
            double[] cost = {0};
            forEachLink((link, work) -> cost[0] += link.cost() * value(work));
            return cost[0];
        }

        private interface LinkAction {
            void apply(Crossing link, Variable work);
        }

        private void forEachLink(LinkAction action) {
            flow.forEach((from, bySurvivor) -> bySurvivor.forEach((to, work) -> {
                if (!from.equals(to)) {
                    action.apply(fleet.crossing(from, to), work);
                }
            }));
        }

        private void accept(Optimisation.Result solution) {
            if (!solution.getState().isFeasible()) {
                throw new IllegalStateException("the solver returned " + solution.getState() + " for " + fleet.name());
            }
            result = solution;
        }

        private double value(Variable variable) {
            return result.doubleValue(model.indexOf(variable));
        }

        Case result(Map<String, Double> served, double floors) {
            Map<String, Map<String, Double>> destinations = new TreeMap<>();
            Map<String, Double> utilization = new TreeMap<>();
            List<String> binding = new ArrayList<>();
            boolean refuses = served.values().stream().anyMatch(p -> p < 1);
            for (String survivor : survivors) {
                double work = flow.values().stream().mapToDouble(bySurvivor -> value(bySurvivor.get(survivor))).sum();
                utilization.put(survivor, work / fleet.sites().get(survivor).capacity());
                if (refuses && work >= fleet.sites().get(survivor).usable() * (1 - AT_BOUND)) {
                    binding.add("the usable capacity of " + survivor);
                }
            }
            flow.forEach((from, bySurvivor) -> {
                double all = bySurvivor.values().stream().mapToDouble(this::value).sum();
                double sum = bySurvivor.values().stream().mapToDouble(this::value).filter(w -> w >= MIN_SHARE * all).sum();
                Map<String, Double> shares = new TreeMap<>();
                bySurvivor.forEach((survivor, work) -> {
                    double limit = fleet.crossing(from, survivor).most();
                    if (sum > AT_BOUND && value(work) >= MIN_SHARE * all) {
                        shares.put(survivor, value(work) / sum);
                    }
                    if (refuses && !from.equals(survivor) && limit < Double.POSITIVE_INFINITY && value(work) >= limit * (1 - AT_BOUND)) {
                        binding.add("the link from " + from + " to " + survivor);
                    }
                });
                if (shares.isEmpty()) {
                    // None of its work is served, so the destination makes no difference; the file format needs one.
                    shares.put(survivors.contains(from) ? from : survivors.get(0), 1.0);
                }
                destinations.put(from, shares);
            });
            served.forEach((name, share) -> {
                Kind c = fleet.classes().get(name);
                if (share < 1 && c.floor() > 0 && share <= floors * c.floor() + AT_BOUND) {
                    binding.add("the floor of " + name);
                }
            });
            double worth = fleet.classes().entrySet().stream()
                .mapToDouble(c -> served.get(c.getKey()) * c.getValue().worth() * c.getValue().totalPerSecond()).sum();
            return new Case(lostSites(), served, destinations, new Evaluation(worth - linkCost(), utilization, floors, binding));
        }

        private Set<String> lostSites() {
            Set<String> lost = new java.util.TreeSet<>(fleet.sites().keySet());
            survivors.forEach(lost::remove);
            return lost;
        }
    }
}
