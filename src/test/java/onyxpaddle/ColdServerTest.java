package onyxpaddle;

import static onyxpaddle.Node.MS;
import static onyxpaddle.Node.SECOND;
import static onyxpaddle.Node.sent;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import onyxpaddle.BalancerApi.*;
import org.junit.jupiter.api.Test;

class ColdServerTest {
    /** Calls to the cold servers when this many a second are served over the span, each in 50 ms. */
    private static int coldCalls(Node node, int perSecond, double seconds) {
        int calls = 0;
        for (int i = 0; i < perSecond * seconds; i++) {
            String server = sent(node.arrive("r" + i, "read"));
            node.now += SECOND / perSecond;
            calls += server != null && server.startsWith("c") ? 1 : 0;
            if (server != null) {
                node.end("r" + i, 0, server, Outcome.OK, 50 * MS);
            }
        }
        return calls;
    }

    /** Has all that the actions send served at once; returns how much that was. */
    private static int endAll(Node node, List<Action> actions) {
        int calls = 0;
        for (Action action : actions) {
            if (action instanceof Send send) {
                calls += 1 + endAll(node, node.end(send.request(), 0, send.server(), Outcome.OK, 50 * MS));
            }
        }
        return calls;
    }

    private static Node node(int warm, int cold) {
        Node node = Node.plain();
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < warm; i++) {
            entries.add(node.entry("w" + i, ServerState.READY, 0));
        }
        for (int i = 0; i < cold; i++) {
            entries.add(node.entry("c" + i, ServerState.READY, node.now));
        }
        node.handle(new Membership(ListKind.CACHED, entries));
        return node;
    }

    @Test
    void coldServerGetsNoMoreThanItsPresentPartOfAWarmOnesCalls() {
        // 100 calls a second on 10 servers: a warm one carries 10 a second, a fresh one is good for a fifth.
        int calls = coldCalls(node(9, 1), 100, 2);
        assertTrue(calls > 0 && calls <= 8, calls + " calls in the first 2 s");
    }

    @Test
    void limitHoldsWhenHalfOfTheServersRestartAtOnce() {
        int calls = coldCalls(node(5, 5), 100, 1);
        assertTrue(calls <= 5 * 7, calls + " calls in the first second");
    }

    @Test
    void limitHoldsWhereEveryListedServerIsCold() {
        Node node = node(0, 10);
        int calls = 0;
        for (int i = 0; i < 100; i++) {
            calls += endAll(node, node.arrive("r" + i, "read"));
            node.now += 10 * MS;
            calls += endAll(node, node.handle(new Timer("due")));
        }
        assertTrue(calls > 0 && calls <= 40, calls + " calls in the first second");
    }

    @Test
    void nodesDoNotAllSendTheirFirstCallAtOnce() {
        int first = 0;
        for (int seed = 0; seed < 100; seed++) {
            Node node = new Node(Node.settings(Node.requestClass("read", Effect.SAFE, KeyGroup.ALL)), seed);
            node.handle(new Membership(ListKind.CACHED, List.of(node.entry("c", ServerState.READY, node.now))));
            first += sent(node.arrive("r", "read")) == null ? 0 : 1;
        }
        assertTrue(first < 25, first + " of 100 nodes sent at once");
    }
}
