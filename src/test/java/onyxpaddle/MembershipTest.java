package onyxpaddle;

import static onyxpaddle.Node.MS;
import static onyxpaddle.Node.SECOND;
import static onyxpaddle.Node.only;
import static onyxpaddle.Node.sent;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import onyxpaddle.BalancerApi.*;
import org.junit.jupiter.api.Test;

class MembershipTest {
    private static Node asking(long seed) {
        Settings plain = Node.settings(Node.requestClass("read", Effect.SAFE, KeyGroup.ALL));
        return new Node(new Settings("east", List.of("east"), 0, 0, 100, plain.classes(), List.of(), 1, false, true,
            Weights.NONE, List.of(), 0, 2 * MS, plain.limits(), plain.rules()), seed);
    }

    private static List<Action> remembered(Node node) {
        return node.handle(new Membership(ListKind.CACHED, List.of(node.entry("a", ServerState.READY, 0))));
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

    /**
     * A change counts as told 6 s after discovery had it, whatever was refused before: the longest pause leaves more than half of that
     * for the call. Nodes whose asks are refused in one moment come back spread over a second and more, and not all as soon as at first.
     */
    @Test
    void refusedSubscriptionIsAskedForAgainWithinTheTimeInWhichAChangeIsTold() {
        double[] mean = new double[5];
        Set<Long> waits = new HashSet<>();
        for (int seed = 1; seed <= 30; seed++) {
            Node node = asking(seed);
            List<Action> actions = node.fire(remembered(node));
            assertTrue(only(actions, Subscribe.class).isPresent());
            for (int i = 0; i < mean.length; i++) {
                actions = node.handle(new Membership(ListKind.REFUSED, List.of()));
                assertFalse(only(actions, Subscribe.class).isPresent());
                long wait = only(actions, SetTimer.class).orElseThrow().after();
                assertTrue(wait >= SECOND && wait <= 2.5 * SECOND, "waits " + wait);
                waits.add(wait / (50 * MS));
                mean[i] += wait / 30.0;
                actions = node.fire(actions);
                assertTrue(only(actions, Subscribe.class).isPresent());
            }
        }
        assertTrue(mean[4] > 1.15 * mean[0], "waits do not grow: " + Arrays.toString(mean));
        assertTrue(waits.size() >= 20, "waits in " + waits.size() + " spans of 50 ms");
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
