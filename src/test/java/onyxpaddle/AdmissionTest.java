package onyxpaddle;

import static onyxpaddle.BalancerHarness.MS;
import static onyxpaddle.BalancerHarness.only;
import static onyxpaddle.BalancerHarness.sent;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import onyxpaddle.BalancerApi.*;
import org.junit.jupiter.api.Test;

class AdmissionTest {
    private static final RequestClass CHEAP = BalancerHarness.requestClass("cheap", Effect.UNSAFE, KeyGroup.ALL);
    private static final RequestClass VALUABLE = new RequestClass("valuable", Effect.UNSAFE, KeyGroup.ALL, 0, 400 * MS, 0,
        2 * BalancerHarness.SECOND, 9, 0, false);

    /** Sends requests until the node admits no more; returns those admitted. */
    private static List<String> fill(BalancerHarness node) {
        List<String> sent = new ArrayList<>();
        for (int i = 0; ; i++) {
            if (sent(node.arrive("f" + i, "cheap")) == null) {
                return sent;
            }
            sent.add("f" + i);
        }
    }

    @Test
    void requestsBeyondTheLimitAreRefusedEarlyAndNotSent() {
        BalancerHarness node = new BalancerHarness(BalancerHarness.settings(CHEAP, VALUABLE), 1).list("a", "b");
        assertTrue(fill(node).size() < 100);
        long before = node.now;
        List<Action> actions = node.fire(List.of(new SetTimer(100 * MS, "due")));
        assertTrue(only(actions, Refuse.class).orElseThrow().retryAfter() > 0, "" + actions);
        assertTrue(node.now - before < 400 * MS);
    }

    @Test
    void requestsWorthMostAreAdmittedFirst() {
        BalancerHarness node = new BalancerHarness(BalancerHarness.settings(CHEAP, VALUABLE), 1).list("a", "b");
        List<String> sent = fill(node);
        node.arrive("valuable", "valuable");
        List<Send> admitted = new ArrayList<>();
        for (int i = 0; admitted.isEmpty(); i++) {
            node.handle(new AttemptEnded(sent.get(i), 0, "a", Outcome.OK, 20 * MS, true, null)).stream()
                .filter(Send.class::isInstance).forEach(action -> admitted.add((Send) action));
        }
        assertEquals("valuable", admitted.get(0).request());
    }

    /** Guards against first-come admission under overload, which serves the classes worth most no better than the others. */
    @Test
    void lastPartOfTheLimitIsReservedForRequestsWorthMore() {
        BalancerHarness node = new BalancerHarness(BalancerHarness.settings(CHEAP, VALUABLE), 1).list("a", "b");
        List<Integer> admitted = new ArrayList<>();
        int valuable = 0;
        for (int i = 0; i < 40; i++) {
            // With one valuable request for three cheap ones the usual worth lies between the two.
            boolean isValuable = i % 4 == 0;
            boolean sent = sent(node.arrive("m" + i, isValuable ? "valuable" : "cheap")) != null;
            if (sent) {
                admitted.add(i);
                valuable += isValuable ? 1 : 0;
            }
        }
        assertTrue(valuable * 3 >= admitted.size(), valuable + " valuable of " + admitted);
    }

    /** Guards against late answers that leave the limit as it is: every server then works off a queue that is too old. */
    @Test
    void lateAnswersLowerTheLimit() {
        BalancerHarness node = new BalancerHarness(BalancerHarness.settings(CHEAP, VALUABLE), 1).list("a", "b");
        int first = fill(node).size();
        for (int i = 0; i < first; i++) {
            node.handle(new AttemptEnded("f" + i, 0, "a", Outcome.OK, 900 * MS, true, null));
        }
        node.now += BalancerHarness.SECOND;
        node.handle(new Timer("due"));
        int sent = 0;
        while (sent(node.arrive("after" + sent, "cheap")) != null) {
            sent++;
        }
        assertTrue(sent < first / 2, sent + " after " + first);
    }

    @Test
    void tenantBeyondItsQuotaIsAdmittedAfterOthers() {
        Settings s = BalancerHarness.settings(CHEAP);
        BalancerHarness node = new BalancerHarness(new Settings(s.zone(), s.zones(), 0, 0, 2, s.classes(),
            List.of(new Tenant("greedy", 20), new Tenant("modest", 20)), 0.1, false, false, Weights.NONE, List.of(),
            0, 2 * MS, s.limits(), s.rules()), 1).list("a", "b");
        List<String> sent = fill(node);
        // The quota of 20 per second is split between two nodes, so this one grants 10.
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

    private static void arrive(BalancerHarness node, String request, String tenant) {
        node.handle(new Arrival(request, "cheap", node.now + 2 * BalancerHarness.SECOND, tenant, 0, false));
    }
}
