package onyxpaddle.bgp;

import java.util.ArrayList;
import java.util.List;
import onyxpaddle.bgp.BgpMessage.Notification;
import onyxpaddle.bgp.BgpMessage.Open;
import onyxpaddle.bgp.Fsm.Action;
import onyxpaddle.bgp.Fsm.Event;
import onyxpaddle.bgp.Fsm.State;

/**
 * The session with one peer, and during a connection collision a second connection, one of which is closed (RFC 4271, 6.8). Does
 * no I/O; each action names the connection it applies to.
 */
public final class Peering {
    /** A connection to the peer: the one that carries the session, or a second one accepted in parallel. */
    public enum Connection { PRIMARY, SECONDARY }

    /** An action to perform on a connection. */
    public record ConnectionAction(Connection connection, Action action) {
    }

    private final Fsm.Settings settings;
    private long nextSeed;
    private Fsm primary;
    private boolean primaryDialled;
    private Fsm secondary;
    private final List<ConnectionAction> pending = new ArrayList<>();
    private boolean swapped;

    public Peering(Fsm.Settings settings, long seed) {
        this.settings = settings;
        this.nextSeed = seed;
        primary = new Fsm(settings, nextSeed++);
    }

    public State state() {
        return primary.state();
    }

    /** The peer's OPEN once it has been accepted; null before. */
    public Open peer() {
        return primary.peer();
    }

    /** Number of consecutive session failures; see {@link Fsm#failures}. */
    public int failures() {
        return primary.failures();
    }

    public void restoreFailures(int failures) {
        primary.restoreFailures(failures);
    }

    public long due() {
        return Math.min(primary.due(), secondary == null ? Long.MAX_VALUE : secondary.due());
    }

    /**
     * Whether the last call made the secondary connection the primary one. Its actions still use the roles from before the swap;
     * after they are performed, {@link Connection#SECONDARY} becomes {@link Connection#PRIMARY}.
     */
    public boolean swapped() {
        return swapped;
    }

    // ---- events ----

    public List<ConnectionAction> start(long now) {
        return clear().collect(Connection.PRIMARY, primary.handle(Event.MANUAL_START, now), now).pending;
    }

    /** Ends the session with this NOTIFICATION; it is not restarted. */
    public List<ConnectionAction> stop(Notification reason, long now) {
        clear();
        dropSecondary(reason, now);
        return collect(Connection.PRIMARY, primary.handle(Event.MANUAL_STOP, reason, now), now).pending;
    }

    /** Ends the session because of the peer's behaviour; it is retried later. */
    public List<ConnectionAction> reset(Notification reason, long now) {
        return clear().collect(Connection.PRIMARY, primary.handle(Event.AUTOMATIC_STOP, reason, now), now).pending;
    }

    public List<ConnectionAction> connected(long now) {
        clear();
        primaryDialled = true;
        return collect(Connection.PRIMARY, primary.handle(Event.TCP_CR_ACKED, now), now).pending;
    }

    /** The role that an incoming connection gets; null if it must be closed at once. */
    public Connection accepts() {
        return switch (primary.state()) {
            case IDLE, ESTABLISHED -> null;
            case CONNECT, ACTIVE -> Connection.PRIMARY;
            case OPEN_SENT, OPEN_CONFIRM -> secondary == null ? Connection.SECONDARY : null;
        };
    }

    /** Handles an incoming connection, in the role returned by {@link #accepts}. */
    public List<ConnectionAction> accepted(Connection connection, long now) {
        clear();
        if (connection == Connection.PRIMARY) {
            primaryDialled = false;
            return collect(connection, primary.handle(Event.TCP_CONNECTION_CONFIRMED, now), now).pending;
        }
        secondary = new Fsm(new Fsm.Settings(settings.as(), settings.peerAs(), settings.identifier(), settings.holdTime(),
            settings.connectRetry(), settings.idleHold(), settings.maxIdleHold(), true), nextSeed++);
        secondary.restoreFailures(primary.failures());
        secondary.handle(Event.MANUAL_START, now);
        return collect(connection, secondary.handle(Event.TCP_CONNECTION_CONFIRMED, now), now).pending;
    }

    /** Handles any other event on a connection. */
    public List<ConnectionAction> handle(Connection connection, Event event, BgpMessage message, long now) {
        clear();
        Fsm fsm = connection == Connection.PRIMARY ? primary : secondary;
        if (fsm == null) {
            return pending;
        }
        Fsm otherFsm = connection == Connection.PRIMARY ? secondary : primary;
        if (event == Event.BGP_OPEN && otherFsm != null
                && (otherFsm.state() == State.OPEN_CONFIRM || otherFsm.state() == State.ESTABLISHED)
                && fsm.state() == State.OPEN_SENT) {
            boolean keepPrimary = resolveCollision(connection, (Open) message, now);
            if (keepPrimary != (connection == Connection.PRIMARY)) {
                // The connection that received this OPEN is closed.
                return pending;
            }
        }
        return collect(connection, (swapped ? primary : fsm).handle(event, message, now), now).pending;
    }

    public void writeCompleted(Connection connection, long now) {
        Fsm fsm = connection == Connection.PRIMARY ? primary : secondary;
        if (fsm != null) {
            fsm.writeCompleted(now);
        }
    }

    public List<ConnectionAction> timers(long now) {
        clear();
        if (secondary != null) {
            collect(Connection.SECONDARY, secondary.timers(now), now);
        }
        return collect(Connection.PRIMARY, primary.timers(now), now).pending;
    }

    // ---- collision ----

    /**
     * Collision resolution (RFC 4271, 6.8): the connection initiated by the side with the higher identifier is kept; an
     * established session always is. Returns whether the primary connection is kept; otherwise the secondary one becomes
     * primary.
     */
    private boolean resolveCollision(Connection receivedOn, Open open, long now) {
        boolean established = (receivedOn == Connection.PRIMARY ? secondary : primary).state() == State.ESTABLISHED;
        boolean ownHigher = settings.identifier() > open.identifier()
            || settings.identifier() == open.identifier() && settings.as() > open.as();
        // The secondary connection was always initiated by the peer; if the primary was too, the newer one is closed.
        boolean keepPrimary = established ? receivedOn == Connection.SECONDARY : !primaryDialled || ownHigher;
        if (keepPrimary) {
            dropSecondary(new Notification(ErrorCode.COLLISION), now);
        } else {
            promote(now);
        }
        return keepPrimary;
    }

    private void dropSecondary(Notification reason, long now) {
        if (secondary != null) {
            for (Action action : secondary.handle(Event.MANUAL_STOP, reason, now)) {
                if (!(action instanceof Fsm.SessionDown)) {
                    pending.add(new ConnectionAction(Connection.SECONDARY, action));
                }
            }
            secondary = null;
        }
    }

    // ---- actions ----

    private Peering clear() {
        pending.clear();
        swapped = false;
        return this;
    }

    private Peering collect(Connection connection, List<Action> actions, long now) {
        for (Action action : actions) {
            if (connection == Connection.SECONDARY && !swapped && action instanceof Fsm.SessionDown) {
                // The failure of a second connection does not affect the session.
                secondary = null;
            } else if (connection == Connection.SECONDARY && !swapped && action instanceof Fsm.SessionUp) {
                // The second connection was established first: the primary one is closed.
                pending.add(new ConnectionAction(connection, action));
                promote(now);
            } else {
                pending.add(new ConnectionAction(connection, action));
            }
        }
        return this;
    }

    private void promote(long now) {
        for (Action action : primary.handle(Event.OPEN_COLLISION_DUMP, now)) {
            if (!(action instanceof Fsm.SessionDown)) {
                pending.add(new ConnectionAction(Connection.PRIMARY, action));
            }
        }
        primary = secondary;
        primaryDialled = false;
        secondary = null;
        swapped = true;
    }
}
