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
import onyxpaddle.site.Fleet;
import onyxpaddle.site.Fleet.Crossing;
import onyxpaddle.site.Fleet.Kind;
import onyxpaddle.site.Fleet.Site;
import onyxpaddle.site.FailoverPlan;
import onyxpaddle.site.FailoverPlan.Case;
import org.junit.jupiter.api.Test;

/** What the solver finds, against a greedy choice where ways are free, and against the constraints where they are not. */
class PlannerTest {
    private static final double CLOSE = 1e-3;

    private static Fleet fleet(List<Crossing> crossings, double floor) {
        Map<String, Double> even = Map.of("a", 100.0, "b", 100.0, "c", 100.0);
        return new Fleet("f", Map.of("a", new Site(4, 0, 2), "b", new Site(4, 0, 2), "c", new Site(4, 0, 2)),
            Map.of("low", new Kind(0.01, 1, floor, even), "high", new Kind(0.02, 9, floor, even)), crossings);
    }

    @Test
    void aUsualDayStaysAtHomeAndRefusesNothing() {
        Case c = Planner.solve(fleet(List.of(), 0), Set.of());
        assertEquals(Map.of("low", 1.0, "high", 1.0), c.served());
        assertEquals(Map.of("b", 1.0), c.to().get("b"));
        assertEquals(0.75, c.evaluation().use().get("b"), CLOSE);
        assertEquals(List.of(), c.evaluation().binds());
    }

    @Test
    void aLostSiteGoesEvenlyToTheOthersAndTheLeastWorthIsRefusedFirst() {
        // 9 seconds of work a second come, 8 can be done: 1 of low's 3 goes.
        Case c = Planner.solve(fleet(List.of(), 0), Set.of("b"));
        assertEquals(1.0, c.served().get("high"), CLOSE);
        assertEquals(2.0 / 3, c.served().get("low"), CLOSE);
        assertEquals(0.5, c.to().get("b").get("a"), CLOSE);
        assertEquals(List.of("all that a may use", "all that c may use"), c.evaluation().binds());
        assertEquals(2700 + 200, c.evaluation().worth(), 1);
    }

    @Test
    void aFloorIsHeldBeforeWorthAndOneThatCantBeIsScaledAndSaid() {
        Fleet fleet = fleet(List.of(), 0.8);
        Case one = Planner.solve(fleet, Set.of("b"));
        assertEquals(0.8, one.served().get("low"), CLOSE, "its floor");
        assertEquals((8 - 2.4) / 6, one.served().get("high"), CLOSE);
        assertEquals(1, one.evaluation().floors());
        assertTrue(one.evaluation().binds().contains("the floor of low"));
        Case two = Planner.solve(fleet, Set.of("a", "b"));
        assertEquals(4.0 / 9 / 0.8, two.evaluation().floors(), CLOSE);
        assertEquals(4.0 / 9, two.served().get("low"), CLOSE);
        assertEquals(4.0 / 9, two.served().get("high"), CLOSE);
        assertTrue(PlanReport.explain(fleet, Set.of("a", "b")).stream().anyMatch(line -> line.startsWith("no plan can hold the floors: what is left can do 55.6%")));
    }

    @Test
    void aNarrowWayAndADearOneAreSeen() {
        List<Crossing> narrow = List.of(new Crossing("b", "a", 0, 0.25), new Crossing("b", "c", 0, 0.5));
        Case c = Planner.solve(fleet(narrow, 0), Set.of("b"));
        assertEquals(0.25 / 0.75, c.to().get("b").get("a"), CLOSE);
        assertTrue(c.evaluation().binds().contains("the way from b to a") && c.evaluation().binds().contains("the way from b to c"), c.evaluation().binds().toString());
        // A crossing that costs more than the low class brings is not worth taking.
        List<Crossing> dear = new ArrayList<>();
        for (String to : List.of("a", "c")) {
            dear.add(new Crossing("b", to, 120, Double.POSITIVE_INFINITY));
        }
        Case far = Planner.solve(fleet(dear, 0), Set.of("b"));
        assertEquals(1.0, far.served().get("high"), CLOSE, "450 a second of work, less 120");
        assertEquals(1.0, Planner.solve(fleet(dear, 0), Set.of()).served().get("low"), CLOSE);
    }

    /** By free ways the best is greedy: floors first, then by worth of work until the survivors are full. */
    @Test
    void onFreeWaysItIsAsGoodAsTheGreedyChoiceAndInItsOrder() {
        Random random = new Random(5);
        int refusing = 0;
        for (int i = 0; i < 60; i++) {
            Fleet fleet = drawn(random);
            for (Set<String> lost : fleet.losses()) {
                Case c = Planner.solve(fleet, lost);
                double left = fleet.sites().entrySet().stream().filter(s -> !lost.contains(s.getKey())).mapToDouble(s -> s.getValue().usable()).sum();
                double greedy = greedy(fleet, left, c.evaluation().floors());
                assertEquals(greedy, c.evaluation().worth(), 1e-3 * fleet.worth(), "round " + i + " lost " + lost);
                refusing += c.served().values().stream().anyMatch(p -> p < 1) ? 1 : 0;
                keepsItsWord(fleet, c);
                inOrder(fleet, c);
            }
        }
        assertTrue(refusing > 100, "only " + refusing + " refuse anything");
    }

    private static Fleet drawn(Random random) {
        Map<String, Site> sites = new TreeMap<>();
        for (int s = 0; s < 3 + random.nextInt(2); s++) {
            sites.put("s" + s, new Site(1 + 9 * random.nextDouble(), 0.2 * random.nextDouble(), 1));
        }
        double usable = sites.values().stream().mapToDouble(Site::usable).sum();
        Map<String, Kind> classes = new TreeMap<>();
        for (int k = 0; k < 2 + random.nextInt(4); k++) {
            Map<String, Double> rates = new HashMap<>();
            sites.keySet().forEach(s -> rates.put(s, 100 * random.nextDouble()));
            classes.put("k" + k, new Kind(0.01 + 0.05 * random.nextDouble(), 0.5 + 9 * random.nextDouble(), 0.5 * random.nextDouble(), rates));
        }
        Fleet raw = new Fleet("drawn", sites, classes, List.of());
        double work = sites.keySet().stream().mapToDouble(raw::work).sum();
        return raw.scaled(work / usable / (0.5 + 0.45 * random.nextDouble()));
    }

    private static double greedy(Fleet fleet, double left, double floors) {
        double worth = 0;
        for (Kind k : fleet.classes().values()) {
            left -= floors * k.floor() * k.total() * k.work();
            worth += floors * k.floor() * k.total() * k.worth();
        }
        List<String> best = new ArrayList<>(fleet.refusalOrder());
        java.util.Collections.reverse(best);
        for (String name : best) {
            Kind k = fleet.classes().get(name);
            double more = Math.min(Math.max(0, left) / k.work(), (1 - floors * k.floor()) * k.total());
            left -= more * k.work();
            worth += more * k.worth();
        }
        return worth;
    }

    /** What it says of use follows from where it sends load, and nothing is sent to what is lost or beyond what may be used. */
    private static void keepsItsWord(Fleet fleet, Case c) {
        Map<String, Double> got = new TreeMap<>();
        c.to().forEach((from, parts) -> {
            assertEquals(1, parts.values().stream().mapToDouble(Double::doubleValue).sum(), CLOSE);
            double work = fleet.classes().entrySet().stream().mapToDouble(k -> c.served().get(k.getKey()) * k.getValue().work() * k.getValue().perSecond().get(from)).sum();
            parts.forEach((to, part) -> {
                assertTrue(!c.lost().contains(to), "sent to " + to);
                got.merge(to, part * work, Double::sum);
            });
        });
        got.forEach((to, work) -> {
            assertTrue(work <= fleet.sites().get(to).usable() * (1 + 5 * CLOSE), to + " gets " + work);
            assertEquals(c.evaluation().use().get(to), work / fleet.sites().get(to).capacity(), 5 * CLOSE);
        });
    }

    /** No class is refused while one whose work is worth less is served above its floor. */
    private static void inOrder(Fleet fleet, Case c) {
        List<String> order = fleet.refusalOrder();
        for (int low = 0; low < order.size(); low++) {
            boolean aboveFloor = c.served().get(order.get(low)) > c.evaluation().floors() * fleet.classes().get(order.get(low)).floor() + CLOSE;
            for (int high = low + 1; high < order.size(); high++) {
                assertTrue(!aboveFloor || c.served().get(order.get(high)) > 1 - CLOSE, order.get(high) + " is refused while " + order.get(low) + " is served");
            }
        }
    }

    @Test
    void aPlanHasAnAnswerForEveryLossAndTheNearestForMore() {
        FailoverPlan plan = Planner.plan(fleet(List.of(), 0));
        assertEquals(7, plan.cases().size());
        assertEquals(Set.of("a", "b"), plan.lost(Set.of("b", "a")).lost());
        assertEquals(Set.of(), plan.lost(Set.of("elsewhere")).lost());
        assertEquals(2, plan.lost(Set.of("a", "b", "c")).lost().size());
    }
}
