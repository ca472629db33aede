package onyxpaddle.bgp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import onyxpaddle.bgp.BgpMessage.Capabilities;
import onyxpaddle.bgp.BgpMessage.Notification;
import onyxpaddle.bgp.BgpMessage.Open;
import onyxpaddle.bgp.Fsm.Drop;
import onyxpaddle.bgp.Fsm.Event;
import onyxpaddle.bgp.Fsm.Send;
import onyxpaddle.bgp.Fsm.State;
import onyxpaddle.bgp.Fsm.Up;
import onyxpaddle.bgp.Peering.Link;
import onyxpaddle.bgp.Peering.Order;
import org.junit.jupiter.api.Test;

/** Both sides connect at once: one connection stays, and both sides agree which (RFC 4271, 6.8). */
class PeeringTest {
    private static final long S = 1_000_000_000L;
    private final long now = 50 * S;

    private static Peering peering(long identifier) {
        return new Peering(new Fsm.Settings(65001, 65002, identifier, 30, 30 * S, S, 64 * S, false), 3);
    }

    private static Open open(long identifier) {
        return new Open(4, 65002, 30, identifier, Capabilities.OWN);
    }

    /** One whose own connection and the peer's both have an OPEN out. */
    private Peering both(long identifier) {
        Peering p = peering(identifier);
        p.start(now);
        p.dialled(now);
        assertEquals(Link.OTHER, p.accepts());
        p.accepted(Link.OTHER, now);
        assertNull(p.accepts(), "a third one is closed at once");
        return p;
    }

    private static boolean sends(List<Order> orders, Link link, ErrorCode error) {
        return orders.stream().anyMatch(o -> o.link() == link && o.action() instanceof Send s && s.message() instanceof Notification n
            && n.code() == error.code && n.subcode() == error.subcode) && orders.contains(new Order(link, new Drop()));
    }

    @Test
    void theConnectionOfTheHigherIdentifierStays() {
        Peering higher = both(9);
        higher.happened(Link.MAIN, Event.BGP_OPEN, open(2), now);
        assertTrue(sends(higher.happened(Link.OTHER, Event.BGP_OPEN, open(2), now), Link.OTHER, ErrorCode.COLLISION));
        assertEquals(State.OPEN_CONFIRM, higher.state());
        Peering lower = both(1);
        lower.happened(Link.MAIN, Event.BGP_OPEN, open(2), now);
        List<Order> orders = lower.happened(Link.OTHER, Event.BGP_OPEN, open(2), now);
        assertTrue(lower.swapped());
        assertTrue(sends(orders, Link.MAIN, ErrorCode.COLLISION));
        assertTrue(orders.stream().anyMatch(o -> o.link() == Link.OTHER && o.action() instanceof Send s
            && s.message() instanceof BgpMessage.Keepalive), "the peer's own goes on");
        assertEquals(State.OPEN_CONFIRM, lower.state());
        assertTrue(lower.happened(Link.MAIN, Event.KEEPALIVE_MSG, null, now).stream().anyMatch(o -> o.action() instanceof Up));
    }

    @Test
    void theOrderInWhichTheOpensComeDoesNotMatter() {
        for (long identifier : new long[] {1, 9}) {
            Peering p = both(identifier);
            p.happened(Link.OTHER, Event.BGP_OPEN, open(2), now);
            List<Order> orders = p.happened(Link.MAIN, Event.BGP_OPEN, open(2), now);
            assertTrue(sends(orders, identifier == 9 ? Link.OTHER : Link.MAIN, ErrorCode.COLLISION));
            assertEquals(identifier == 1, p.swapped());
            assertEquals(State.OPEN_CONFIRM, p.state());
        }
    }

    @Test
    void anEstablishedSessionStaysAndTakesNoSecondConnection() {
        Peering p = both(1);
        p.happened(Link.MAIN, Event.BGP_OPEN, open(2), now);
        p.happened(Link.MAIN, Event.KEEPALIVE_MSG, null, now);
        assertEquals(State.ESTABLISHED, p.state());
        assertTrue(sends(p.happened(Link.OTHER, Event.BGP_OPEN, open(2), now), Link.OTHER, ErrorCode.COLLISION));
        assertEquals(State.ESTABLISHED, p.state());
        assertNull(p.accepts());
    }

    @Test
    void aSecondConnectionThatFailsLeavesTheFirstAlone() {
        Peering p = both(1);
        List<Order> orders = p.happened(Link.OTHER, Event.TCP_CONNECTION_FAILS, null, now);
        assertTrue(orders.stream().noneMatch(o -> o.link() == Link.MAIN));
        p.happened(Link.OTHER, Event.NOTIF_MSG, new Notification(ErrorCode.CONFIGURATION), now);
        assertEquals(State.OPEN_SENT, p.state());
        p.happened(Link.MAIN, Event.BGP_OPEN, open(2), now);
        assertTrue(p.happened(Link.MAIN, Event.KEEPALIVE_MSG, null, now).stream().anyMatch(o -> o.action() instanceof Up));
    }

    @Test
    void aPeerThatDialsWhileThisSideStillDoesIsTakenInItsPlace() {
        Peering p = peering(1);
        p.start(now);
        assertEquals(Link.MAIN, p.accepts());
        p.accepted(Link.MAIN, now);
        assertEquals(State.OPEN_SENT, p.state());
    }

    @Test
    void stopEndsBothConnectionsWithTheReason() {
        Peering p = both(1);
        Notification reason = new Notification(ErrorCode.SHUTDOWN);
        List<Order> orders = p.stop(reason, now);
        assertTrue(sends(orders, Link.MAIN, ErrorCode.SHUTDOWN) && sends(orders, Link.OTHER, ErrorCode.SHUTDOWN));
        assertEquals(Long.MAX_VALUE, p.due());
        assertNull(p.accepts());
    }
}
