package onyxpaddle;

import static onyxpaddle.Node.MS;
import static onyxpaddle.Node.only;
import static onyxpaddle.Node.sent;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import onyxpaddle.BalancerApi.*;
import org.junit.jupiter.api.Test;

class AdmissionTest {
    private static final RequestClass CHEAP = Node.requestClass("cheap", Effect.UNSAFE, KeyGroup.ALL);
    private static final RequestClass DEAR = new RequestClass("dear", Effect.UNSAFE, KeyGroup.ALL, 0, 400 * MS, 0,
        2 * Node.SECOND, 9, 0, false);

    /** Sends until the node no longer lets requests in and returns those sent. */
    private static List<String> fill(Node node) {
        List<String> sent = new ArrayList<>();
        for (int i = 0; ; i++) {
            if (sent(node.arrive("f" + i, "cheap")) == null) {
                return sent;
            }
            sent.add("f" + i);
        }
    }

    @Test
    void requestsBeyondTheLimitAreRefusedSoonAndNotSent() {
        Node node = new Node(Node.settings(CHEAP, DEAR), 1).list("a", "b");
        assertTrue(fill(node).size() < 100);
        long before = node.now;
        List<Action> actions = node.fire(List.of(new SetTimer(100 * MS, "due")));
        assertTrue(only(actions, Refuse.class).orElseThrow().retryAfter() > 0, "" + actions);
        assertTrue(node.now - before < 400 * MS);
    }

    @Test
    void whatIsWorthMostIsLetInFirst() {
        Node node = new Node(Node.settings(CHEAP, DEAR), 1).list("a", "b");
        List<String> sent = fill(node);
        node.arrive("dear", "dear");
        List<Send> let = new ArrayList<>();
        for (int i = 0; let.isEmpty(); i++) {
            node.handle(new AttemptEnded(sent.get(i), 0, "a", Outcome.OK, 20 * MS, true, null)).stream()
                .filter(Send.class::isInstance).forEach(action -> let.add((Send) action));
        }
        assertEquals("dear", let.get(0).request());
    }

    /** Overload once served the dearest class no better than the cheapest, first come first let in. */
    @Test
    void lastPartOfTheLimitIsKeptForWhatIsWorthMore() {
        Node node = new Node(Node.settings(CHEAP, DEAR), 1).list("a", "b");
        List<Integer> letIn = new ArrayList<>();
        int dear = 0;
        for (int i = 0; i < 40; i++) {
            // One dear request for three cheap ones makes the usual lie between the two.
            boolean isDear = i % 4 == 0;
            boolean sent = sent(node.arrive("m" + i, isDear ? "dear" : "cheap")) != null;
            if (sent) {
                letIn.add(i);
                dear += isDear ? 1 : 0;
            }
        }
        assertTrue(dear * 3 >= letIn.size(), dear + " dear of " + letIn);
    }

    /** Late answers at the first tier once jammed every server behind a queue nobody could use. */
    @Test
    void lateAnswersLowerTheLimit() {
        Node node = new Node(Node.settings(CHEAP, DEAR), 1).list("a", "b");
        int first = fill(node).size();
        for (int i = 0; i < first; i++) {
            node.handle(new AttemptEnded("f" + i, 0, "a", Outcome.OK, 900 * MS, true, null));
        }
        node.now += Node.SECOND;
        node.handle(new Timer("due"));
        int sent = 0;
        while (sent(node.arrive("again" + sent, "cheap")) != null) {
            sent++;
        }
        assertTrue(sent < first / 2, sent + " after " + first);
    }

    @Test
    void tenantBeyondItsQuotaWaitsBehindTheOthers() {
        Settings s = Node.settings(CHEAP);
        Node node = new Node(new Settings(s.zone(), s.zones(), 0, 0, 2, s.classes(),
            List.of(new Tenant("greedy", 20), new Tenant("modest", 20)), 0.1, false, false, Weights.NONE, List.of(),
            0, 2 * MS, s.limits(), s.rules()), 1).list("a", "b");
        List<String> sent = fill(node);
        // Its half of the quota is 10 requests a second, for all that this node knows.
        for (int i = 0; i < 11; i++) {
            arrive(node, "g" + i, "greedy");
        }
        arrive(node, "m", "modest");
        List<String> order = new ArrayList<>();
        for (int i = 0; i < sent.size(); i++) {
            node.handle(new AttemptEnded(sent.get(i), 0, "a", Outcome.OK, 20 * MS, true, null)).stream()
                .filter(Send.class::isInstance).forEach(a -> order.add(((Send) a).request()));
        }
        for (int i = 0; order.size() < 12; i++) {
            String next = order.get(i);
            node.handle(new AttemptEnded(next, 0, "a", Outcome.OK, 20 * MS, true, null)).stream()
                .filter(Send.class::isInstance).forEach(a -> order.add(((Send) a).request()));
        }
        assertTrue(order.contains("m") && !order.contains("g10"), "" + order);
    }

    private static void arrive(Node node, String request, String tenant) {
        node.handle(new Arrival(request, "cheap", node.now + 2 * Node.SECOND, tenant, 0, false));
    }
}
