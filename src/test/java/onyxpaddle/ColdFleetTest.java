package onyxpaddle;

import static onyxpaddle.Node.MS;
import static onyxpaddle.Node.SECOND;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import onyxpaddle.Balancing.*;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Rule 4 and service, summed over many nodes with little traffic each, where servers keep being replaced. */
class ColdFleetTest {
    private static final int SERVERS = 8;
    private static final int NODES = 6;
    /** What a warm server can do in a second; the rule's figures are those of {@link Node#settings}. */
    private static final double CAPACITY = 40;
    private static final double LOAD = 0.5 * CAPACITY * SERVERS;

    private final Map<String, Long> started = new HashMap<>();

    private static Settings deepTier() {
        Settings plain = Node.settings(Node.requestClass("read", Effect.SAFE, KeyGroup.ALL));
        return new Settings(plain.zone(), plain.zones(), 1, 0, 1, plain.classes(), List.of(), 1, false, false,
            Weights.NONE, List.of(), 0, 2 * MS, plain.limits(), plain.rules());
    }

    private double capacity(String server, long at) {
        long start = started.get(server);
        double age = start == 0 ? 1 : Math.min(1, (double) (at - start) / (10 * SECOND));
        return CAPACITY * (0.2 + 0.8 * age);
    }

    private Herd herd(long seed) {
        Herd herd = new Herd(deepTier(), NODES, seed,
            (node, server, now) -> new Herd.Servers.Reply(Outcome.OK, 50 * MS));
        List<ServerEntry> first = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            started.put("s" + i, 0L);
            first.add(Herd.entry("s" + i, ServerState.READY, 0));
        }
        herd.tell(herd.now, 0, new Membership(ListKind.ALL, first));
        return herd;
    }

    /** Every half second one server goes and a new one comes; nobody lives for longer than four seconds. */
    private Herd churn(long seed) {
        Herd herd = herd(seed);
        long begin = herd.now + 10 * SECOND;
        for (int i = 0; i < 80; i++) {
            long at = begin + i * SECOND / 2;
            started.put("s" + (SERVERS + i), at);
            herd.tell(at, SECOND / 2, new Membership(ListKind.CHANGES, List.of(
                Herd.entry("s" + i, ServerState.GONE, started.get("s" + i)),
                Herd.entry("s" + (SERVERS + i), ServerState.READY, at))));
        }
        return herd;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void callsAreServedWhereNoServerLivesLongEnoughToBeWarm(long seed) {
        Herd herd = churn(seed);
        long end = herd.now + 48 * SECOND;
        herd.at(herd.now + 20 * SECOND, () -> herd.offered = herd.served = 0);
        herd.load("read", LOAD, SECOND, end);
        herd.run(end + 2 * SECOND);
        assertTrue(herd.served > 0.6 * herd.offered, herd.served + " of " + herd.offered + " served");
        coldOnesStayWithinTheRule(herd);
    }

    @ParameterizedTest
    @ValueSource(longs = {4, 5})
    void fleetThatIsReplacedWithin7SecondsIsNotPushedOver(long seed) {
        Herd herd = herd(seed);
        long begin = herd.now + 10 * SECOND;
        for (int i = 0; i < SERVERS * 6 / 10; i++) {
            long at = begin + i * 7 * SECOND / 5;
            started.put("n" + i, at);
            herd.tell(at, 2 * SECOND, new Membership(ListKind.CHANGES, List.of(
                Herd.entry("s" + i, ServerState.GONE, 0), Herd.entry("n" + i, ServerState.READY, at))));
        }
        long end = herd.now + 30 * SECOND;
        herd.load("read", LOAD, SECOND, end);
        herd.run(end + 2 * SECOND);
        assertTrue(herd.served > 0.97 * herd.offered, herd.served + " of " + herd.offered + " served");
        coldOnesStayWithinTheRule(herd);
    }

    /** The budget of rule 4 over every window of its length that ends with a send to a cold server. */
    private void coldOnesStayWithinTheRule(Herd herd) {
        Map<String, List<Long>> sends = new HashMap<>();
        herd.sent.stream().filter(s -> started.get(s.server()) > 0)
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
