package onyxpaddle.bgp;

import java.util.ArrayList;
import java.util.List;
import onyxpaddle.bgp.BgpMessage.Notification;
import onyxpaddle.bgp.BgpMessage.Open;
import onyxpaddle.bgp.Fsm.Action;
import onyxpaddle.bgp.Fsm.Event;
import onyxpaddle.bgp.Fsm.State;

/**
 * One peer: its session, and for a moment a second connection to it, of which one is given up (RFC 4271, 6.8). Does no I/O;
 * each action names the connection it is for.
 */
public final class Peering {
    /** A connection to the peer: the one that the session is on, or one that came beside it. */
    public enum Link { MAIN, OTHER }

    /** What is to be done on a connection. */
    public record Order(Link link, Action action) {
    }

    private final Fsm.Settings terms;
    private long seeds;
    private Fsm main;
    private boolean mainDialled;
    private Fsm other;
    private final List<Order> orders = new ArrayList<>();
    private boolean swapped;

    public Peering(Fsm.Settings terms, long seed) {
        this.terms = terms;
        this.seeds = seed;
        main = new Fsm(terms, seeds++);
    }

    public State state() {
        return main.state();
    }

    /** The peer's OPEN where the session stands or is about to; null before. */
    public Open peer() {
        return main.peer();
    }

    /** How often in a row the session has failed; see {@link Fsm#failures}. */
    public int failures() {
        return main.failures();
    }

    public void recall(int failures) {
        main.recall(failures);
    }

    public long due() {
        return Math.min(main.due(), other == null ? Long.MAX_VALUE : other.due());
    }

    /**
     * Whether the last call made the other connection the main one: what carries {@link Link#OTHER} is to be taken for
     * {@link Link#MAIN} from now on, after its orders are carried out as they are named.
     */
    public boolean swapped() {
        return swapped;
    }

    // ---- what happens ----

    public List<Order> start(long now) {
        return begin().take(Link.MAIN, main.handle(Event.MANUAL_START, now), now).orders;
    }

    /** Ends it with this reason; it stays ended. */
    public List<Order> stop(Notification reason, long now) {
        begin();
        dropOther(reason, now);
        return take(Link.MAIN, main.handle(Event.MANUAL_STOP, reason, now), now).orders;
    }

    /** The speaker ends the session for a fault of the peer's, and tries again later. */
    public List<Order> reset(Notification reason, long now) {
        return begin().take(Link.MAIN, main.handle(Event.AUTOMATIC_STOP, reason, now), now).orders;
    }

    public List<Order> dialled(long now) {
        begin();
        mainDialled = true;
        return take(Link.MAIN, main.handle(Event.TCP_CR_ACKED, now), now).orders;
    }

    /** Which connection one that the peer has dialled becomes; null where it is closed at once. */
    public Link accepts() {
        return switch (main.state()) {
            case IDLE, ESTABLISHED -> null;
            case CONNECT, ACTIVE -> Link.MAIN;
            case OPEN_SENT, OPEN_CONFIRM -> other == null ? Link.OTHER : null;
        };
    }

    /** The peer's connection is taken, as {@link #accepts} has said. */
    public List<Order> accepted(Link link, long now) {
        begin();
        if (link == Link.MAIN) {
            mainDialled = false;
            return take(link, main.handle(Event.TCP_CONNECTION_CONFIRMED, now), now).orders;
        }
        other = new Fsm(new Fsm.Settings(terms.as(), terms.peerAs(), terms.identifier(), terms.holdTime(), terms.connectRetry(),
            terms.idleHold(), terms.mostIdleHold(), true), seeds++);
        other.recall(main.failures());
        other.handle(Event.MANUAL_START, now);
        return take(link, other.handle(Event.TCP_CONNECTION_CONFIRMED, now), now).orders;
    }

    /** Anything else that happens on a connection. */
    public List<Order> happened(Link link, Event event, BgpMessage message, long now) {
        begin();
        Fsm fsm = link == Link.MAIN ? main : other;
        if (fsm == null) {
            return orders;
        }
        Fsm beside = link == Link.MAIN ? other : main;
        if (event == Event.BGP_OPEN && beside != null && (beside.state() == State.OPEN_CONFIRM || beside.state() == State.ESTABLISHED)
                && fsm.state() == State.OPEN_SENT) {
            boolean keepMain = collide(link, (Open) message, now);
            if (keepMain != (link == Link.MAIN)) {
                // The connection on which this came is given up.
                return orders;
            }
        }
        return take(link, (swapped ? main : fsm).handle(event, message, now), now).orders;
    }

    public void taken(Link link, long now) {
        Fsm fsm = link == Link.MAIN ? main : other;
        if (fsm != null) {
            fsm.taken(now);
        }
    }

    public List<Order> timers(long now) {
        begin();
        if (other != null) {
            take(Link.OTHER, other.timers(now), now);
        }
        return take(Link.MAIN, main.timers(now), now).orders;
    }

    // ---- collision ----

    /**
     * RFC 4271, 6.8: of two connections, the one that the side with the higher identifier has dialled stays. An established
     * session always does. Returns whether the main one stays; else the other is the main one from here on.
     */
    private boolean collide(Link came, Open open, long now) {
        boolean established = (came == Link.MAIN ? other : main).state() == State.ESTABLISHED;
        boolean ownHigher = terms.identifier() > open.identifier()
            || terms.identifier() == open.identifier() && terms.as() > open.as();
        // The other one is always the peer's; where the main one is so too, the newer goes.
        boolean keepMain = established ? came == Link.OTHER : !mainDialled || ownHigher;
        if (keepMain) {
            dropOther(new Notification(ErrorCode.COLLISION), now);
        } else {
            promote(now);
        }
        return keepMain;
    }

    private void dropOther(Notification reason, long now) {
        if (other != null) {
            for (Action action : other.handle(Event.MANUAL_STOP, reason, now)) {
                if (!(action instanceof Fsm.Down)) {
                    orders.add(new Order(Link.OTHER, action));
                }
            }
            other = null;
        }
    }

    // ---- orders ----

    private Peering begin() {
        orders.clear();
        swapped = false;
        return this;
    }

    private Peering take(Link link, List<Action> actions, long now) {
        for (Action action : actions) {
            if (link == Link.OTHER && !swapped && action instanceof Fsm.Down) {
                // A second connection that fails says nothing of the session.
                other = null;
            } else if (link == Link.OTHER && !swapped && action instanceof Fsm.Up) {
                // It came to stand first: the one that was tried beside it goes.
                orders.add(new Order(link, action));
                promote(now);
            } else {
                orders.add(new Order(link, action));
            }
        }
        return this;
    }

    private void promote(long now) {
        for (Action action : main.handle(Event.OPEN_COLLISION_DUMP, now)) {
            if (!(action instanceof Fsm.Down)) {
                orders.add(new Order(Link.MAIN, action));
            }
        }
        main = other;
        mainDialled = false;
        other = null;
        swapped = true;
    }
}
