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
import onyxpaddle.bgp.AnnouncePolicy.PeerUpdate;
import onyxpaddle.bgp.AnnouncePolicy.Peer;
import onyxpaddle.bgp.AnnouncePolicy.AddressStatus;
import onyxpaddle.bgp.AnnouncePolicy.Settings;
import onyxpaddle.bgp.BgpMessage.Update;
import onyxpaddle.bgp.ServiceHealth.Status;
import org.junit.jupiter.api.Test;

/** Tests the announcements of an address in each status, and the invariants in every order of events up to a fixed depth. */
class AnnouncePolicyTest {
    private static final long S = 1_000_000_000L;
    private static final Prefix IPV4 = new Prefix(new byte[] {10, 9, 8, 7}, 32);
    private static final Prefix IPV6 = new Prefix(new byte[] {0x20, 1, 13, (byte) 0xb8, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1}, 128);
    private static final AddressStatus UP = new AddressStatus(Status.UP, false, true);
    private static final AddressStatus DEGRADED = new AddressStatus(Status.DEGRADED, false, false);
    private static final AddressStatus DOWN = new AddressStatus(Status.DOWN, false, false);
    private static final AddressStatus DRAINING = new AddressStatus(Status.UP, true, false);
    private static final AddressStatus EMPTY = new AddressStatus(Status.UP, true, true);
    private static final Peer OUTER = new Peer("outer", 65001, false, new byte[] {10, 0, 0, 1}, null);
    private static final Peer INNER = new Peer("inner", 65001, true, new byte[] {10, 0, 0, 1}, new byte[16]);

    private static Settings settings(boolean withdrawDegraded, boolean last, int perMinute) {
        return new Settings(List.of(IPV4, IPV6), withdrawDegraded, last, 10L, 200L, List.of(0x00010002), List.of(0x00010003), 3, 5 * S,
            40 * S, perMinute);
    }

    private static PathAttributes attributesSentTo(List<PeerUpdate> updates, String peer) {
        Update update = updates.stream().filter(o -> o.peer().equals(peer)).findFirst().orElseThrow().update();
        assertTrue(update.withdrawn().isEmpty());
        return update.attributes();
    }

    @Test
    void eachStatusIsAnnouncedWithItsAttributes() {
        AnnouncePolicy policy = new AnnouncePolicy(settings(false, false, 10), 0);
        assertEquals(0, policy.holdDownRemaining(1_900_000_000L * S), "no hold-down at the start, at any clock value");
        assertEquals(List.of(), policy.sessionUp(OUTER, 0), "nothing is announced before the service is observed");
        policy.sessionUp(INNER, 0);
        List<PeerUpdate> up = policy.updateStatus(UP, S);
        assertEquals(3, up.size(), "IPv4 to both, IPv6 only to the peer with an IPv6 next hop");
        assertEquals(List.of(65001L), attributesSentTo(up, "outer").asPath());
        assertNull(attributesSentTo(up, "outer").localPreference());
        assertEquals(List.of(), attributesSentTo(up, "inner").asPath());
        assertEquals(100L, attributesSentTo(up, "inner").localPreference());
        assertEquals(10L, attributesSentTo(up, "outer").med());
        assertEquals(List.of(), policy.updateStatus(UP, 2 * S), "not announced twice");
        List<PeerUpdate> degraded = policy.updateStatus(DEGRADED, 3 * S);
        assertEquals(200L, attributesSentTo(degraded, "outer").med());
        assertEquals(List.of(0x00010002, 0x00010003), attributesSentTo(degraded, "outer").communities());
        List<PeerUpdate> draining = policy.updateStatus(DRAINING, 4 * S);
        assertEquals(List.of(65001L, 65001L, 65001L, 65001L), attributesSentTo(draining, "outer").asPath());
        assertEquals(0L, attributesSentTo(draining, "inner").localPreference());
        assertTrue(attributesSentTo(draining, "outer").communities().contains(PathAttributes.GRACEFUL_SHUTDOWN));
        assertEquals(List.of(), policy.updateStatus(DRAINING, 100 * S), "requests still pending, however long it takes");
        List<PeerUpdate> empty = policy.updateStatus(EMPTY, 101 * S);
        assertEquals(List.of(IPV4), empty.get(0).update().withdrawn());
        assertFalse(policy.announced());
        assertEquals(List.of(), policy.updateStatus(UP, 102 * S), "held down for 5 s");
        assertEquals(3, policy.timers(106 * S).size());
    }

    @Test
    void downWithdrawsAtOnceWithAnEmptyBucket() {
        AnnouncePolicy policy = new AnnouncePolicy(settings(false, false, 1), 0);
        policy.sessionUp(OUTER, 0);
        assertEquals(1, policy.updateStatus(UP, S).size());
        assertEquals(1, policy.updateStatus(DOWN, S + 1).size());
        assertEquals(1, policy.updatesSent() - 1);
    }

    @Test
    void theLastAnnouncerIsNotWithdrawnWhenDegraded() {
        for (boolean last : new boolean[] {false, true}) {
            AnnouncePolicy policy = new AnnouncePolicy(settings(true, last, 10), 0);
            policy.sessionUp(OUTER, 0);
            policy.updateStatus(UP, S);
            policy.updateStatus(DEGRADED, 2 * S);
            assertEquals(last, policy.announced());
            policy.updateStatus(DOWN, 3 * S);
            assertFalse(policy.announced(), "withdrawn when down");
        }
    }

    @Test
    void aReconnectedPeerGetsOnlyTheCurrentAnnouncement() {
        AnnouncePolicy policy = new AnnouncePolicy(settings(false, false, 1), 0);
        policy.updateStatus(UP, S);
        assertEquals(1, policy.sessionUp(OUTER, S).size());
        policy.sessionDown("outer");
        policy.updateStatus(DOWN, 2 * S);
        assertEquals(List.of(), policy.sessionUp(OUTER, 3 * S));
        assertEquals(List.of(), policy.refresh("outer"));
        policy.updateStatus(UP, 70 * S);
        assertEquals(1, policy.refresh("outer").size());
        assertEquals(List.of(), policy.refresh("nobody"));
    }

    /** A service that goes up and down every second: the hold-down doubles, so that the peer gets only a few updates. */
    @Test
    void flappingEachSecondForFiveMinutesSendsFewUpdates() {
        AnnouncePolicy policy = new AnnouncePolicy(settings(false, false, 10), 0);
        policy.sessionUp(OUTER, 0);
        for (int i = 0; i < 300; i++) {
            policy.updateStatus(i % 2 == 0 ? UP : DOWN, i * S);
        }
        assertTrue(policy.updatesSent() <= 30, policy.updatesSent() + " updates");
        assertEquals(40 * S, policy.holdDown());
        // The hold-down decays step by step while the address is stable, and survives a restart before that.
        AnnouncePolicy next = new AnnouncePolicy(settings(false, false, 10), 300 * S);
        next.restoreDamping(policy.holdDown(), policy.holdDownRemaining(300 * S), 300 * S);
        next.sessionUp(OUTER, 300 * S);
        assertEquals(List.of(), next.updateStatus(UP, 301 * S));
        assertEquals(1, next.updateStatus(UP, 341 * S).size());
        next.updateStatus(DOWN, 1_000 * S);
        assertEquals(40 * S, next.holdDown());
        next.updateStatus(UP, 1_040 * S);
        next.updateStatus(DOWN, 3_000 * S);
        assertEquals(10 * S, next.holdDown(), "decayed after a long quiet period");
    }

    // ---- exhaustive exploration ----

    private enum Event { UP, DEGRADED, DOWN, DRAIN, LAST_REQUEST_DONE, UNDRAIN, SESSION_LOST, SESSION_BACK, SECOND, MINUTE }

    /** Simulates the surroundings of one policy: the routes that the peer holds and the status of the node. */
    private static final class Simulation {
        private final AnnouncePolicy policy = new AnnouncePolicy(settings(false, false, 2), 0);
        private final Map<String, Boolean> peerRoutes = new HashMap<>();
        private final Map<String, Integer> updatesInMinute = new HashMap<>();
        private Status status = Status.DOWN;
        private boolean draining;
        private boolean empty = true;
        private boolean outerConnected;
        private long now;

        private void apply(Event event) {
            boolean before = policy.announced();
            List<PeerUpdate> updates = switch (event) {
                case UP -> updateStatus(Status.UP, draining, empty);
                case DEGRADED -> updateStatus(Status.DEGRADED, draining, empty);
                case DOWN -> updateStatus(Status.DOWN, draining, empty);
                case DRAIN -> updateStatus(status, true, false);
                case LAST_REQUEST_DONE -> updateStatus(status, draining, true);
                case UNDRAIN -> updateStatus(status, false, empty);
                case SESSION_LOST -> {
                    policy.sessionDown("outer");
                    peerRoutes.keySet().removeIf(route -> route.startsWith("outer"));
                    updatesInMinute.remove("outer");
                    outerConnected = false;
                    yield List.of();
                }
                case SESSION_BACK -> {
                    boolean fresh = !outerConnected;
                    outerConnected = true;
                    yield fresh ? policy.sessionUp(OUTER, now) : List.<PeerUpdate>of();
                }
                case SECOND -> advance(S);
                case MINUTE -> {
                    updatesInMinute.clear();
                    yield advance(61 * S);
                }
            };
            for (PeerUpdate update : updates) {
                boolean announces = !update.update().announced().isEmpty();
                String route = update.peer() + (announces ? update.update().announced() : update.update().withdrawn());
                assertFalse(!announces && peerRoutes.get(route) == null, "withdrew a route it had not announced");
                peerRoutes.put(route, announces ? Boolean.TRUE : null);
                updatesInMinute.merge(update.peer(), 1, Integer::sum);
            }
            if (status == Status.DOWN || draining && empty) {
                assertFalse(policy.announced(), "announced while it cannot serve");
                assertTrue(peerRoutes.values().stream().noneMatch(Boolean.TRUE::equals), "a peer still holds the route");
            }
            if (before && !policy.announced()) {
                assertTrue(status == Status.DOWN || draining && empty, "withdrawn while serving or before the last answer");
            }
            assertTrue(updatesInMinute.values().stream().allMatch(n -> n <= 2 * 2 * 2 + 4), "updates in a minute: " + updatesInMinute);
        }

        private List<PeerUpdate> updateStatus(Status to, boolean drains, boolean isEmpty) {
            status = to;
            draining = drains;
            empty = isEmpty;
            return policy.updateStatus(new AddressStatus(to, drains, isEmpty), now);
        }

        private List<PeerUpdate> advance(long span) {
            now += span;
            return policy.timers(now);
        }

        private String key() {
            return policy.stateForTest(now) + status + draining + empty + outerConnected + peerRoutes + updatesInMinute;
        }

        static Simulation after(List<Event> events) {
            Simulation simulation = new Simulation();
            simulation.policy.sessionUp(INNER, 0);
            simulation.apply(Event.SESSION_BACK);
            events.forEach(simulation::apply);
            return simulation;
        }
    }

    /** Breadth-first search over event sequences; visits each distinct state once, as equal states have equal successors. */
    @Test
    void invariantsHoldInEveryOrderOfEventsToDepthEleven() {
        Set<String> states = new HashSet<>();
        List<List<Event>> frontier = List.of(List.of());
        int transitions = 0;
        for (int depth = 0; depth < 11; depth++) {
            List<List<Event>> next = new ArrayList<>();
            for (List<Event> before : frontier) {
                for (Event event : Event.values()) {
                    List<Event> events = new ArrayList<>(before);
                    events.add(event);
                    transitions++;
                    if (states.add(Simulation.after(events).key())) {
                        next.add(events);
                    }
                }
            }
            frontier = next;
        }
        assertTrue(states.size() > 10_000, states.size() + " states, " + transitions + " transitions");
        System.out.println("announcement policy: " + states.size() + " states, " + transitions + " transitions to depth 11");
    }
}
