package onyxpaddle.bgp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import onyxpaddle.bgp.BgpMessage.Capabilities;
import onyxpaddle.bgp.BgpMessage.Keepalive;
import onyxpaddle.bgp.BgpMessage.Notification;
import onyxpaddle.bgp.BgpMessage.Open;
import onyxpaddle.bgp.Fsm.Action;
import onyxpaddle.bgp.Fsm.Dial;
import onyxpaddle.bgp.Fsm.SessionDown;
import onyxpaddle.bgp.Fsm.Drop;
import onyxpaddle.bgp.Fsm.Event;
import onyxpaddle.bgp.Fsm.Send;
import onyxpaddle.bgp.Fsm.State;
import onyxpaddle.bgp.Fsm.SessionUp;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the state machine against the table of RFC 4271, 8.2.2, with every event in every state; then timers and damping. */
class FsmTest {
    private static final long S = 1_000_000_000L;
    private static final Open PEER = new Open(4, 65002, 90, 2, Capabilities.OWN);
    private static final Notification ERROR = new Notification(ErrorCode.BAD_TYPE);
    private long now = 1_000 * S;

    private static Fsm.Settings settings(boolean passive) {
        return new Fsm.Settings(65001, 65002, 1, 30, 30 * S, 2 * S, 64 * S, passive);
    }

    private Fsm fsmIn(State state) {
        Fsm fsm = new Fsm(settings(state == State.ACTIVE), 7);
        if (state == State.IDLE) {
            return fsm;
        }
        fsm.handle(Event.MANUAL_START, now);
        if (state.compareTo(State.OPEN_SENT) >= 0) {
            fsm.handle(Event.TCP_CR_ACKED, now);
        }
        if (state.compareTo(State.OPEN_CONFIRM) >= 0) {
            fsm.handle(Event.BGP_OPEN, PEER, now);
        }
        if (state == State.ESTABLISHED) {
            fsm.handle(Event.KEEPALIVE_MSG, now);
        }
        assertEquals(state, fsm.state());
        return fsm;
    }

    /**
     * The outcome of an event: abbreviated actions (D dial, X drop, ! session down, + session up, O K N message sent), then the
     * state.
     */
    private String outcome(State state, Event event) {
        Fsm fsm = fsmIn(state);
        BgpMessage message = switch (event) {
            case BGP_OPEN -> PEER;
            case MESSAGE_ERROR, NOTIF_MSG, NOTIF_MSG_VER_ERR -> ERROR;
            default -> null;
        };
        StringBuilder text = new StringBuilder(fsm.handle(event, message, now).stream().map(FsmTest::brief).reduce("", String::concat));
        return text.append(text.isEmpty() ? "" : " ").append(fsm.state()).append(fsm.connectRetryCounter() > 0 ? " +1" : "").toString();
    }

    private static String brief(Action action) {
        if (action instanceof Send send) {
            return send.message() instanceof Notification n ? "N" + n.code() + "/" + n.subcode() + " "
                : send.message() instanceof Open ? "O" : "K";
        }
        return action instanceof Dial ? "D" : action instanceof Drop ? "X" : action instanceof SessionUp ? "+" : "!";
    }

    private static final Map<State, String> DEFAULT_OUTCOME = new EnumMap<>(Map.of(State.CONNECT, "X! IDLE +1", State.ACTIVE, "X! IDLE +1",
        State.OPEN_SENT, "N5/1 X! IDLE +1", State.OPEN_CONFIRM, "N5/2 X! IDLE +1", State.ESTABLISHED, "N5/3 X! IDLE +1"));

    /** The expected outcome: the exceptions in each row of the table, otherwise the default of the state. */
    private static String expected(State state, Event event) {
        if (state == State.IDLE) {
            return switch (event) {
                case MANUAL_START -> "D CONNECT";
                case TCP_CR_ACKED, TCP_CONNECTION_CONFIRMED -> "X IDLE";
                default -> "IDLE";
            };
        }
        boolean open = state.compareTo(State.OPEN_SENT) >= 0;
        String stays = state.toString();
        return switch (event) {
            case MANUAL_START -> stays;
            case MANUAL_STOP -> open ? "N6/2 X! IDLE" : "X! IDLE";
            case IDLE_HOLD_TIMER_EXPIRES -> open ? DEFAULT_OUTCOME.get(state) : stays;
            case AUTOMATIC_STOP -> open ? "N6/4 X! IDLE +1" : DEFAULT_OUTCOME.get(state);
            case OPEN_COLLISION_DUMP -> open ? "N6/7 X! IDLE" : DEFAULT_OUTCOME.get(state);
            case CONNECT_RETRY_TIMER_EXPIRES -> open ? DEFAULT_OUTCOME.get(state) : state == State.CONNECT ? "XD CONNECT" : "ACTIVE";
            case TCP_CR_ACKED, TCP_CONNECTION_CONFIRMED -> open ? DEFAULT_OUTCOME.get(state) : "O OPEN_SENT";
            case TCP_CONNECTION_FAILS -> state == State.OPEN_SENT ? "X ACTIVE" : state == State.CONNECT ? "X! IDLE" : "X! IDLE +1";
            case HOLD_TIMER_EXPIRES -> open ? "N4/0 X! IDLE +1" : DEFAULT_OUTCOME.get(state);
            case SEND_HOLD_TIMER_EXPIRES -> "X! IDLE +1";
            case KEEPALIVE_TIMER_EXPIRES -> state.compareTo(State.OPEN_CONFIRM) >= 0 ? "K " + stays : DEFAULT_OUTCOME.get(state);
            case BGP_OPEN -> state == State.OPEN_SENT ? "K OPEN_CONFIRM" : DEFAULT_OUTCOME.get(state);
            case MESSAGE_ERROR -> open ? "N1/3 X! IDLE +1" : DEFAULT_OUTCOME.get(state);
            case NOTIF_MSG_VER_ERR -> state == State.OPEN_SENT || state == State.OPEN_CONFIRM ? "X! IDLE" : "X! IDLE +1";
            case NOTIF_MSG -> "X! IDLE +1";
            case KEEPALIVE_MSG -> state == State.OPEN_CONFIRM ? "+ ESTABLISHED" : state == State.ESTABLISHED ? stays
                : DEFAULT_OUTCOME.get(state);
            case UPDATE_MSG -> state == State.ESTABLISHED ? stays : DEFAULT_OUTCOME.get(state);
        };
    }

    @ParameterizedTest
    @EnumSource(Event.class)
    void eachEventInEachStateFollowsTheTable(Event event) {
        for (State state : State.values()) {
            assertEquals(expected(state, event), outcome(state, event), event + " in " + state);
        }
    }

    private void assertRefused(Open open, String error) {
        List<Action> actions = fsmIn(State.OPEN_SENT).handle(Event.BGP_OPEN, open, now);
        assertEquals(error, brief(actions.get(0)).trim());
    }

    @Test
    void anInvalidOpenIsAnsweredWithItsError() {
        assertRefused(new Open(3, 65002, 90, 2, Capabilities.OWN), "N2/1");
        assertRefused(new Open(4, 65003, 90, 2, Capabilities.OWN), "N2/2");
        assertRefused(new Open(4, 65002, 90, 0, Capabilities.OWN), "N2/3");
        assertRefused(new Open(4, 65002, 1, 2, Capabilities.OWN), "N2/6");
        assertRefused(new Open(4, 65002, 2, 2, Capabilities.OWN), "N2/6");
        Fsm internal = new Fsm(new Fsm.Settings(65001, 65001, 1, 30, 30 * S, 2 * S, 64 * S, false), 7);
        internal.handle(Event.MANUAL_START, now);
        internal.handle(Event.TCP_CR_ACKED, now);
        assertEquals("N2/3 ", brief(internal.handle(Event.BGP_OPEN, new Open(4, 65001, 90, 1, Capabilities.OWN), now).get(0)));
    }

    @Test
    void theLowerHoldTimeIsUsedAndKeepalivesAreSentAtAThirdOfIt() {
        Fsm fsm = fsmIn(State.ESTABLISHED);
        assertTrue(fsm.due() > now + 7 * S && fsm.due() <= now + 10 * S, "a third of 30 s, jittered");
        now = fsm.due();
        assertEquals(List.of(new Send(new Keepalive())), fsm.timers(now));
        now += 21 * S;
        fsm.timers(now);
        now += 10 * S;
        assertEquals("N4/0 X!", fsm.timers(now).stream().map(FsmTest::brief).filter(b -> !b.equals("K")).reduce("", String::concat));
    }

    @Test
    void aHoldTimeOfZeroDisablesTheTimers() {
        Fsm fsm = fsmIn(State.OPEN_SENT);
        fsm.handle(Event.BGP_OPEN, new Open(4, 65002, 0, 2, Capabilities.OWN), now);
        List<Action> up = fsm.handle(Event.KEEPALIVE_MSG, now);
        assertEquals(0, ((SessionUp) up.get(0)).holdTime());
        assertTrue(fsm.due() >= now + 480 * S, "only the send hold timer is running");
    }

    @Test
    void theSendHoldTimerEndsTheSessionWithAPeerThatDoesNotRead() {
        Fsm fsm = fsmIn(State.ESTABLISHED);
        for (int i = 0; i < 479; i++) {
            now += S;
            fsm.handle(Event.KEEPALIVE_MSG, now);
            fsm.timers(now);
        }
        assertEquals(State.ESTABLISHED, fsm.state());
        fsm.writeCompleted(now);
        now += 470 * S;
        fsm.handle(Event.KEEPALIVE_MSG, now);
        fsm.timers(now);
        assertEquals(State.ESTABLISHED, fsm.state(), "the peer has read data");
        now += 11 * S;
        fsm.handle(Event.KEEPALIVE_MSG, now);
        assertTrue(fsm.timers(now).stream().noneMatch(a -> a instanceof Send s && s.message() instanceof Notification));
        assertEquals(State.IDLE, fsm.state());
    }

    /** The idle time grows with each failure up to a limit, and is reset after a session that was stable for a minute. */
    @Test
    void theIdleHoldTimeGrowsForAFlappingPeer() {
        Fsm fsm = fsmIn(State.ESTABLISHED);
        long before = 0;
        for (int i = 0; i < 9; i++) {
            fsm.handle(Event.TCP_CONNECTION_FAILS, now);
            assertEquals(State.IDLE, fsm.state());
            long wait = fsm.due() - now;
            assertTrue(wait <= 64 * S && wait >= Math.min(48 * S, 3 * S / 2 << i), "failure " + i + " waits " + wait);
            assertTrue(wait > before || before > 47 * S);
            before = wait;
            now = fsm.due();
            assertTrue(fsm.timers(now).contains(new Dial()));
            fsm.handle(Event.TCP_CR_ACKED, now);
            fsm.handle(Event.BGP_OPEN, PEER, now);
            fsm.handle(Event.KEEPALIVE_MSG, now);
        }
        Fsm restarted = new Fsm(settings(false), 8);
        restarted.restoreFailures(fsm.failures());
        restarted.handle(Event.MANUAL_START, now);
        restarted.handle(Event.TCP_CR_ACKED, now);
        restarted.handle(Event.NOTIF_MSG, ERROR, now);
        assertTrue(restarted.due() - now >= 48 * S, "damping survives a restart");
        now += 61 * S;
        fsm.handle(Event.KEEPALIVE_MSG, now);
        fsm.handle(Event.TCP_CONNECTION_FAILS, now);
        assertTrue(fsm.due() - now <= 2 * S, "the session was stable for a minute");
    }

    @Test
    void aStoppedSessionIsNotRestarted() {
        Fsm fsm = fsmIn(State.ESTABLISHED);
        Notification reason = new Notification(ErrorCode.DECONFIGURED);
        assertEquals(List.of(new Send(reason), new Drop(), new SessionDown("stopped")), fsm.handle(Event.MANUAL_STOP, reason, now));
        assertEquals(Long.MAX_VALUE, fsm.due());
        assertNull(fsm.peer());
        assertFalse(fsm.handle(Event.MANUAL_START, now).isEmpty(), "can be started again");
    }
}
