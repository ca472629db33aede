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
import org.junit.jupiter.params.provider.ValueSource;

/** Rule 4 and service, summed over many nodes with little traffic each, where servers keep being replaced. */
class ColdFleetTest {
    private static final int SERVERS = 8;
    private static final int NODES = 6;
    private static final int MANY_SERVERS = 120;
    private static final int MANY_NODES = 60;
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

    private Herd herd(int nodes, int servers, long seed) {
        Herd herd = new Herd(deepTier(), nodes, seed,
            (node, server, now) -> new Herd.Servers.Reply(Outcome.OK, 50 * MS));
        List<ServerEntry> first = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            started.put("s" + i, 0L);
            first.add(Herd.entry("s" + i, ServerState.READY, 0));
        }
        herd.tell(herd.now, 0, new Membership(ListKind.ALL, first));
        return herd;
    }

    /** Every half second one server goes and a new one comes; nobody lives for longer than four seconds. */
    private Herd churn(long seed) {
        Herd herd = herd(NODES, SERVERS, seed);
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

    /** Far more calls than two cold servers can take: only what they are granted keeps all nodes together from it. */
    @ParameterizedTest
    @ValueSource(longs = {4, 5})
    void twoColdServersInPlaceOfEightAreNotPushedOver(long seed) {
        Herd herd = herd(NODES, SERVERS, seed);
        long at = herd.now + 10 * SECOND;
        started.put("c0", at);
        started.put("c1", at);
        herd.tell(at, 0, new Membership(ListKind.ALL,
            List.of(Herd.entry("c0", ServerState.READY, at), Herd.entry("c1", ServerState.READY, at))));
        herd.load("read", LOAD, SECOND, at + 8 * SECOND);
        herd.run(at + 10 * SECOND);
        coldOnesStayWithinTheRule(herd);
    }

    /** A third of a large fleet comes back at once, before nodes of which each draws from a tenth of the servers. */
    @ParameterizedTest
    @ValueSource(longs = {6, 7})
    void zoneThatComesBackColdGetsItsPartOfTheCallsFromManyNodes(long seed) {
        Herd herd = herd(MANY_NODES, MANY_SERVERS, seed);
        long back = herd.now + 12 * SECOND;
        List<ServerEntry> zone = new ArrayList<>();
        for (int i = 0; i < MANY_SERVERS / 3; i++) {
            started.put("z" + i, back);
            zone.add(Herd.entry("z" + i, ServerState.READY, back));
            herd.tell(back - 4 * SECOND, SECOND, new Membership(ListKind.CHANGES,
                List.of(Herd.entry("s" + i, ServerState.GONE, 0))));
        }
        herd.tell(back, 2 * SECOND, new Membership(ListKind.CHANGES, zone));
        long end = back + 9 * SECOND;
        double load = 0.4 * CAPACITY * MANY_SERVERS;
        herd.load("read", load, SECOND, end);
        herd.run(end + 2 * SECOND);
        long late = herd.sent.stream()
            .filter(s -> s.at() > back + 3 * SECOND && s.at() < end && s.server().startsWith("z")).count();
        // Their share, were they warm, is load / servers for each; half of it is their capacity at that age.
        double share = late / (load * 6 / 3);
        assertTrue(share > 0.4, "cold servers get " + share + " of an even share");
        coldOnesStayWithinTheRule(herd);
    }

    /** All of a fleet in which a draw looks at a part of the servers starts anew, under more calls than it can take. */
    @ParameterizedTest
    @CsvSource({"60, 8", "12, 9"})
    void largeFleetThatIsColdAsAWholeIsNotPushedOver(int nodes, long seed) {
        int servers = 240;
        Herd herd = herd(nodes, servers, seed);
        long at = herd.now + 8 * SECOND;
        List<ServerEntry> anew = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            started.put("c" + i, at);
            anew.add(Herd.entry("c" + i, ServerState.READY, at));
        }
        herd.tell(at, 0, new Membership(ListKind.ALL, anew));
        herd.at(at + 3 * SECOND, () -> herd.offered = herd.served = 0);
        herd.load("read", 0.7 * CAPACITY * servers, SECOND, at + 5 * SECOND);
        herd.run(at + 7 * SECOND);
        assertTrue(herd.served > 0.5 * herd.offered, herd.served + " of " + herd.offered + " served");
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
