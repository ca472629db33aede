package onyxpaddle.siteplan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import onyxpaddle.site.FailoverPlan;
import onyxpaddle.site.FailoverPlan.Case;
import onyxpaddle.site.Fleet;
import onyxpaddle.site.Fleet.Crossing;
import onyxpaddle.site.Fleet.Kind;
import onyxpaddle.site.Fleet.Site;
import org.junit.jupiter.api.Test;

/** Checks solutions against a greedy optimum where links are free, and against the constraints where they are not. */
class PlannerTest {
    private static final double TOLERANCE = 1e-3;

    private static Fleet fleet(List<Crossing> crossings, double floor) {
        Map<String, Double> even = Map.of("a", 100.0, "b", 100.0, "c", 100.0);
        return new Fleet("f", Map.of("a", new Site(4, 0, 2), "b", new Site(4, 0, 2), "c", new Site(4, 0, 2)),
            Map.of("low", new Kind(0.01, 1, floor, even), "high", new Kind(0.02, 9, floor, even)), crossings);
    }

    @Test
    void withoutALossWorkStaysLocalAndNothingIsRefused() {
        Case c = Planner.solve(fleet(List.of(), 0), Set.of());
        assertEquals(Map.of("low", 1.0, "high", 1.0), c.served());
        assertEquals(Map.of("b", 1.0), c.destinations().get("b"));
        assertEquals(0.75, c.evaluation().utilization().get("b"), TOLERANCE);
        assertEquals(List.of(), c.evaluation().bindingConstraints());
    }

    @Test
    void aLostSitesLoadIsSpreadEvenlyAndLowestWorthIsRefusedFirst() {
        // 9 seconds of work per second arrive and 8 can be done, so 1 of the 3 of class low is refused.
        Case c = Planner.solve(fleet(List.of(), 0), Set.of("b"));
        assertEquals(1.0, c.served().get("high"), TOLERANCE);
        assertEquals(2.0 / 3, c.served().get("low"), TOLERANCE);
        assertEquals(0.5, c.destinations().get("b").get("a"), TOLERANCE);
        assertEquals(List.of("the usable capacity of a", "the usable capacity of c"), c.evaluation().bindingConstraints());
        assertEquals(2700 + 200, c.evaluation().worth(), 1);
    }

    @Test
    void floorsComeBeforeWorthAndUnattainableFloorsAreScaledAndReported() {
        Fleet fleet = fleet(List.of(), 0.8);
        Case one = Planner.solve(fleet, Set.of("b"));
        assertEquals(0.8, one.served().get("low"), TOLERANCE, "its floor");
        assertEquals((8 - 2.4) / 6, one.served().get("high"), TOLERANCE);
        assertEquals(1, one.evaluation().floorsMet());
        assertTrue(one.evaluation().bindingConstraints().contains("the floor of low"));
        Case two = Planner.solve(fleet, Set.of("a", "b"));
        assertEquals(4.0 / 9 / 0.8, two.evaluation().floorsMet(), TOLERANCE);
        assertEquals(4.0 / 9, two.served().get("low"), TOLERANCE);
        assertEquals(4.0 / 9, two.served().get("high"), TOLERANCE);
        assertTrue(PlanReport.explain(fleet, Set.of("a", "b")).stream()
            .anyMatch(line -> line.startsWith("no plan can meet the floors: survivors can meet 55.6%")));
    }

    @Test
    void respectsLinkLimitsAndLinkCosts() {
        List<Crossing> narrow = List.of(new Crossing("b", "a", 0, 0.25), new Crossing("b", "c", 0, 0.5));
        Case c = Planner.solve(fleet(narrow, 0), Set.of("b"));
        assertEquals(0.25 / 0.75, c.destinations().get("b").get("a"), TOLERANCE);
        assertTrue(c.evaluation().bindingConstraints().contains("the link from b to a")
            && c.evaluation().bindingConstraints().contains("the link from b to c"), c.evaluation().bindingConstraints().toString());
        // The cost of these links exceeds the worth of the low class, but not that of the high class.
        List<Crossing> costly = new ArrayList<>();
        for (String to : List.of("a", "c")) {
            costly.add(new Crossing("b", to, 120, Double.POSITIVE_INFINITY));
        }
        Case far = Planner.solve(fleet(costly, 0), Set.of("b"));
        assertEquals(1.0, far.served().get("high"), TOLERANCE, "450 per second of work, less 120");
        assertEquals(1.0, Planner.solve(fleet(costly, 0), Set.of()).served().get("low"), TOLERANCE);
    }

    /** With free links the greedy choice is optimal: floors first, then by worth of work until the survivors are full. */
    @Test
    void withFreeLinksMatchesTheGreedyOptimumAndItsOrder() {
        Random random = new Random(5);
        int refusingCases = 0;
        for (int i = 0; i < 60; i++) {
            Fleet fleet = randomFleet(random);
            for (Set<String> lost : fleet.losses()) {
                Case c = Planner.solve(fleet, lost);
                double left = fleet.sites().entrySet().stream().filter(s -> !lost.contains(s.getKey()))
                    .mapToDouble(s -> s.getValue().usable()).sum();
                double greedy = greedy(fleet, left, c.evaluation().floorsMet());
                assertEquals(greedy, c.evaluation().worth(), 1e-3 * fleet.worth(), "round " + i + " lost " + lost);
                refusingCases += c.served().values().stream().anyMatch(p -> p < 1) ? 1 : 0;
                checkUtilization(fleet, c);
                checkRefusalOrder(fleet, c);
            }
        }
        assertTrue(refusingCases > 100, "only " + refusingCases + " refuse anything");
    }

    private static Fleet randomFleet(Random random) {
        Map<String, Site> sites = new TreeMap<>();
        for (int s = 0; s < 3 + random.nextInt(2); s++) {
            sites.put("s" + s, new Site(1 + 9 * random.nextDouble(), 0.2 * random.nextDouble(), 1));
        }
        double usable = sites.values().stream().mapToDouble(Site::usable).sum();
        Map<String, Kind> classes = new TreeMap<>();
        for (int k = 0; k < 2 + random.nextInt(4); k++) {
            Map<String, Double> rates = new HashMap<>();
            sites.keySet().forEach(s -> rates.put(s, 100 * random.nextDouble()));
            classes.put("k" + k,
                new Kind(0.01 + 0.05 * random.nextDouble(), 0.5 + 9 * random.nextDouble(), 0.5 * random.nextDouble(), rates));
        }
        Fleet raw = new Fleet("random", sites, classes, List.of());
        double work = sites.keySet().stream().mapToDouble(raw::work).sum();
        return raw.scaled(work / usable / (0.5 + 0.45 * random.nextDouble()));
    }

    private static double greedy(Fleet fleet, double left, double floors) {
        double worth = 0;
        for (Kind k : fleet.classes().values()) {
            left -= floors * k.floor() * k.totalPerSecond() * k.work();
            worth += floors * k.floor() * k.totalPerSecond() * k.worth();
        }
        List<String> best = new ArrayList<>(fleet.refusalOrder());
        java.util.Collections.reverse(best);
        for (String name : best) {
            Kind k = fleet.classes().get(name);
            double more = Math.min(Math.max(0, left) / k.work(), (1 - floors * k.floor()) * k.totalPerSecond());
            left -= more * k.work();
            worth += more * k.worth();
        }
        return worth;
    }

    /** The reported utilization follows from the destinations, no work goes to a lost site, and no survivor exceeds its usable capacity. */
    private static void checkUtilization(Fleet fleet, Case c) {
        Map<String, Double> received = new TreeMap<>();
        c.destinations().forEach((from, shares) -> {
            assertEquals(1, shares.values().stream().mapToDouble(Double::doubleValue).sum(), TOLERANCE);
            double work = fleet.classes().entrySet().stream()
                .mapToDouble(k -> c.served().get(k.getKey()) * k.getValue().work() * k.getValue().perSecond().get(from)).sum();
            shares.forEach((to, share) -> {
                assertTrue(!c.lost().contains(to), "sent to " + to);
                received.merge(to, share * work, Double::sum);
            });
        });
        received.forEach((to, work) -> {
            assertTrue(work <= fleet.sites().get(to).usable() * (1 + 5 * TOLERANCE), to + " gets " + work);
            assertEquals(c.evaluation().utilization().get(to), work / fleet.sites().get(to).capacity(), 5 * TOLERANCE);
        });
    }

    /** No class is refused while one whose work is worth less is served above its floor. */
    private static void checkRefusalOrder(Fleet fleet, Case c) {
        List<String> order = fleet.refusalOrder();
        for (int low = 0; low < order.size(); low++) {
            boolean aboveFloor = c.served().get(order.get(low))
                > c.evaluation().floorsMet() * fleet.classes().get(order.get(low)).floor() + TOLERANCE;
            for (int high = low + 1; high < order.size(); high++) {
                assertTrue(!aboveFloor || c.served().get(order.get(high)) > 1 - TOLERANCE,
                    order.get(high) + " is refused while " + order.get(low) + " is served");
            }
        }
    }

    @Test
    void aPlanCoversEveryLossAndFallsBackToTheLargestSubset() {
        FailoverPlan plan = Planner.plan(fleet(List.of(), 0));
        assertEquals(7, plan.cases().size());
        assertEquals(Set.of("a", "b"), plan.caseFor(Set.of("b", "a")).lost());
        assertEquals(Set.of(), plan.caseFor(Set.of("elsewhere")).lost());
        assertEquals(2, plan.caseFor(Set.of("a", "b", "c")).lost().size());
    }
}
