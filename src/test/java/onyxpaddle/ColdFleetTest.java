package onyxpaddle;

import static onyxpaddle.BalancerHarness.MS;
import static onyxpaddle.BalancerHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import onyxpaddle.BalancerApi.*;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks over a whole fleet, of nodes with little traffic each, that calls are served while servers are replaced, and that
 * all nodes together keep rule 4: no more calls to a cold server than its budget.
 */
class ColdFleetTest {
    private static final int SERVERS = 8;
    private static final int NODES = 6;
    private static final int MANY_SERVERS = 120;
    private static final int MANY_NODES = 60;
    /** Calls per second of a warm server; the parameters of the rule are those of {@link BalancerHarness#settings}. */
    private static final double CAPACITY = 40;
    private static final double LOAD = 0.5 * CAPACITY * SERVERS;

    private final Map<String, Long> started = new HashMap<>();

    private static Settings deepTier() {
        Settings base = BalancerHarness.settings(BalancerHarness.requestClass("read", Effect.SAFE, KeyGroup.ALL));
        return new Settings(base.zone(), base.zones(), 1, 0, 1, base.classes(), List.of(), 1, false, false,
            Weights.NONE, List.of(), 0, 2 * MS, base.limits(), base.rules());
    }

    private double capacity(String server, long at) {
        long start = started.get(server);
        double age = start == 0 ? 1 : Math.min(1, (double) (at - start) / (10 * SECOND));
        return CAPACITY * (0.2 + 0.8 * age);
    }

    private FleetSimulation createFleet(int nodes, int servers, long seed) {
        FleetSimulation fleet = new FleetSimulation(deepTier(), nodes, seed,
            (node, server, now) -> new FleetSimulation.Servers.Reply(Outcome.OK, 50 * MS));
        List<ServerEntry> first = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            started.put("s" + i, 0L);
            first.add(FleetSimulation.entry("s" + i, ServerState.READY, 0));
        }
        fleet.broadcast(fleet.now, 0, new Membership(ListKind.ALL, first));
        return fleet;
    }

    /** Replaces one server every half second, so that none lives longer than four seconds. */
    private FleetSimulation createChurningFleet(long seed) {
        FleetSimulation fleet = createFleet(NODES, SERVERS, seed);
        long begin = fleet.now + 10 * SECOND;
        for (int i = 0; i < 80; i++) {
            long at = begin + i * SECOND / 2;
            started.put("s" + (SERVERS + i), at);
            fleet.broadcast(at, SECOND / 2, new Membership(ListKind.CHANGES, List.of(
                FleetSimulation.entry("s" + i, ServerState.GONE, started.get("s" + i)),
                FleetSimulation.entry("s" + (SERVERS + i), ServerState.READY, at))));
        }
        return fleet;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void callsAreServedWhereNoServerBecomesWarm(long seed) {
        FleetSimulation fleet = createChurningFleet(seed);
        long end = fleet.now + 48 * SECOND;
        fleet.at(fleet.now + 20 * SECOND, () -> fleet.offered = fleet.served = 0);
        fleet.load("read", LOAD, SECOND, end);
        fleet.run(end + 2 * SECOND);
        assertTrue(fleet.served > 0.6 * fleet.offered, fleet.served + " of " + fleet.offered + " served");
        assertColdServersWithinBudget(fleet);
    }

    /** The load far exceeds the capacity of two cold servers, so that only the credit limits the calls of all nodes. */
    @ParameterizedTest
    @ValueSource(longs = {4, 5})
    void twoColdServersReplacingEightAreNotOverloaded(long seed) {
        FleetSimulation fleet = createFleet(NODES, SERVERS, seed);
        long at = fleet.now + 10 * SECOND;
        started.put("c0", at);
        started.put("c1", at);
        fleet.broadcast(at, 0, new Membership(ListKind.ALL,
            List.of(FleetSimulation.entry("c0", ServerState.READY, at), FleetSimulation.entry("c1", ServerState.READY, at))));
        fleet.load("read", LOAD, SECOND, at + 8 * SECOND);
        fleet.run(at + 10 * SECOND);
        assertColdServersWithinBudget(fleet);
    }

    /** A third of a large fleet comes back at once, while each node draws from a tenth of the servers. */
    @ParameterizedTest
    @ValueSource(longs = {6, 7})
    void zoneThatComesBackColdGetsItsShareOfCallsFromManyNodes(long seed) {
        FleetSimulation fleet = createFleet(MANY_NODES, MANY_SERVERS, seed);
        long back = fleet.now + 12 * SECOND;
        List<ServerEntry> zone = new ArrayList<>();
        for (int i = 0; i < MANY_SERVERS / 3; i++) {
            started.put("z" + i, back);
            zone.add(FleetSimulation.entry("z" + i, ServerState.READY, back));
            fleet.broadcast(back - 4 * SECOND, SECOND, new Membership(ListKind.CHANGES,
                List.of(FleetSimulation.entry("s" + i, ServerState.GONE, 0))));
        }
        fleet.broadcast(back, 2 * SECOND, new Membership(ListKind.CHANGES, zone));
        long end = back + 9 * SECOND;
        double load = 0.4 * CAPACITY * MANY_SERVERS;
        fleet.load("read", load, SECOND, end);
        fleet.run(end + 2 * SECOND);
        long late = fleet.sent.stream()
            .filter(s -> s.at() > back + 3 * SECOND && s.at() < end && s.server().startsWith("z")).count();
        // Warm servers would get load / servers each; the capacity of cold ones of that age is half of it.
        double share = late / (load * 6 / 3);
        assertTrue(share > 0.4, "cold servers get " + share + " of an even share");
        assertColdServersWithinBudget(fleet);
    }

    /** All servers restart under a load above their present capacity, in a fleet where a draw examines only part of them. */
    @ParameterizedTest
    @CsvSource({"60, 8", "12, 9"})
    void largeFleetOfColdServersIsNotOverloaded(int nodes, long seed) {
        int servers = 240;
        FleetSimulation fleet = createFleet(nodes, servers, seed);
        long at = fleet.now + 8 * SECOND;
        List<ServerEntry> restarted = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            started.put("c" + i, at);
            restarted.add(FleetSimulation.entry("c" + i, ServerState.READY, at));
        }
        fleet.broadcast(at, 0, new Membership(ListKind.ALL, restarted));
        fleet.at(at + 3 * SECOND, () -> fleet.offered = fleet.served = 0);
        fleet.load("read", 0.7 * CAPACITY * servers, SECOND, at + 5 * SECOND);
        fleet.run(at + 7 * SECOND);
        assertTrue(fleet.served > 0.5 * fleet.offered, fleet.served + " of " + fleet.offered + " served");
        assertColdServersWithinBudget(fleet);
    }

    /** Checks the budget of rule 4 over every window of 2 s that ends with a send to a cold server. */
    private void assertColdServersWithinBudget(FleetSimulation fleet) {
        Map<String, List<Long>> sends = new HashMap<>();
        fleet.sent.stream().filter(s -> started.get(s.server()) > 0)
            .forEach(s -> sends.computeIfAbsent(s.server(), k -> new ArrayList<>()).add(s.at()));
        assertTrue(!sends.isEmpty());
        sends.forEach((server, at) -> {
            int from = 0;
            for (int i = 0; i < at.size(); i++) {
                while (at.get(from) < at.get(i) - 2 * SECOND) {
                    from++;
                }
                double budget = 3 * capacity(server, at.get(from)) * 2;
                assertTrue(i - from < budget, (i - from) + " sends to " + server + " within 2 s, budget " + budget);
            }
        });
    }
}
