package onyxpaddle.node;

import java.util.ArrayList;
import java.util.List;
import onyxpaddle.BalancerApi.Effect;
import onyxpaddle.BalancerApi.RequestClass;

/** One request from a caller, from its head until its answer is given and no attempt is out any more. */
public final class Exchange {
    /** What a front tells of a request: {@code tenant} may be null, {@code cost} is in seconds, 0 for no hint. */
    public record Terms(String id, RequestClass requestClass, long callerTimeout, String tenant, double cost,
            boolean clientRetry) {
    }

    /** A request may have come so much later than it can have come at the earliest; a third of what may be told too much. */
    private static final long UNSURE = 50_000_000L;

    public final String id;
    final Terms terms;
    /** Whether running twice does no harm. */
    public final boolean repeatable;
    public final Metadata head;
    public final Body body;
    /** The rest of a body that is passed on as it comes; null where {@link #body} is all of it. */
    public final Upload upload;
    final Caller caller;
    final List<Attempt> attempts = new ArrayList<>(2);
    final int mostAttempts;
    /** When its last byte came, at the earliest. */
    long came;
    long deadline;
    int out;
    /** The final answer is given or has begun, or nobody waits for it. */
    boolean over;
    TimerQueue.Item guard;
    /** A server's own word for a failure, for the caller should no other server do better; null for none. */
    Answer failure;
    /** The attempt whose answer is being passed on; null for none. */
    Attempt passing;
    AnswerSink.Source source;

    /** How long its caller waits, in nanoseconds. */
    public long callerTimeout() {
        return terms.callerTimeout();
    }

    /**
     * How much of its time a server may be told is left to its caller, in nanoseconds, 0 at the least: counted from when the last byte
     * came at the earliest, but for {@link #UNSURE}. The node itself may wait for longer, see {@link Dispatcher#arrived}; a server that
     * is told so works on for nobody. Of a body that is passed on as it comes it is the whole time, which begins with its end.
     */
    public long timeLeft(long now) {
        return upload != null ? terms.callerTimeout() : Math.max(0, Math.min(terms.callerTimeout(), came + UNSURE + terms.callerTimeout() - now));
    }

    /** When its caller's time is up, by the node's clock. */
    public long deadline() {
        return deadline;
    }

    /** Whether its answer may be passed on as it comes. */
    public boolean acceptsStreaming() {
        return caller.acceptsStreaming();
    }

    /** Whether the servers may have forgotten its key, under which an attempt before this one may have run. */
    boolean keyForgotten(Attempt next, long now) {
        RequestClass about = terms.requestClass();
        if (about.effect() != Effect.KEYED) {
            return false;
        }
        for (Attempt before : attempts) {
            if (before != next && !before.neverRan) {
                return now >= before.sentAt + about.keyRetention();
            }
        }
        return false;
    }

    public Exchange(Terms terms, Metadata head, Body body, Caller caller) {
        this(terms, head, body, caller, Integer.MAX_VALUE);
    }

    /** {@code mostAttempts}: how often it may be sent, whatever the class and the limits allow. */
    public Exchange(Terms terms, Metadata head, Body body, Caller caller, int mostAttempts) {
        this(terms, head, body, caller, mostAttempts, null);
    }

    /** One whose body is passed on as it comes, but for its first part. */
    public Exchange(Terms terms, Metadata head, Body body, Caller caller, Upload upload) {
        this(terms, head, body, caller, Integer.MAX_VALUE, upload);
    }

    private Exchange(Terms terms, Metadata head, Body body, Caller caller, int mostAttempts, Upload upload) {
        this.upload = upload;
        this.mostAttempts = mostAttempts;
        this.id = terms.id();
        this.terms = terms;
        this.repeatable = terms.requestClass().effect() == Effect.SAFE;
        this.head = head;
        this.body = body;
        this.caller = caller;
    }
}
