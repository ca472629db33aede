package onyxpaddle;

import static onyxpaddle.Node.MS;
import static onyxpaddle.Node.SECOND;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import onyxpaddle.BalancerApi.*;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A zone that has come back cold and is then cut off from all others: its nodes have its servers alone, and they have only them. */
class ZoneCutTest {
    private static final List<String> ZONES = List.of("a", "b", "c", "d");
    private static final int NODES = 16;
    private static final int IN_ZONE = 16;
    private static final double CAPACITY = 40;
    private static final String CUT = "d";
    private static final long DIAL = 250 * MS;

    /** Sends by nodes of the zone in the last four seconds of the cut, as parts of what came to them. */
    private record Sent(double toTheZone, double acrossTheCut) {
    }

    private Sent inTheZone(double load, int tier, long seed) {
        Settings plain = Node.settings(Node.requestClass("read", Effect.SAFE, KeyGroup.ALL));
        Settings settings = new Settings("a", ZONES, tier, 0, 1, plain.classes(), List.of(), 1, false, false, Weights.NONE, List.of(), 0.02,
            2 * MS, plain.limits(), plain.rules());
        long begin = 100 * SECOND;
        long back = begin + 12 * SECOND;
        long cut = back + SECOND;
        long end = cut + 6 * SECOND;
        Herd herd = new Herd(settings, NODES, seed, (node, server, now) -> {
            boolean apart = now >= cut && now < end && ZONES.get(node % 4).equals(CUT) != server.startsWith(CUT);
            return apart ? new Herd.Servers.Reply(Outcome.CONNECT_FAILED, DIAL) : new Herd.Servers.Reply(Outcome.OK, 50 * MS);
        });
        List<ServerEntry> first = new ArrayList<>();
        List<ServerEntry> cold = new ArrayList<>();
        for (int i = 0; i < 4 * IN_ZONE; i++) {
            String zone = ZONES.get(i % 4);
            first.add(Herd.entry(zone + i, zone, ServerState.READY, 0));
            if (zone.equals(CUT)) {
                cold.add(Herd.entry(zone + i, zone, ServerState.READY, back));
            }
        }
        herd.tell(begin, 0, new Membership(ListKind.ALL, first));
        herd.tell(back, SECOND / 2, new Membership(ListKind.CHANGES, cold));
        herd.load("read", load * CAPACITY * 4 * IN_ZONE, SECOND, end);
        herd.run(end);
        List<Herd.Sent> late = herd.sent.stream().filter(s -> s.at() > end - 4 * SECOND && ZONES.get(s.node() % 4).equals(CUT)).toList();
        long within = late.stream().filter(s -> s.server().startsWith(CUT)).count();
        coldOnesStayWithinTheRule(herd, back);
        double came = load * CAPACITY * IN_ZONE * 4;
        return new Sent(within / came, (late.size() - within) / came);
    }

    @ParameterizedTest
    @CsvSource({"0.3, 1, 1", "0.5, 1, 2", "0.5, 0, 3", "0.9, 1, 4"})
    void itsNodesUseWhatItsServersCan(double load, int tier, long seed) {
        Sent sent = inTheZone(load, tier, seed);
        assertTrue(sent.toTheZone() > 0.6, "granted too little: " + sent);
        assertTrue(sent.acrossTheCut() < 0.6, "dials that can't come up, in place of a wait: " + sent);
    }

    private static void coldOnesStayWithinTheRule(Herd herd, long back) {
        Map<String, List<Long>> sends = new HashMap<>();
        herd.sent.stream().filter(s -> s.server().startsWith(CUT) && s.at() >= back).forEach(s -> sends.computeIfAbsent(s.server(), k -> new ArrayList<>()).add(s.at()));
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
