package onyxpaddle;

import static onyxpaddle.Node.MS;
import static onyxpaddle.Node.sent;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import onyxpaddle.BalancerApi.*;
import org.junit.jupiter.api.Test;

class SpanTest {
    private static Settings settings(int self, int siblings) {
        Settings plain = Node.settings(Node.requestClass("read", Effect.SAFE, KeyGroup.ALL));
        return new Settings("east", List.of("east", "west"), 1, self, siblings, plain.classes(), List.of(), 1, false,
            false, Weights.NONE, List.of(), 0, 2 * MS, plain.limits(), plain.rules());
    }

    private static Node node(int self, int siblings, int servers) {
        Node node = new Node(settings(self, siblings), self);
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            entries.add(node.entry("s" + i, ServerState.READY, 0));
        }
        node.handle(new Membership(ListKind.ALL, entries));
        return node;
    }

    private static Set<String> met(Node node) {
        Set<String> met = new HashSet<>();
        for (int i = 0; i < 1500; i++) {
            met.add(node.serve("r" + i, 50 * MS));
        }
        return met;
    }

    @Test
    void manyNodesEachMeetFewServersAndTogetherAll() {
        Set<String> all = new HashSet<>();
        for (int self = 0; self < 50; self++) {
            Set<String> met = met(node(self, 50, 100));
            assertTrue(met.size() <= 12, met.size() + " servers met by one node");
            all.addAll(met);
        }
        assertEquals(100, all.size());
    }

    @Test
    void fewNodesLeaveNoServerOut() {
        assertEquals(100, met(node(0, 1, 100)).size());
    }

    /** A node whose nearest servers all failed must not be left with them. */
    @Test
    void deadServersAreMadeUpForByTheNextOnes() {
        Node node = node(0, 50, 100);
        Set<String> dead = met(node);
        int toDead = 0;
        for (int i = 0; i < 400; i++) {
            String server = sent(node.arrive("d" + i, "read"));
            boolean isDead = dead.contains(server);
            toDead += isDead && i >= 200 ? 1 : 0;
            node.end("d" + i, 0, server, isDead ? Outcome.ERROR : Outcome.OK, 50 * MS);
            node.handle(new ClientGone("d" + i));
        }
        assertTrue(toDead < 50, toDead + " of 200 calls went to dead servers");
    }
}
