package onyxpaddle.node;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import onyxpaddle.BalancerApi.Outcome;

/**
 * Decides whether and when an attempt may begin: only on recent news, for a caller that is known to be there, with the whole body, and while
 * servers recognize the request's key. Used on the event loop only.
 */
public final class AttemptAdmission {
    /**
     * No attempt begins while the event loop's last poll is older: news that a server drains may lie unread, and after 2 s it may get
     * nothing new. The other second is for the way of the news.
     */
    private static final long MAX_POLL_AGE = 1_000_000_000L;
    /** A timer so short runs in the next turn of the event loop, after that turn's reads. */
    private static final long NEXT_TURN_MS = 1;
    /** The interval, in milliseconds, in which a caller is asked again of whose input so much is unread that a close may lie behind it. */
    public static final long CALLER_CHECK_MS = 5;

    private final Dispatcher dispatcher;
    private final Clock clock;
    private final ScheduledExecutorService loop;

    AttemptAdmission(Dispatcher dispatcher, Clock clock, ScheduledExecutorService loop) {
        this.dispatcher = dispatcher;
        this.clock = clock;
        this.loop = loop;
    }

    /**
     * Runs a task that begins an attempt: at once, or, after a stall, when the event loop has read what arrived meanwhile, or when so much
     * of what its caller sent has been read that a close is seen. Its carrier checks again afterwards that the attempt may begin and that
     * the server is listed.
     */
    public void whenCurrent(Attempt attempt, Runnable task) {
        boolean unknown = awaitsCaller(attempt);
        if (unknown && !attempt.exchange.receivesBody()) {
            loop.schedule(() -> whenCurrent(attempt, task), CALLER_CHECK_MS, TimeUnit.MILLISECONDS);
            return;
        }
        if (unknown) {
            attempt.exchange.upload.holdEnd();
        }
        whenCurrent(task);
    }

    /**
     * Passes on the end of a streamed body once its caller is known to be there. An attempt may begin while that is not known, as much of
     * the body is unread; but a server begins a request only with its last byte, so that a caller which has left has none begun for it.
     */
    void confirmEnd(Exchange x) {
        if (x.finished || !x.upload.holdsEnd()) {
            return;
        }
        if (x.caller.left()) {
            dispatcher.events().count(NodeEvent.ATTEMPT_CLIENT_LEFT, x.id);
            dispatcher.clientGone(x);
        } else if (x.caller.mayHaveLeft()) {
            loop.schedule(() -> confirmEnd(x), CALLER_CHECK_MS, TimeUnit.MILLISECONDS);
        } else {
            x.upload.passEnd();
        }
    }

    /** As above, for a task that begins attempts of several callers. */
    public void whenCurrent(Runnable task) {
        if (clock.now() - clock.lastPoll() > MAX_POLL_AGE) {
            loop.schedule(() -> whenCurrent(task), NEXT_TURN_MS, TimeUnit.MILLISECONDS);
        } else {
            task.run();
        }
    }

    /** Whether the attempt must not begin yet, as its caller may have left: its close may lie behind input that is not read. */
    public boolean awaitsCaller(Attempt attempt) {
        Exchange x = attempt.exchange;
        return !attempt.ended && !x.finished && !x.caller.left() && x.caller.mayHaveLeft();
    }

    /**
     * Whether an attempt may begin. Checked when it is sent, and again by its carrier right before the first byte is written, as
     * connecting and queueing take time. If not, the attempt has been ended as unsent.
     *
     * <p>This prevents attempts for callers that have left: the close may lie unread in the socket while a timer, a time-out or another
     * answer starts the next attempt, or a connect may succeed after the answer was given. It also prevents repeating a keyed
     * request whose key the servers have forgotten meanwhile, and an attempt that could send a part of the body only. The drawback: a
     * caller that only shuts down its sending side and waits counts as one that has left.
     */
    public boolean mayBegin(Attempt attempt) {
        if (attempt.ended) {
            return false;
        }
        Exchange x = attempt.exchange;
        long now = clock.now();
        if (!x.finished && x.caller.left()) {
            dispatcher.events().count(NodeEvent.ATTEMPT_CLIENT_LEFT, x.id);
            dispatcher.clientGone(x);
            if (!attempt.ended) {
                dispatcher.ended(attempt, Outcome.NOT_SENT, null);
            }
        } else if (!attempt.ended) {
            NodeEvent obstacle = obstacle(attempt, now);
            if (obstacle != null) {
                dispatcher.events().count(obstacle, x.id);
                dispatcher.ended(attempt, Outcome.NOT_SENT, null);
            }
        }
        return !attempt.ended;
    }

    /** Why the attempt may not begin, apart from its caller; null if it may. */
    private static NodeEvent obstacle(Attempt attempt, long now) {
        Exchange x = attempt.exchange;
        if (x.finished) {
            return NodeEvent.ATTEMPT_ANSWERED;
        }
        if (x.keyExpired(attempt, now)) {
            return NodeEvent.ATTEMPT_KEY_EXPIRED;
        }
        return x.bodyAvailable() ? null : NodeEvent.ATTEMPT_BODY_CONSUMED;
    }
}
