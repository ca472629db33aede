package onyxpaddle;

import static onyxpaddle.Node.MS;
import static onyxpaddle.Node.SECOND;
import static onyxpaddle.Node.sent;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import onyxpaddle.BalancerApi.*;
import org.junit.jupiter.api.Test;

/** A node that draws from a sample: nothing that the whole list gave may be lost by it. */
class SampledDrawTest {
    private static final int SERVERS = 600;

    private static ServerEntry server(int number, ServerState state) {
        return new ServerEntry("s" + number, "east", number / 6, state, 1, 0);
    }

    private static List<ServerEntry> servers() {
        List<ServerEntry> list = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            list.add(server(i, ServerState.READY));
        }
        return list;
    }

    @Test
    void everyServerOfALargeFleetGetsItsPartOfTheCalls() {
        Herd herd = new Herd(Node.settings(Node.requestClass("read", Effect.SAFE, KeyGroup.ALL)), 9, 3,
            (node, server, now) -> new Herd.Servers.Reply(Outcome.OK, 20 * MS));
        herd.tell(herd.now, 0, new Membership(ListKind.ALL, servers()));
        herd.load("read", 3_000, SECOND, herd.now + 20 * SECOND);
        herd.run(herd.now + 21 * SECOND);
        Map<String, Long> calls = new HashMap<>();
        herd.sent.forEach(s -> calls.merge(s.server(), 1L, Long::sum));
        assertEquals(SERVERS, calls.size());
        LongStream each = calls.values().stream().mapToLong(Long::longValue);
        // 100 calls each on average.
        assertTrue(each.max().orElseThrow() < 200, calls.toString());
    }

    /** A key's memory lies with six servers of 600, most of which no sample of the node's holds. */
    @Test
    void keyedRequestThatMayHaveRunFindsItsCellAmongManyServers() {
        for (int seed = 1; seed <= 20; seed++) {
            Node node = new Node(Node.settings(Node.requestClass("put", Effect.KEYED, KeyGroup.CELL)), seed);
            node.handle(new Membership(ListKind.ALL, servers()));
            String first = sent(node.arrive("k", "put"));
            node.now += 5 * MS;
            String second = sent(node.end("k", 0, first, Outcome.RESET, 5 * MS));
            assertNotNull(second, "seed " + seed);
            assertEquals(Integer.parseInt(first.substring(1)) / 6, Integer.parseInt(second.substring(1)) / 6);
        }
    }

    /** All but three of 600 have left, changed one by one: nothing goes to those that drain, all goes to the three. */
    @Test
    void changesOneByOneLeaveTheSameServersAsAWholeList() {
        Node node = new Node(Node.settings(Node.requestClass("read", Effect.SAFE, KeyGroup.ALL)), 5);
        node.handle(new Membership(ListKind.ALL, servers()));
        for (int i = 3; i < SERVERS; i++) {
            node.changes(server(i, i % 2 == 0 ? ServerState.DRAINING : ServerState.GONE));
        }
        node.handle(new TakenOut("s1", true));
        Map<String, Integer> calls = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            calls.merge(node.serve("r" + i, 20 * MS), 1, Integer::sum);
        }
        assertEquals(java.util.Set.of("s0", "s2"), calls.keySet());
        node.handle(new TakenOut("s1", false));
        node.changes(server(4, ServerState.READY));
        for (int i = 60; i < 160; i++) {
            calls.merge(node.serve("r" + i, 20 * MS), 1, Integer::sum);
        }
        assertEquals(java.util.Set.of("s0", "s1", "s2", "s4"), calls.keySet());
    }

    /** Where most of a large fleet fails, a draw still comes to one that serves within a few tries. */
    @Test
    void soundServersAreFoundAmongManyThatFail() {
        Herd herd = new Herd(Node.settings(Node.requestClass("read", Effect.SAFE, KeyGroup.ALL)), 9, 4,
            (node, server, now) -> Integer.parseInt(server.substring(1)) % 10 == 0
                ? new Herd.Servers.Reply(Outcome.OK, 20 * MS) : new Herd.Servers.Reply(Outcome.CONNECT_FAILED, MS));
        herd.tell(herd.now, 0, new Membership(ListKind.ALL, servers()));
        long start = herd.now;
        herd.at(start + 15 * SECOND, () -> herd.offered = herd.served = 0);
        herd.load("read", 1_000, SECOND, start + 20 * SECOND);
        herd.run(start + 22 * SECOND);
        assertTrue(herd.served > 0.85 * herd.offered, herd.served + " of " + herd.offered);
    }
}
