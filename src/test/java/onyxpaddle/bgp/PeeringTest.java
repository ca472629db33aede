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
import onyxpaddle.bgp.Fsm.SessionUp;
import onyxpaddle.bgp.Peering.Connection;
import onyxpaddle.bgp.Peering.ConnectionAction;
import org.junit.jupiter.api.Test;

/** Connection collisions: both sides connect at once, and both must keep the same connection (RFC 4271, 6.8). */
class PeeringTest {
    private static final long S = 1_000_000_000L;
    private final long now = 50 * S;

    private static Peering peering(long identifier) {
        return new Peering(new Fsm.Settings(65001, 65002, identifier, 30, 30 * S, S, 64 * S, false), 3);
    }

    private static Open open(long identifier) {
        return new Open(4, 65002, 30, identifier, Capabilities.OWN);
    }

    /** A peering that has sent an OPEN on both its own and the peer's connection. */
    private Peering both(long identifier) {
        Peering p = peering(identifier);
        p.start(now);
        p.connected(now);
        assertEquals(Connection.SECONDARY, p.accepts());
        p.accepted(Connection.SECONDARY, now);
        assertNull(p.accepts(), "a third connection is closed at once");
        return p;
    }

    private static boolean sends(List<ConnectionAction> actions, Connection connection, ErrorCode error) {
        return actions.stream().anyMatch(o -> o.connection() == connection && o.action() instanceof Send s
            && s.message() instanceof Notification n && n.code() == error.code && n.subcode() == error.subcode)
            && actions.contains(new ConnectionAction(connection, new Drop()));
    }

    @Test
    void theConnectionOfTheHigherIdentifierIsKept() {
        Peering higher = both(9);
        higher.handle(Connection.PRIMARY, Event.BGP_OPEN, open(2), now);
        assertTrue(sends(higher.handle(Connection.SECONDARY, Event.BGP_OPEN, open(2), now), Connection.SECONDARY, ErrorCode.COLLISION));
        assertEquals(State.OPEN_CONFIRM, higher.state());
        Peering lower = both(1);
        lower.handle(Connection.PRIMARY, Event.BGP_OPEN, open(2), now);
        List<ConnectionAction> actions = lower.handle(Connection.SECONDARY, Event.BGP_OPEN, open(2), now);
        assertTrue(lower.swapped());
        assertTrue(sends(actions, Connection.PRIMARY, ErrorCode.COLLISION));
        assertTrue(actions.stream().anyMatch(o -> o.connection() == Connection.SECONDARY && o.action() instanceof Send s
            && s.message() instanceof BgpMessage.Keepalive), "the peer's connection continues");
        assertEquals(State.OPEN_CONFIRM, lower.state());
        assertTrue(lower.handle(Connection.PRIMARY, Event.KEEPALIVE_MSG, null, now).stream()
            .anyMatch(o -> o.action() instanceof SessionUp));
    }

    @Test
    void theOrderInWhichTheOpensComeDoesNotMatter() {
        for (long identifier : new long[] {1, 9}) {
            Peering p = both(identifier);
            p.handle(Connection.SECONDARY, Event.BGP_OPEN, open(2), now);
            List<ConnectionAction> actions = p.handle(Connection.PRIMARY, Event.BGP_OPEN, open(2), now);
            assertTrue(sends(actions, identifier == 9 ? Connection.SECONDARY : Connection.PRIMARY, ErrorCode.COLLISION));
            assertEquals(identifier == 1, p.swapped());
            assertEquals(State.OPEN_CONFIRM, p.state());
        }
    }

    @Test
    void anEstablishedSessionIsKeptAndRefusesASecondConnection() {
        Peering p = both(1);
        p.handle(Connection.PRIMARY, Event.BGP_OPEN, open(2), now);
        p.handle(Connection.PRIMARY, Event.KEEPALIVE_MSG, null, now);
        assertEquals(State.ESTABLISHED, p.state());
        assertTrue(sends(p.handle(Connection.SECONDARY, Event.BGP_OPEN, open(2), now), Connection.SECONDARY, ErrorCode.COLLISION));
        assertEquals(State.ESTABLISHED, p.state());
        assertNull(p.accepts());
    }

    @Test
    void aFailedSecondConnectionDoesNotAffectTheFirst() {
        Peering p = both(1);
        List<ConnectionAction> actions = p.handle(Connection.SECONDARY, Event.TCP_CONNECTION_FAILS, null, now);
        assertTrue(actions.stream().noneMatch(o -> o.connection() == Connection.PRIMARY));
        p.handle(Connection.SECONDARY, Event.NOTIF_MSG, new Notification(ErrorCode.CONFIGURATION), now);
        assertEquals(State.OPEN_SENT, p.state());
        p.handle(Connection.PRIMARY, Event.BGP_OPEN, open(2), now);
        assertTrue(p.handle(Connection.PRIMARY, Event.KEEPALIVE_MSG, null, now).stream().anyMatch(o -> o.action() instanceof SessionUp));
    }

    @Test
    void anIncomingConnectionReplacesAPendingOutgoingOne() {
        Peering p = peering(1);
        p.start(now);
        assertEquals(Connection.PRIMARY, p.accepts());
        p.accepted(Connection.PRIMARY, now);
        assertEquals(State.OPEN_SENT, p.state());
    }

    @Test
    void stopEndsBothConnectionsWithTheReason() {
        Peering p = both(1);
        Notification reason = new Notification(ErrorCode.SHUTDOWN);
        List<ConnectionAction> actions = p.stop(reason, now);
        assertTrue(sends(actions, Connection.PRIMARY, ErrorCode.SHUTDOWN) && sends(actions, Connection.SECONDARY, ErrorCode.SHUTDOWN));
        assertEquals(Long.MAX_VALUE, p.due());
        assertNull(p.accepts());
    }
}
