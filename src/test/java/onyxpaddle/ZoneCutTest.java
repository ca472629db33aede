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

/** A zone comes back cold and is then cut off from all others, so that its nodes and servers have only each other. */
class ZoneCutTest {
    private static final List<String> ZONES = List.of("a", "b", "c", "d");
    private static final int NODES = 16;
    private static final int IN_ZONE = 16;
    private static final double CAPACITY = 40;
    private static final String CUT = "d";
    private static final long CONNECT_TIME = 250 * MS;

    /** Attempts by nodes of the zone in the last four seconds of the cut, relative to their arrivals. */
    private record Sent(double toTheZone, double acrossTheCut) {
    }

    private Sent simulate(double load, int tier, long seed) {
        Settings base = BalancerHarness.settings(BalancerHarness.requestClass("read", Effect.SAFE, KeyGroup.ALL));
        Settings settings = new Settings("a", ZONES, tier, 0, 1, base.classes(), List.of(), 1, false, false, Weights.NONE, List.of(), 0.02,
            2 * MS, base.limits(), base.rules());
        long begin = 100 * SECOND;
        long back = begin + 12 * SECOND;
        long cut = back + SECOND;
        long end = cut + 6 * SECOND;
        FleetSimulation fleet = new FleetSimulation(settings, NODES, seed, (node, server, now) -> {
            boolean crossesCut = now >= cut && now < end && ZONES.get(node % 4).equals(CUT) != server.startsWith(CUT);
            return crossesCut ? new FleetSimulation.Servers.Reply(Outcome.CONNECT_FAILED, CONNECT_TIME)
                : new FleetSimulation.Servers.Reply(Outcome.OK, 50 * MS);
        });
        List<ServerEntry> first = new ArrayList<>();
        List<ServerEntry> cold = new ArrayList<>();
        for (int i = 0; i < 4 * IN_ZONE; i++) {
            String zone = ZONES.get(i % 4);
            first.add(FleetSimulation.entry(zone + i, zone, ServerState.READY, 0));
            if (zone.equals(CUT)) {
                cold.add(FleetSimulation.entry(zone + i, zone, ServerState.READY, back));
            }
        }
        fleet.broadcast(begin, 0, new Membership(ListKind.ALL, first));
        fleet.broadcast(back, SECOND / 2, new Membership(ListKind.CHANGES, cold));
        fleet.load("read", load * CAPACITY * 4 * IN_ZONE, SECOND, end);
        fleet.run(end);
        List<FleetSimulation.Sent> late = fleet.sent.stream()
            .filter(s -> s.at() > end - 4 * SECOND && ZONES.get(s.node() % 4).equals(CUT)).toList();
        long within = late.stream().filter(s -> s.server().startsWith(CUT)).count();
        assertColdServersWithinBudget(fleet, back);
        double arrivals = load * CAPACITY * IN_ZONE * 4;
        return new Sent(within / arrivals, (late.size() - within) / arrivals);
    }

    @ParameterizedTest
    @CsvSource({"0.3, 1, 1", "0.5, 1, 2", "0.5, 0, 3", "0.9, 1, 4"})
    void nodesOfTheZoneUseItsServersCapacity(double load, int tier, long seed) {
        Sent sent = simulate(load, tier, seed);
        assertTrue(sent.toTheZone() > 0.6, "too few attempts within the zone: " + sent);
        assertTrue(sent.acrossTheCut() < 0.6, "too many attempts at unreachable servers instead of waiting: " + sent);
    }

    private static void assertColdServersWithinBudget(FleetSimulation fleet, long back) {
        Map<String, List<Long>> sends = new HashMap<>();
        fleet.sent.stream().filter(s -> s.server().startsWith(CUT) && s.at() >= back)
            .forEach(s -> sends.computeIfAbsent(s.server(), k -> new ArrayList<>()).add(s.at()));
        sends.forEach((server, at) -> {
            int from = 0;
            for (int i = 0; i < at.size(); i++) {
                while (at.get(from) < at.get(i) - 2 * SECOND) {
                    from++;
                }
                double age = Math.min(1, (double) (at.get(from) - back) / (10 * SECOND));
                double budget = 3 * CAPACITY * (0.2 + 0.8 * age) * 2;
                assertTrue(i - from < budget, (i - from) + " sends to " + server + " within 2 s, budget " + budget);
            }
        });
    }
}
