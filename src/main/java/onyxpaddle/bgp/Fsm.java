package onyxpaddle.bgp;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import onyxpaddle.bgp.BgpMessage.Capabilities;
import onyxpaddle.bgp.BgpMessage.Notification;
import onyxpaddle.bgp.BgpMessage.Open;

/**
 * The finite state machine of one BGP connection, following RFC 4271, 8.2.2, with the send hold timer of RFC 9687. Does no I/O:
 * it takes an event and the time and returns actions to perform in order; {@link #due} returns when the next timer expires, and
 * {@link #timers} is called then. Times are in nanoseconds of the node's clock.
 *
 * <p>Optional session attributes: AllowAutomaticStart, DampPeerOscillations and PassiveTcpEstablishment are supported; DelayOpen
 * and CollisionDetectEstablishedState are not (an established session is kept and a further connection is closed).
 */
public final class Fsm {
    /** RFC 4271, 8.2.2. */
    public enum State { IDLE, CONNECT, ACTIVE, OPEN_SENT, OPEN_CONFIRM, ESTABLISHED }

    /** The events of RFC 4271, 8.1, with their numbers there. */
    public enum Event {
        /** Event 1. */
        MANUAL_START,
        /** Event 2: by an operator or at process shutdown; the NOTIFICATION to send may give the reason. */
        MANUAL_STOP,
        /** Event 8: the speaker ends the session itself, e.g. on too many prefixes; the NOTIFICATION to send gives the reason. */
        AUTOMATIC_STOP,
        /** Event 9. */
        CONNECT_RETRY_TIMER_EXPIRES,
        /** Event 10. */
        HOLD_TIMER_EXPIRES,
        /** Event 11. */
        KEEPALIVE_TIMER_EXPIRES,
        /** Event 13. */
        IDLE_HOLD_TIMER_EXPIRES,
        /** Event 29, added by RFC 9687. */
        SEND_HOLD_TIMER_EXPIRES,
        /** Event 16: the outgoing connection is established. */
        TCP_CR_ACKED,
        /** Event 17: an incoming connection was accepted. */
        TCP_CONNECTION_CONFIRMED,
        /** Event 18: the connection failed or was closed by the peer. */
        TCP_CONNECTION_FAILS,
        /** Event 19. */
        BGP_OPEN,
        /** Events 21, 22 and 28: a received message is invalid; the NOTIFICATION to send describes the error. */
        MESSAGE_ERROR,
        /** Event 23: another connection to the same peer is kept instead of this one. */
        OPEN_COLLISION_DUMP,
        /** Event 24. */
        NOTIF_MSG_VER_ERR,
        /** Event 25. */
        NOTIF_MSG,
        /** Event 26. */
        KEEPALIVE_MSG,
        /** Event 27; also used for a ROUTE-REFRESH. */
        UPDATE_MSG
    }

    /** An action for the caller to perform. */
    public sealed interface Action {
    }

    /** Open a connection to the peer. */
    public record Dial() implements Action {
    }

    public record Send(BgpMessage message) implements Action {
    }

    /** Close the connection after pending writes, or cancel the connection attempt. */
    public record Drop() implements Action {
    }

    /** The session is established: routes may be sent. */
    public record SessionUp(Open peer, int holdTime) implements Action {
    }

    /** The session has ended or could not be established; {@code reason} is human-readable. */
    public record SessionDown(String reason) implements Action {
    }

    /**
     * Configuration of a peer. Times are in nanoseconds, except for {@code holdTime}.
     *
     * @param as the local AS number; {@code peerAs}: the AS number that the peer must have
     * @param identifier the local BGP identifier, four octets
     * @param holdTime proposed hold time in seconds: 0, or at least 3
     * @param connectRetry interval between connection attempts, before jitter
     * @param idleHold initial idle time after a failure; doubles with each failure up to {@code maxIdleHold}
     * @param passive whether to wait for the peer to connect
     */
    public record Settings(long as, long peerAs, long identifier, int holdTime, long connectRetry, long idleHold,
            long maxIdleHold, boolean passive) {
    }

    private static final long SECOND = 1_000_000_000L;
    /** RFC 4271, 8.2.2: a large hold time is used until the negotiated one is known. */
    private static final long LARGE_HOLD = 240 * SECOND;
    /** RFC 9687, 4: the greater of eight minutes and twice the hold time. */
    private static final long MIN_SEND_HOLD = 480 * SECOND;
    private static final long NEVER = Long.MAX_VALUE;
    /** A session that was established for this long does not count as oscillating: its failure resets the damping. */
    private static final long STABLE_AFTER = 60 * SECOND;

    private final Settings settings;
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
    private boolean enabled;

    public Fsm(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
    }

    public State state() {
        return state;
    }

    /** The peer's OPEN; null until it is received. */
    public Open peer() {
        return peer;
    }

    /** ConnectRetryCounter (RFC 4271, 8.1.1). */
    public int connectRetryCounter() {
        return connectRetryCounter;
    }

    /** Number of consecutive session failures, which determines the idle hold time. May be passed on to a successor process. */
    public int failures() {
        return failures;
    }

    /** Restores the failure count of the previous process, so that a process in a crash loop is damped too. */
    public void restoreFailures(int earlierFailures) {
        failures = Math.max(0, earlierFailures);
    }

    /** When {@link #timers} must be called next; {@link Long#MAX_VALUE} if no timer is running. */
    public long due() {
        return Math.min(Math.min(Math.min(connectRetryAt, holdAt), Math.min(keepaliveAt, idleHoldAt)), sendHoldAt);
    }

    /** Processes each expired timer as one event. */
    public List<Action> timers(long nowNanos) {
        actions.clear();
        now = nowNanos;
        if (now >= idleHoldAt) {
            idleHoldAt = NEVER;
            dispatch(Event.IDLE_HOLD_TIMER_EXPIRES, null);
        }
        if (now >= connectRetryAt) {
            connectRetryAt = NEVER;
            dispatch(Event.CONNECT_RETRY_TIMER_EXPIRES, null);
        }
        if (now >= holdAt) {
            holdAt = NEVER;
            dispatch(Event.HOLD_TIMER_EXPIRES, null);
        }
        if (now >= sendHoldAt) {
            sendHoldAt = NEVER;
            dispatch(Event.SEND_HOLD_TIMER_EXPIRES, null);
        }
        if (now >= keepaliveAt) {
            keepaliveAt = NEVER;
            dispatch(Event.KEEPALIVE_TIMER_EXPIRES, null);
        }
        return List.copyOf(actions);
    }

    public List<Action> handle(Event event, long nowNanos) {
        return handle(event, null, nowNanos);
    }

    /** {@code message}: the received OPEN, or the NOTIFICATION to send; null if the event has none. */
    public List<Action> handle(Event event, BgpMessage message, long nowNanos) {
        actions.clear();
        now = nowNanos;
        dispatch(event, message);
        return List.copyOf(actions);
    }

    /** Restarts the send hold timer after a write to the connection has completed (RFC 9687). */
    public void writeCompleted(long nowNanos) {
        if (sendHoldAt != NEVER) {
            sendHoldAt = nowNanos + sendHold();
        }
    }

    private long sendHold() {
        return Math.max(MIN_SEND_HOLD, 2 * holdSpan);
    }

    private void dispatch(Event event, BgpMessage message) {
        switch (state) {
            case IDLE -> idle(event);
            case CONNECT, ACTIVE -> connecting(event);
            case OPEN_SENT -> openSent(event, message);
            case OPEN_CONFIRM -> openConfirm(event, message);
            case ESTABLISHED -> established(event, message);
        }
    }

    // ---- Idle ----

    private void idle(Event event) {
        switch (event) {
            case MANUAL_START -> {
                enabled = true;
                if (idleHoldAt == NEVER) {
                    start();
                }
            }
            case IDLE_HOLD_TIMER_EXPIRES -> {
                if (enabled) {
                    start();
                }
            }
            case MANUAL_STOP -> disable();
            case TCP_CONNECTION_CONFIRMED, TCP_CR_ACKED ->
                // RFC 4271, 8.2.1: in Idle all incoming connections are refused.
                actions.add(new Drop());
            default -> { }
        }
    }

    private void disable() {
        enabled = false;
        idleHoldAt = NEVER;
        connectRetryCounter = 0;
    }

    private void start() {
        connectRetryCounter = 0;
        connectRetryAt = now + jittered(settings.connectRetry());
        if (settings.passive()) {
            state = State.ACTIVE;
        } else {
            state = State.CONNECT;
            actions.add(new Dial());
        }
    }

    /** Applies jitter: a uniform factor between 0.75 and 1 (RFC 4271, 10). */
    private long jittered(long span) {
        return (long) (span * (0.75 + 0.25 * random.nextDouble()));
    }

    // ---- Connect, Active ----

    private void connecting(Event event) {
        switch (event) {
            case MANUAL_START, IDLE_HOLD_TIMER_EXPIRES -> { }
            case MANUAL_STOP -> {
                actions.add(new Drop());
                disable();
                toIdle("stopped", false);
            }
            case CONNECT_RETRY_TIMER_EXPIRES -> {
                connectRetryAt = now + jittered(settings.connectRetry());
                if (settings.passive()) {
                    state = State.ACTIVE;
                } else {
                    actions.add(new Drop());
                    actions.add(new Dial());
                    state = State.CONNECT;
                }
            }
            case TCP_CR_ACKED, TCP_CONNECTION_CONFIRMED -> sendOpen();
            case TCP_CONNECTION_FAILS -> {
                if (state == State.CONNECT) {
                    actions.add(new Drop());
                    toIdle("cannot connect", false);
                } else {
                    fail("connection lost", true);
                }
            }
            // SendNOTIFICATIONwithoutOPEN is false: before the local OPEN is sent, an error only closes the connection.
            default -> fail("unexpected " + event + " in " + state, true);
        }
    }

    private void sendOpen() {
        connectRetryAt = NEVER;
        actions.add(new Send(new Open(BgpMessage.VERSION, settings.as(), settings.holdTime(), settings.identifier(), Capabilities.OWN)));
        holdAt = now + LARGE_HOLD;
        holdSpan = settings.holdTime() * SECOND;
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
                // RFC 4271, 8.2.2: return to Active and restart the ConnectRetry timer.
                actions.add(new Drop());
                clearTimers();
                peer = null;
                connectRetryAt = now + jittered(settings.connectRetry());
                state = State.ACTIVE;
            }
            case BGP_OPEN -> {
                ErrorCode error = check((Open) message);
                if (error != null) {
                    sendNotification(new Notification(error,
                        error == ErrorCode.VERSION ? new byte[] {0, BgpMessage.VERSION} : new byte[0]));
                    fail("OPEN rejected: " + ErrorCode.describe(error.code, error.subcode), true);
                } else {
                    acceptOpen((Open) message);
                }
            }
            case MESSAGE_ERROR -> {
                sendNotification(message);
                fail(String.valueOf(message), true);
            }
            case NOTIF_MSG_VER_ERR -> fail("NOTIFICATION received: unsupported version", false);
            // The table of the RFC requires a NOTIFICATION here; the peer has already closed the connection, so none is sent.
            case NOTIF_MSG -> fail("NOTIFICATION received: " + message, true);
            default -> failWith(ErrorCode.FSM_OPEN_SENT, true);
        }
    }

    /** Validates an OPEN (RFC 4271, 6.2); returns null if it is acceptable. */
    private ErrorCode check(Open open) {
        if (open.version() != BgpMessage.VERSION) {
            return ErrorCode.VERSION;
        } else if (open.as() != settings.peerAs()) {
            return ErrorCode.BAD_AS;
        } else if (open.identifier() == 0 || open.as() == settings.as() && open.identifier() == settings.identifier()) {
            // RFC 6286: any non-zero identifier, unique within an AS.
            return ErrorCode.BAD_IDENTIFIER;
        }
        return open.holdTime() == 1 || open.holdTime() == 2 ? ErrorCode.HOLD_TIME : null;
    }

    private void acceptOpen(Open open) {
        peer = open;
        holdSpan = Math.min(settings.holdTime(), open.holdTime()) * SECOND;
        // RFC 4271, 10: a third of the hold time; jitter prevents many sessions from sending at the same time.
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
            case TCP_CONNECTION_FAILS -> fail("connection lost", true);
            case NOTIF_MSG -> fail("NOTIFICATION received: " + message, true);
            case NOTIF_MSG_VER_ERR -> fail("NOTIFICATION received: unsupported version", false);
            case MESSAGE_ERROR -> {
                sendNotification(message);
                fail(String.valueOf(message), true);
            }
            case KEEPALIVE_MSG -> {
                restartHold();
                state = State.ESTABLISHED;
                establishedAt = now;
                actions.add(new SessionUp(peer, (int) (holdSpan / SECOND)));
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
                // RFC 9687, 3.3: a NOTIFICATION would be queued behind data that the peer does not read.
                fail("send hold timer expired", true);
            case KEEPALIVE_TIMER_EXPIRES -> keepalive();
            case KEEPALIVE_MSG, UPDATE_MSG -> restartHold();
            case TCP_CONNECTION_FAILS -> fail("connection lost", true);
            case NOTIF_MSG, NOTIF_MSG_VER_ERR -> fail("NOTIFICATION received: " + message, true);
            case MESSAGE_ERROR -> {
                sendNotification(message);
                fail(String.valueOf(message), true);
            }
            default -> failWith(ErrorCode.FSM_ESTABLISHED, true);
        }
    }

    // ---- termination ----

    /** Stops the session on an operator's request or at process shutdown: sends a CEASE with the reason and does not restart. */
    private void stop(BgpMessage message) {
        sendNotification(message != null ? message : new Notification(ErrorCode.SHUTDOWN));
        actions.add(new Drop());
        disable();
        toIdle("stopped", false);
    }

    private void cease(Event event, BgpMessage message) {
        boolean collision = event == Event.OPEN_COLLISION_DUMP;
        Notification reason = message instanceof Notification notification ? notification
            : new Notification(collision ? ErrorCode.COLLISION : ErrorCode.RESET);
        sendNotification(reason);
        fail(reason.toString(), !collision);
    }

    private void failWith(ErrorCode error, boolean damped) {
        sendNotification(new Notification(error));
        fail(ErrorCode.describe(error.code, error.subcode), damped);
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
     * Returns to Idle and schedules a restart after the idle hold time, which grows with consecutive failures
     * (DampPeerOscillations), so that a flapping peer is retried only occasionally.
     */
    private void toIdle(String reason, boolean damped) {
        if (state == State.ESTABLISHED && now - establishedAt >= STABLE_AFTER) {
            failures = 0;
        }
        clearTimers();
        state = State.IDLE;
        peer = null;
        actions.add(new SessionDown(reason));
        if (enabled) {
            long hold = settings.idleHold();
            if (damped) {
                hold = Math.min(settings.maxIdleHold(), hold << Math.min(failures, 20));
                failures++;
            }
            idleHoldAt = now + jittered(hold);
        }
    }
}
