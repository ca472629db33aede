package onyxpaddle.bgp;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import onyxpaddle.bgp.BgpMessage.Capabilities;
import onyxpaddle.bgp.BgpMessage.Notification;
import onyxpaddle.bgp.BgpMessage.Open;

/**
 * The state machine of one BGP connection, event by event as RFC 4271, 8.2.2 has it, with the send hold timer of RFC 9687.
 * It does no I/O: an event and the time go in, actions come out in order; {@link #due} says when the next timer runs out,
 * and {@link #timers} is called then. Times are nanoseconds of the node's clock.
 *
 * <p>Optional attributes: AllowAutomaticStart, DampPeerOscillations and PassiveTcpEstablishment are supported; DelayOpen and
 * CollisionDetectEstablishedState are not (an established session stays; a further connection is closed).
 */
public final class Fsm {
    /** RFC 4271, 8.2.2. */
    public enum State { IDLE, CONNECT, ACTIVE, OPEN_SENT, OPEN_CONFIRM, ESTABLISHED }

    /** What happens; RFC 4271, 8.1, with the number that it has there. */
    public enum Event {
        /** 1. */
        MANUAL_START,
        /** 2: an operator, or the end of the process; the NOTIFICATION to send may say reason. */
        MANUAL_STOP,
        /** 8: the speaker itself ends the session, as for too many prefixes; the NOTIFICATION to send says reason. */
        AUTOMATIC_STOP,
        /** 9. */
        CONNECT_RETRY_TIMER_EXPIRES,
        /** 10. */
        HOLD_TIMER_EXPIRES,
        /** 11. */
        KEEPALIVE_TIMER_EXPIRES,
        /** 13. */
        IDLE_HOLD_TIMER_EXPIRES,
        /** 29 of RFC 9687. */
        SEND_HOLD_TIMER_EXPIRES,
        /** 16: the connection that was dialled stands. */
        TCP_CR_ACKED,
        /** 17: the peer has connected. */
        TCP_CONNECTION_CONFIRMED,
        /** 18: the connection failed, or was closed by the peer. */
        TCP_CONNECTION_FAILS,
        /** 19. */
        BGP_OPEN,
        /** 21, 22, 28: what came is at fault, as the NOTIFICATION to send says. */
        MESSAGE_ERROR,
        /** 23: another connection to the same peer is kept in place of this one. */
        OPEN_COLLISION_DUMP,
        /** 24. */
        NOTIF_MSG_VER_ERR,
        /** 25. */
        NOTIF_MSG,
        /** 26. */
        KEEPALIVE_MSG,
        /** 27; a ROUTE-REFRESH too. */
        UPDATE_MSG
    }

    /** What is to be done, in order. */
    public sealed interface Action {
    }

    /** Dial the peer. */
    public record Dial() implements Action {
    }

    /** Write a message. */
    public record Send(BgpMessage message) implements Action {
    }

    /** Close the connection, or give up dialling, after what was written. */
    public record Drop() implements Action {
    }

    /** The session stands: routes may be sent. */
    public record Up(Open peer, int holdTime) implements Action {
    }

    /** The session has ended, or never came to stand; {@code reason} for people. */
    public record Down(String reason) implements Action {
    }

    /**
     * What a peer is configured with. Times in nanoseconds but for {@code holdTime}.
     *
     * @param as the own number, {@code peerAs} the one that the peer must have
     * @param identifier the own BGP identifier, four octets
     * @param holdTime proposed, in seconds: 0, or at least 3
     * @param connectRetry between attempts to dial, before jitter
     * @param idleHold how long an oscillating peer is left alone at first; doubled with each failure up to {@code mostIdleHold}
     * @param passive waits to be dialled
     */
    public record Settings(long as, long peerAs, long identifier, int holdTime, long connectRetry, long idleHold,
            long mostIdleHold, boolean passive) {
    }

    private static final long SECOND = 1_000_000_000L;
    /** RFC 4271, 8.2.2: a large hold time until the peer's is known. */
    private static final long LARGE_HOLD = 240 * SECOND;
    /** RFC 9687, 4: the greater of eight minutes and twice the hold time. */
    private static final long LEAST_SEND_HOLD = 480 * SECOND;
    private static final long NEVER = Long.MAX_VALUE;
    /** A session that stood for so long is no oscillation: the next failure begins anew. */
    private static final long SOUND_AFTER = 60 * SECOND;

    private final Settings terms;
    private final SplittableRandom random;
    private final List<Action> actions = new ArrayList<>();
    private State state = State.IDLE;
    private long now;
    private long connectRetryAt = NEVER;
    private long holdAt = NEVER;
    private long keepaliveAt = NEVER;
    private long idleHoldAt = NEVER;
    private long sendHoldAt = NEVER;
    private long holdSpan;
    private long keepaliveSpan;
    private long establishedAt;
    private Open peer;
    private int connectRetryCounter;
    private int failures;
    private boolean wanted;

    public Fsm(Settings terms, long seed) {
        this.terms = terms;
        this.random = new SplittableRandom(seed);
    }

    public State state() {
        return state;
    }

    /** The peer's OPEN; null before it has come. */
    public Open peer() {
        return peer;
    }

    /** ConnectRetryCounter (RFC 4271, 8.1.1). */
    public int connectRetryCounter() {
        return connectRetryCounter;
    }

    /** How often in a row the session has failed soon after its start: what damping goes by. It may be handed on. */
    public int failures() {
        return failures;
    }

    /** Goes on from what was counted before, so that a process that crashes again and again is damped, too. */
    public void recall(int earlierFailures) {
        failures = Math.max(0, earlierFailures);
    }

    /** When {@link #timers} is to be called next; {@link Long#MAX_VALUE} for not at all. */
    public long due() {
        return Math.min(Math.min(Math.min(connectRetryAt, holdAt), Math.min(keepaliveAt, idleHoldAt)), sendHoldAt);
    }

    /** Timers that have run out, one event each. */
    public List<Action> timers(long nowNanos) {
        actions.clear();
        now = nowNanos;
        if (now >= idleHoldAt) {
            idleHoldAt = NEVER;
            step(Event.IDLE_HOLD_TIMER_EXPIRES, null);
        }
        if (now >= connectRetryAt) {
            connectRetryAt = NEVER;
            step(Event.CONNECT_RETRY_TIMER_EXPIRES, null);
        }
        if (now >= holdAt) {
            holdAt = NEVER;
            step(Event.HOLD_TIMER_EXPIRES, null);
        }
        if (now >= sendHoldAt) {
            sendHoldAt = NEVER;
            step(Event.SEND_HOLD_TIMER_EXPIRES, null);
        }
        if (now >= keepaliveAt) {
            keepaliveAt = NEVER;
            step(Event.KEEPALIVE_TIMER_EXPIRES, null);
        }
        return List.copyOf(actions);
    }

    public List<Action> handle(Event event, long nowNanos) {
        return handle(event, null, nowNanos);
    }

    /** {@code message}: an OPEN that came, or the NOTIFICATION that is to be sent; null where the event has none. */
    public List<Action> handle(Event event, BgpMessage message, long nowNanos) {
        actions.clear();
        now = nowNanos;
        step(event, message);
        return List.copyOf(actions);
    }

    /** The peer has taken something that was written, or there is nothing it has left unread (RFC 9687). */
    public void taken(long nowNanos) {
        if (sendHoldAt != NEVER) {
            sendHoldAt = nowNanos + sendHold();
        }
    }

    private long sendHold() {
        return Math.max(LEAST_SEND_HOLD, 2 * holdSpan);
    }

    private void step(Event event, BgpMessage message) {
        switch (state) {
            case IDLE -> idle(event);
            case CONNECT, ACTIVE -> dialling(event);
            case OPEN_SENT -> openSent(event, message);
            case OPEN_CONFIRM -> openConfirm(event, message);
            case ESTABLISHED -> established(event, message);
        }
    }

    // ---- Idle ----

    private void idle(Event event) {
        switch (event) {
            case MANUAL_START -> {
                wanted = true;
                if (idleHoldAt == NEVER) {
                    start();
                }
            }
            case IDLE_HOLD_TIMER_EXPIRES -> {
                if (wanted) {
                    start();
                }
            }
            case MANUAL_STOP -> stopWanting();
            case TCP_CONNECTION_CONFIRMED, TCP_CR_ACKED ->
                // RFC 4271, 8.2.1: in Idle the local system refuses all incoming connections.
                actions.add(new Drop());
            default -> { }
        }
    }

    private void stopWanting() {
        wanted = false;
        idleHoldAt = NEVER;
        connectRetryCounter = 0;
    }

    private void start() {
        connectRetryCounter = 0;
        connectRetryAt = now + jittered(terms.connectRetry());
        if (terms.passive()) {
            state = State.ACTIVE;
        } else {
            state = State.CONNECT;
            actions.add(new Dial());
        }
    }

    /** RFC 4271, 10: at least three quarters of it, at most all. */
    private long jittered(long span) {
        return (long) (span * (0.75 + 0.25 * random.nextDouble()));
    }

    // ---- Connect, Active ----

    private void dialling(Event event) {
        switch (event) {
            case MANUAL_START, IDLE_HOLD_TIMER_EXPIRES -> { }
            case MANUAL_STOP -> {
                actions.add(new Drop());
                stopWanting();
                toIdle("stopped", false);
            }
            case CONNECT_RETRY_TIMER_EXPIRES -> {
                connectRetryAt = now + jittered(terms.connectRetry());
                if (terms.passive()) {
                    state = State.ACTIVE;
                } else {
                    actions.add(new Drop());
                    actions.add(new Dial());
                    state = State.CONNECT;
                }
            }
            case TCP_CR_ACKED, TCP_CONNECTION_CONFIRMED -> open();
            case TCP_CONNECTION_FAILS -> {
                if (state == State.CONNECT) {
                    actions.add(new Drop());
                    toIdle("cannot connect", false);
                } else {
                    fail("the connection broke", true);
                }
            }
            // SendNOTIFICATIONwithoutOPEN is false: an error before the own OPEN is told by closing alone.
            default -> fail("unexpected " + event + " in " + state, true);
        }
    }

    private void open() {
        connectRetryAt = NEVER;
        actions.add(new Send(new Open(BgpMessage.VERSION, terms.as(), terms.holdTime(), terms.identifier(), Capabilities.OWN)));
        holdAt = now + LARGE_HOLD;
        holdSpan = terms.holdTime() * SECOND;
        sendHoldAt = now + sendHold();
        state = State.OPEN_SENT;
    }

    // ---- OpenSent ----

    private void openSent(Event event, BgpMessage message) {
        switch (event) {
            case MANUAL_START -> { }
            case MANUAL_STOP -> stop(message);
            case AUTOMATIC_STOP, OPEN_COLLISION_DUMP -> cease(event, message);
            case HOLD_TIMER_EXPIRES -> failWith(ErrorCode.HOLD_TIMER, true);
            case SEND_HOLD_TIMER_EXPIRES -> fail("send hold timer expired", true);
            case TCP_CONNECTION_FAILS -> {
                // RFC 4271, 8.2.2: back to Active, with the retry timer.
                actions.add(new Drop());
                clearTimers();
                peer = null;
                connectRetryAt = now + jittered(terms.connectRetry());
                state = State.ACTIVE;
            }
            case BGP_OPEN -> {
                ErrorCode wrong = check((Open) message);
                if (wrong != null) {
                    sendNotification(new Notification(wrong, wrong == ErrorCode.VERSION ? new byte[] {0, BgpMessage.VERSION} : new byte[0]));
                    fail("the peer's OPEN: " + ErrorCode.told(wrong.code, wrong.subcode), true);
                } else {
                    agree((Open) message);
                }
            }
            case MESSAGE_ERROR -> {
                sendNotification(message);
                fail(String.valueOf(message), true);
            }
            case NOTIF_MSG_VER_ERR -> fail("the peer: unsupported version", false);
            // The table answers this one with a NOTIFICATION of its own; the peer has closed by then, so none is sent.
            case NOTIF_MSG -> fail("the peer: " + message, true);
            default -> failWith(ErrorCode.FSM_OPEN_SENT, true);
        }
    }

    /** RFC 4271, 6.2; null where the OPEN is sound. */
    private ErrorCode check(Open open) {
        if (open.version() != BgpMessage.VERSION) {
            return ErrorCode.VERSION;
        } else if (open.as() != terms.peerAs()) {
            return ErrorCode.BAD_AS;
        } else if (open.identifier() == 0 || open.as() == terms.as() && open.identifier() == terms.identifier()) {
            // RFC 6286: any non-zero identifier, unique within an AS.
            return ErrorCode.BAD_IDENTIFIER;
        }
        return open.holdTime() == 1 || open.holdTime() == 2 ? ErrorCode.HOLD_TIME : null;
    }

    private void agree(Open open) {
        peer = open;
        holdSpan = Math.min(terms.holdTime(), open.holdTime()) * SECOND;
        // RFC 4271, 10: a third of the hold time; jitter keeps many sessions from speaking at once.
        keepaliveSpan = holdSpan / 3;
        actions.add(new Send(new BgpMessage.Keepalive()));
        keepaliveAt = holdSpan == 0 ? NEVER : now + jittered(keepaliveSpan);
        holdAt = holdSpan == 0 ? NEVER : now + holdSpan;
        sendHoldAt = now + sendHold();
        state = State.OPEN_CONFIRM;
    }

    // ---- OpenConfirm ----

    private void openConfirm(Event event, BgpMessage message) {
        switch (event) {
            case MANUAL_START -> { }
            case MANUAL_STOP -> stop(message);
            case AUTOMATIC_STOP, OPEN_COLLISION_DUMP -> cease(event, message);
            case HOLD_TIMER_EXPIRES -> failWith(ErrorCode.HOLD_TIMER, true);
            case SEND_HOLD_TIMER_EXPIRES -> fail("send hold timer expired", true);
            case KEEPALIVE_TIMER_EXPIRES -> keepalive();
            case TCP_CONNECTION_FAILS -> fail("the connection broke", true);
            case NOTIF_MSG -> fail("the peer: " + message, true);
            case NOTIF_MSG_VER_ERR -> fail("the peer: unsupported version", false);
            case MESSAGE_ERROR -> {
                sendNotification(message);
                fail(String.valueOf(message), true);
            }
            case KEEPALIVE_MSG -> {
                restartHold();
                state = State.ESTABLISHED;
                establishedAt = now;
                actions.add(new Up(peer, (int) (holdSpan / SECOND)));
            }
            default -> failWith(ErrorCode.FSM_OPEN_CONFIRM, true);
        }
    }

    private void keepalive() {
        actions.add(new Send(new BgpMessage.Keepalive()));
        keepaliveAt = now + jittered(keepaliveSpan);
    }

    private void restartHold() {
        holdAt = holdSpan == 0 ? NEVER : now + holdSpan;
    }

    // ---- Established ----

    private void established(Event event, BgpMessage message) {
        switch (event) {
            case MANUAL_START -> { }
            case MANUAL_STOP -> stop(message);
            case AUTOMATIC_STOP, OPEN_COLLISION_DUMP -> cease(event, message);
            case HOLD_TIMER_EXPIRES -> failWith(ErrorCode.HOLD_TIMER, true);
            case SEND_HOLD_TIMER_EXPIRES ->
                // RFC 9687, 3.3: a NOTIFICATION would wait behind what the peer does not read.
                fail("send hold timer expired", true);
            case KEEPALIVE_TIMER_EXPIRES -> keepalive();
            case KEEPALIVE_MSG, UPDATE_MSG -> restartHold();
            case TCP_CONNECTION_FAILS -> fail("the connection broke", true);
            case NOTIF_MSG, NOTIF_MSG_VER_ERR -> fail("the peer: " + message, true);
            case MESSAGE_ERROR -> {
                sendNotification(message);
                fail(String.valueOf(message), true);
            }
            default -> failWith(ErrorCode.FSM_ESTABLISHED, true);
        }
    }

    // ---- ends ----

    /** An operator, or the end of the process: a CEASE with its reason, and no start after it. */
    private void stop(BgpMessage message) {
        sendNotification(message != null ? message : new Notification(ErrorCode.SHUTDOWN));
        actions.add(new Drop());
        stopWanting();
        toIdle("stopped", false);
    }

    private void cease(Event event, BgpMessage message) {
        boolean collision = event == Event.OPEN_COLLISION_DUMP;
        Notification reason = message instanceof Notification told ? told
            : new Notification(collision ? ErrorCode.COLLISION : ErrorCode.RESET);
        sendNotification(reason);
        fail(reason.toString(), !collision);
    }

    private void failWith(ErrorCode error, boolean damped) {
        sendNotification(new Notification(error));
        fail(ErrorCode.told(error.code, error.subcode), damped);
    }

    private void sendNotification(BgpMessage message) {
        if (message instanceof Notification) {
            actions.add(new Send(message));
        }
    }

    private void fail(String reason, boolean damped) {
        actions.add(new Drop());
        connectRetryCounter += damped ? 1 : 0;
        toIdle(reason, damped);
    }

    private void clearTimers() {
        connectRetryAt = NEVER;
        holdAt = NEVER;
        keepaliveAt = NEVER;
        sendHoldAt = NEVER;
    }

    /**
     * Back to Idle, and to start again after the idle hold time, which grows while the session goes on failing
     * (DampPeerOscillations): a peer that flaps costs an attempt now and then.
     */
    private void toIdle(String reason, boolean damped) {
        if (state == State.ESTABLISHED && now - establishedAt >= SOUND_AFTER) {
            failures = 0;
        }
        clearTimers();
        state = State.IDLE;
        peer = null;
        actions.add(new Down(reason));
        if (wanted) {
            long hold = terms.idleHold();
            if (damped) {
                hold = Math.min(terms.mostIdleHold(), hold << Math.min(failures, 20));
                failures++;
            }
            idleHoldAt = now + jittered(hold);
        }
    }
}
