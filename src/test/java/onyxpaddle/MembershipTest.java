package onyxpaddle;

import static onyxpaddle.Node.MS;
import static onyxpaddle.Node.SECOND;
import static onyxpaddle.Node.only;
import static onyxpaddle.Node.sent;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import onyxpaddle.Balancing.*;
import org.junit.jupiter.api.Test;

class MembershipTest {
    private static Node asking(long seed) {
        Settings plain = Node.settings(Node.requestClass("read", Effect.SAFE, KeyGroup.ALL));
        return new Node(new Settings("east", List.of("east"), 0, 0, 100, plain.classes(), List.of(), 1, false, true,
            Weights.NONE, List.of(), 0, 2 * MS, plain.limits(), plain.rules()), seed);
    }

    private static List<Action> remembered(Node node) {
        return node.handle(new Membership(ListKind.REMEMBERED, List.of(node.entry("a", ServerState.READY, 0))));
    }

    @Test
    void listIsKeptAcrossAFailedCall() {
        Node node = Node.plain().list("a");
        node.handle(new Membership(ListKind.REFUSED, List.of()));
        assertEquals("a", sent(node.arrive("r", "read")));
    }

    @Test
    void serverMissingFromAWholeListIsGone() {
        Node node = Node.plain().list("a", "b").list("b");
        for (int i = 0; i < 50; i++) {
            assertEquals("b", node.serve("r" + i, MS));
        }
    }

    @Test
    void serverThatCameBackIsSentToAgain() {
        Node node = Node.plain().list("a");
        node.changes(node.entry("a", ServerState.DRAINING, 0));
        node.changes(node.entry("a", ServerState.READY, 0));
        assertEquals("a", sent(node.arrive("r", "read")));
    }

    @Test
    void lateOutcomeOfAServerLongGoneIsIgnored() {
        Node node = Node.plain().list("a", "b");
        String server = sent(node.arrive("r", "write"));
        node.list(server.equals("a") ? "b" : "a");
        assertFalse(only(node.end("r", 0, server, Outcome.OK, MS), Send.class).isPresent());
        assertTrue(node.end("unknown", 0, "z", Outcome.OK, MS).isEmpty());
    }

    @Test
    void nodesSpreadTheirFirstSubscription() {
        long first = only(remembered(asking(1)), SetTimer.class).orElseThrow().after();
        long second = only(remembered(asking(2)), SetTimer.class).orElseThrow().after();
        assertTrue(first != second);
        assertTrue(Math.max(first, second) < 5 * SECOND, "later than the rule lets a node go without asking");
    }

    @Test
    void refusedSubscriptionIsAskedForAgainLaterEachTime() {
        Node node = asking(3);
        List<Action> actions = node.fire(remembered(node));
        assertTrue(only(actions, Subscribe.class).isPresent());
        long total = 0;
        for (int i = 0; i < 5; i++) {
            actions = node.handle(new Membership(ListKind.REFUSED, List.of()));
            assertFalse(only(actions, Subscribe.class).isPresent());
            long wait = only(actions, SetTimer.class).orElseThrow().after();
            assertTrue(wait >= SECOND && wait <= 10 * SECOND, "waits " + wait);
            total += wait;
            actions = node.fire(actions);
            assertTrue(only(actions, Subscribe.class).isPresent());
        }
        assertTrue(total > 15 * SECOND, "waits do not grow: " + total);
    }

    @Test
    void subscribedNodeDoesNotAskAgain() {
        Node node = asking(4);
        node.fire(remembered(node));
        assertTrue(node.changes(node.entry("b", ServerState.READY, 0)).isEmpty());
        node.now += 60 * SECOND;
        assertFalse(only(node.handle(new Timer("due")), Subscribe.class).isPresent());
    }
}
