package onyxpaddle.bgp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import onyxpaddle.bgp.AnnouncePolicy.Order;
import onyxpaddle.bgp.AnnouncePolicy.Peer;
import onyxpaddle.bgp.AnnouncePolicy.AddressStatus;
import onyxpaddle.bgp.AnnouncePolicy.Settings;
import onyxpaddle.bgp.BgpMessage.Update;
import onyxpaddle.bgp.ServiceHealth.Status;
import org.junit.jupiter.api.Test;

/** What is said of an address: in each state, and in every order of events to a depth. */
class AnnouncePolicyTest {
    private static final long S = 1_000_000_000L;
    private static final Prefix FOUR = new Prefix(new byte[] {10, 9, 8, 7}, 32);
    private static final Prefix SIX = new Prefix(new byte[] {0x20, 1, 13, (byte) 0xb8, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1}, 128);
    private static final AddressStatus UP = new AddressStatus(Status.UP, false, true);
    private static final AddressStatus DEGRADED = new AddressStatus(Status.DEGRADED, false, false);
    private static final AddressStatus DOWN = new AddressStatus(Status.DOWN, false, false);
    private static final AddressStatus DRAINING = new AddressStatus(Status.UP, true, false);
    private static final AddressStatus EMPTY = new AddressStatus(Status.UP, true, true);
    private static final Peer OUTER = new Peer("outer", 65001, false, new byte[] {10, 0, 0, 1}, null);
    private static final Peer INNER = new Peer("inner", 65001, true, new byte[] {10, 0, 0, 1}, new byte[16]);

    private static Settings terms(boolean withdrawDegraded, boolean last, int perMinute) {
        return new Settings(List.of(FOUR, SIX), withdrawDegraded, last, 10L, 200L, List.of(0x00010002), List.of(0x00010003), 3, 5 * S,
            40 * S, perMinute);
    }

    private static PathAttributes said(List<Order> orders, String peer) {
        Update update = orders.stream().filter(o -> o.peer().equals(peer)).findFirst().orElseThrow().update();
        assertTrue(update.withdrawn().isEmpty());
        return update.attributes();
    }

    @Test
    void eachStateIsSaidInItsOwnManner() {
        AnnouncePolicy policy = new AnnouncePolicy(terms(false, false, 10), 0);
        assertEquals(0, policy.holdDownRemaining(1_900_000_000L * S), "by any clock");
        assertEquals(List.of(), policy.up(OUTER, 0), "nothing before the service is seen");
        policy.up(INNER, 0);
        List<Order> up = policy.stands(UP, S);
        assertEquals(3, up.size(), "IPv4 to both, IPv6 to the one that takes it");
        assertEquals(List.of(65001L), said(up, "outer").asPath());
        assertNull(said(up, "outer").localPreference());
        assertEquals(List.of(), said(up, "inner").asPath());
        assertEquals(100L, said(up, "inner").localPreference());
        assertEquals(10L, said(up, "outer").med());
        assertEquals(List.of(), policy.stands(UP, 2 * S), "said once");
        List<Order> degraded = policy.stands(DEGRADED, 3 * S);
        assertEquals(200L, said(degraded, "outer").med());
        assertEquals(List.of(0x00010002, 0x00010003), said(degraded, "outer").communities());
        List<Order> draining = policy.stands(DRAINING, 4 * S);
        assertEquals(List.of(65001L, 65001L, 65001L, 65001L), said(draining, "outer").asPath());
        assertEquals(0L, said(draining, "inner").localPreference());
        assertTrue(said(draining, "outer").communities().contains(PathAttributes.GRACEFUL_SHUTDOWN));
        assertEquals(List.of(), policy.stands(DRAINING, 100 * S), "not empty yet, however long it takes");
        List<Order> empty = policy.stands(EMPTY, 101 * S);
        assertEquals(List.of(FOUR), empty.get(0).update().withdrawn());
        assertFalse(policy.announced());
        assertEquals(List.of(), policy.stands(UP, 102 * S), "held down for 5 s");
        assertEquals(3, policy.timers(106 * S).size());
    }

    @Test
    void downWithdrawsAtOnceWhateverTheBucketHolds() {
        AnnouncePolicy policy = new AnnouncePolicy(terms(false, false, 1), 0);
        policy.up(OUTER, 0);
        assertEquals(1, policy.stands(UP, S).size());
        assertEquals(1, policy.stands(DOWN, S + 1).size());
        assertEquals(1, policy.updates() - 1);
    }

    @Test
    void theLastAnnouncerStaysWhereItIsMerelyDegraded() {
        for (boolean last : new boolean[] {false, true}) {
            AnnouncePolicy policy = new AnnouncePolicy(terms(true, last, 10), 0);
            policy.up(OUTER, 0);
            policy.stands(UP, S);
            policy.stands(DEGRADED, 2 * S);
            assertEquals(last, policy.announced());
            policy.stands(DOWN, 3 * S);
            assertFalse(policy.announced(), "down is down");
        }
    }

    @Test
    void aPeerThatComesBackIsToldWhatHoldsAndNothingElse() {
        AnnouncePolicy policy = new AnnouncePolicy(terms(false, false, 1), 0);
        policy.stands(UP, S);
        assertEquals(1, policy.up(OUTER, S).size());
        policy.down("outer");
        policy.stands(DOWN, 2 * S);
        assertEquals(List.of(), policy.up(OUTER, 3 * S));
        assertEquals(List.of(), policy.refresh("outer"));
        policy.stands(UP, 70 * S);
        assertEquals(1, policy.refresh("outer").size());
        assertEquals(List.of(), policy.refresh("nobody"));
    }

    /** A service that goes up and down each second: the hold-down doubles, and the peer hears of it a few times. */
    @Test
    void flappingEachSecondForFiveMinutesIsHeardAFewTimes() {
        AnnouncePolicy policy = new AnnouncePolicy(terms(false, false, 10), 0);
        policy.up(OUTER, 0);
        for (int i = 0; i < 300; i++) {
            policy.stands(i % 2 == 0 ? UP : DOWN, i * S);
        }
        assertTrue(policy.updates() <= 30, policy.updates() + " updates");
        assertEquals(40 * S, policy.holdDown());
        // Quiet, it is forgiven step by step; handed on before that, it is not forgotten.
        AnnouncePolicy next = new AnnouncePolicy(terms(false, false, 10), 300 * S);
        next.recall(policy.holdDown(), policy.holdDownRemaining(300 * S), 300 * S);
        next.up(OUTER, 300 * S);
        assertEquals(List.of(), next.stands(UP, 301 * S));
        assertEquals(1, next.stands(UP, 341 * S).size());
        next.stands(DOWN, 1_000 * S);
        assertEquals(40 * S, next.holdDown());
        next.stands(UP, 1_040 * S);
        next.stands(DOWN, 3_000 * S);
        assertEquals(10 * S, next.holdDown(), "after a long quiet time it begins anew");
    }

    // ---- every order of events ----

    private enum Step { UP, DEGRADED, DOWN, DRAIN, LAST_ANSWER, UNDRAIN, LOST, BACK, SECOND, MINUTE }

    /** A world around one policy: what the peer believes, and what the node is. */
    private static final class World {
        private final AnnouncePolicy policy = new AnnouncePolicy(terms(false, false, 2), 0);
        private final Map<String, Boolean> believes = new HashMap<>();
        private final Map<String, Integer> inMinute = new HashMap<>();
        private Status status = Status.DOWN;
        private boolean draining;
        private boolean empty = true;
        private boolean outer;
        private long now;

        private void step(Step step) {
            boolean before = policy.announced();
            List<Order> orders = switch (step) {
                case UP -> stands(Status.UP, draining, empty);
                case DEGRADED -> stands(Status.DEGRADED, draining, empty);
                case DOWN -> stands(Status.DOWN, draining, empty);
                case DRAIN -> stands(status, true, false);
                case LAST_ANSWER -> stands(status, draining, true);
                case UNDRAIN -> stands(status, false, empty);
                case LOST -> {
                    policy.down("outer");
                    believes.keySet().removeIf(route -> route.startsWith("outer"));
                    inMinute.remove("outer");
                    outer = false;
                    yield List.of();
                }
                case BACK -> {
                    boolean fresh = !outer;
                    outer = true;
                    yield fresh ? policy.up(OUTER, now) : List.<Order>of();
                }
                case SECOND -> pass(S);
                case MINUTE -> {
                    inMinute.clear();
                    yield pass(61 * S);
                }
            };
            for (Order order : orders) {
                boolean announces = !order.update().announced().isEmpty();
                String route = order.peer() + (announces ? order.update().announced() : order.update().withdrawn());
                assertFalse(!announces && believes.get(route) == null, "withdraws what it never announced");
                believes.put(route, announces ? Boolean.TRUE : null);
                inMinute.merge(order.peer(), 1, Integer::sum);
            }
            if (status == Status.DOWN || draining && empty) {
                assertFalse(policy.announced(), "announced while it cannot serve");
                assertTrue(believes.values().stream().noneMatch(Boolean.TRUE::equals), "a peer still believes it");
            }
            if (before && !policy.announced()) {
                assertTrue(status == Status.DOWN || draining && empty, "withdrawn though it serves, or before the last answer");
            }
            assertTrue(inMinute.values().stream().allMatch(n -> n <= 2 * 2 * 2 + 4), "updates in a minute: " + inMinute);
        }

        private List<Order> stands(Status to, boolean drains, boolean isEmpty) {
            status = to;
            draining = drains;
            empty = isEmpty;
            return policy.stands(new AddressStatus(to, drains, isEmpty), now);
        }

        private List<Order> pass(long span) {
            now += span;
            return policy.timers(now);
        }

        private String key() {
            return policy.state(now) + status + draining + empty + outer + believes + inMinute;
        }

        static World after(List<Step> steps) {
            World world = new World();
            world.policy.up(INNER, 0);
            world.step(Step.BACK);
            steps.forEach(world::step);
            return world;
        }
    }

    /** Each state that any order of events leads to, once; what was seen before goes on as it did then. */
    @Test
    void inEveryOrderOfEventsToDepthElevenTheInvariantsHold() {
        Set<String> states = new HashSet<>();
        List<List<Step>> frontier = List.of(List.of());
        int transitions = 0;
        for (int depth = 0; depth < 11; depth++) {
            List<List<Step>> next = new ArrayList<>();
            for (List<Step> before : frontier) {
                for (Step step : Step.values()) {
                    List<Step> steps = new ArrayList<>(before);
                    steps.add(step);
                    transitions++;
                    if (states.add(World.after(steps).key())) {
                        next.add(steps);
                    }
                }
            }
            frontier = next;
        }
        assertTrue(states.size() > 10_000, states.size() + " states, " + transitions + " transitions");
        System.out.println("announcement policy: " + states.size() + " states, " + transitions + " transitions to depth 11");
    }
}
