package onyxpaddle;

import static onyxpaddle.Node.MS;
import static onyxpaddle.Node.sent;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import onyxpaddle.BalancerApi.*;
import org.junit.jupiter.api.Test;

/** What one process of a node tells the next, what operators take out by hand, and a limit that a calm hour leaves alone. */
class ReplacementTest {
    /** A node that has met a fast server, a slow one and one that only fails. */
    private static Node experienced() {
        Node node = Node.plain().list("a", "b", "c");
        for (int i = 0; i < 400; i++) {
            node.now += 5 * MS;
            String server = sent(node.arrive("r" + i, "write"));
            Outcome outcome = server.equals("c") ? Outcome.ERROR : Outcome.OK;
            node.end("r" + i, 0, server, outcome, server.equals("a") ? 10 * MS : 200 * MS);
        }
        return node;
    }

    private static int[] shares(Node node, String prefix) {
        int[] shares = new int[3];
        for (int i = 0; i < 60; i++) {
            shares[asked(node, prefix + i).charAt(0) - 'a']++;
        }
        return shares;
    }

    /** Where a request goes, whose caller then leaves. */
    private static String asked(Node node, String id) {
        String server = sent(node.arrive(id, "write"));
        node.handle(new ClientGone(id));
        node.end(id, 0, server, Outcome.CANCELLED, MS);
        return server;
    }

    @Test
    void nextProcessSendsWhereTheFirstHasLearntTo() {
        Node first = experienced();
        Node next = Node.plain();
        next.now = first.now;
        next.balancer.restore(first.balancer.snapshot(first.now));
        // The list comes after what is remembered, or before: either way it is this server's.
        next.list("a", "b", "c");
        int[] shares = shares(next, "n");
        assertTrue(shares[0] > 45, "the fast one has " + shares[0] + " of 60");
        assertTrue(shares[2] < 6, "the failing one has " + shares[2]);
        int[] anew = shares(Node.plain().list("a", "b", "c"), "m");
        assertTrue(anew[0] < 40, "without being told the fast one has " + anew[0]);
    }

    @Test
    void memoryOfAServerThatHasStartedAnewIsNotUsed() {
        Node first = experienced();
        Node next = Node.plain();
        next.now = first.now;
        next.balancer.restore(first.balancer.snapshot(first.now));
        next.handle(new Membership(ListKind.ALL, List.of(next.entry("a", ServerState.READY, 0),
            next.entry("c", ServerState.READY, next.now - 20 * Node.SECOND))));
        int[] shares = shares(next, "n");
        assertTrue(shares[2] > 15, "one that is new has " + shares[2] + " of 60");
    }

    @Test
    void memoryGoesRoundUnchanged() {
        Node first = experienced();
        Node next = Node.plain();
        next.now = first.now;
        next.list("a", "b", "c");
        next.balancer.restore(first.balancer.snapshot(first.now));
        assertEquals(first.balancer.snapshot(first.now), next.balancer.snapshot(first.now));
    }

    /** The list that a process is started with may be older than what the process before it was told. */
    @Test
    void whatTheFirstProcessKnewToDrainOrToBeGoneGetsNothingFromAnOlderList() {
        Node first = Node.plain().list("a", "b", "c", "d");
        first.changes(first.entry("b", ServerState.DRAINING, 0), first.entry("c", ServerState.GONE, 0));
        for (boolean listFirst : new boolean[] {true, false}) {
            Node next = Node.plain();
            next.now = first.now;
            if (listFirst) {
                next.handle(old(next));
                next.balancer.restore(first.balancer.snapshot(first.now));
            } else {
                next.balancer.restore(first.balancer.snapshot(first.now));
                next.handle(old(next));
            }
            for (int i = 0; i < 40; i++) {
                String server = asked(next, "r" + i);
                assertTrue(server.equals("a") || server.equals("d"), server + " gets a request, list first: " + listFirst);
            }
            assertEquals(new FleetSummary(4, 2), next.balancer.fleet(next.now));
            assertEquals(2, next.balancer.serverStatuses(next.now).stream().filter(ServerStatus::doubted).count());
            // Handed on again before discovery has spoken, it is still what the first process knew.
            assertTrue(next.balancer.snapshot(next.now).servers().stream().filter(ServerSnapshot::leaving).count() == 2);
            // What has changed since the old list is all there is to say against it.
            next.changes(next.entry("c", ServerState.GONE, 0));
            assertEquals(new FleetSummary(3, 0), next.balancer.fleet(next.now));
        }
    }

    /** What the first process hears a moment later than the second is no reason to leave a server out. */
    @Test
    void aServerThatDiscoveryHasNamedIsNeverDoubted() {
        Node first = Node.plain().list("a", "b");
        Node next = Node.plain();
        next.now = first.now;
        next.handle(new Membership(ListKind.CACHED, List.of(next.entry("a", ServerState.READY, 0), next.entry("b", ServerState.READY, 0))));
        next.changes(next.entry("c", ServerState.READY, 0));
        next.balancer.restore(first.balancer.snapshot(first.now));
        assertEquals(new FleetSummary(3, 0), next.balancer.fleet(next.now));
    }

    @Test
    void anOlderListDoesNotMakeAServerWarmThatHasStartedSince() {
        Node first = Node.plain();
        first.handle(new Membership(ListKind.ALL, List.of(first.entry("a", ServerState.READY, 0),
            first.entry("b", ServerState.READY, first.now - Node.SECOND))));
        Node next = Node.plain();
        next.now = first.now;
        next.handle(old(next));
        next.balancer.restore(first.balancer.snapshot(first.now));
        for (int i = 0; i < 20; i++) {
            assertEquals("a", asked(next, "r" + i));
        }
    }

    @Test
    void aProcessThatKnewNoServerOrNotAllOfThemLeavesTheListAsItIs() {
        Node next = Node.plain();
        next.handle(old(next));
        next.balancer.restore(Node.plain().balancer.snapshot(next.now));
        assertEquals(new FleetSummary(4, 0), next.balancer.fleet(next.now));
        BalancerSnapshot all = Node.plain().list("a").balancer.snapshot(next.now);
        Node third = Node.plain();
        third.handle(old(third));
        third.balancer.restore(new BalancerSnapshot(all.servers(), false, all.classes(), all.takenOut(), all.admitLimit(), all.metLate(),
            all.retriesSaved(), all.usualRank(), all.usualWorth()));
        assertEquals(new FleetSummary(4, 0), third.balancer.fleet(third.now));
    }

    /** a to d, all ready. */
    private static Membership old(Node node) {
        return new Membership(ListKind.CACHED, java.util.stream.Stream.of("a", "b", "c", "d")
            .map(id -> node.entry(id, ServerState.READY, 0)).toList());
    }

    @Test
    void serverTakenOutGetsNothingUntilItIsPutBackWhateverListsSay() {
        Node node = Node.plain().list("a", "b");
        node.handle(new TakenOut("a", true));
        node.list("a", "b");
        node.changes(node.entry("a", ServerState.DRAINING, 0));
        node.changes(node.entry("a", ServerState.READY, 0));
        assertEquals(0, shares(node, "x")[0]);
        assertEquals(new FleetSummary(2, 1), node.balancer.fleet(node.now));
        node.handle(new TakenOut("a", false));
        assertTrue(shares(node, "y")[0] > 10);
    }

    @Test
    void aThousandServersAndMoreCanBeTakenOut() {
        String[] names = java.util.stream.IntStream.range(0, 1_100).mapToObj(i -> "s" + i).toArray(String[]::new);
        Node node = Node.plain().list(names);
        for (int i = 1; i < names.length; i++) {
            node.handle(new TakenOut(names[i], true));
        }
        assertEquals(new FleetSummary(1_100, 1_099), node.balancer.fleet(node.now));
        assertEquals("s0", sent(node.arrive("r", "write")));
    }

    @Test
    void lateAnswersInACalmHourLeaveTheLimitForWhatMayCome() {
        Node node = Node.plain().list("a", "b");
        for (int i = 0; i < 300; i++) {
            node.now += 50 * MS;
            String server = sent(node.arrive("c" + i, "write"));
            node.end("c" + i, 0, server, Outcome.OK, i % 10 == 0 ? 900 * MS : 20 * MS);
        }
        int sent = 0;
        while (sent(node.arrive("more" + sent, "write")) != null) {
            sent++;
        }
        assertTrue(sent >= 5, sent + " are let in at once after a calm hour");
    }
}
