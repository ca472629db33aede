package onyxpaddle.node;

import java.util.ArrayList;
import java.util.List;
import onyxpaddle.BalancerApi.Effect;
import onyxpaddle.BalancerApi.RequestClass;

/** A request from a caller, from its head until it has its answer and all of its attempts have ended. */
public final class Exchange {
    /** A request's parameters, set by the front: {@code tenant} may be null, {@code cost} is in seconds, 0 for no hint. */
    public record Terms(String id, RequestClass requestClass, long callerTimeout, String tenant, double cost,
            boolean clientRetry) {
    }

    /** How much later than at its earliest a request may have arrived; a third of the excess allowed in the time told to servers. */
    private static final long ARRIVAL_UNCERTAINTY = 50_000_000L;

    public final String id;
    final Terms terms;
    /** Whether running it twice does no harm. */
    public final boolean repeatable;
    public final Metadata head;
    public final Body body;
    /** The streamed body, of which {@link #body} is the first part; null if {@link #body} is complete. */
    public final Upload upload;
    final Caller caller;
    final List<Attempt> attempts = new ArrayList<>(2);
    final int maxAttempts;
    /** The earliest time at which its last byte can have arrived. */
    long arrivedAt;
    /** How long it waited, having been read, behind other requests of its connection. */
    private long queuedNanos;
    long deadline;
    int pendingAttempts;
    /** The final answer has been given or has begun, or nobody waits for it. */
    boolean finished;
    /** Other processes of the node have been told that it may run. */
    boolean announced;
    /** The attempt that took its body was given up before the body's last byte had been read. */
    boolean bodyStalled;
    TimerQueue.Entry overdueTimer;
    /** A server's own answer on a failure, for the caller if no other server succeeds; null for none. */
    Answer failure;
    /** The attempt whose answer is being streamed; null for none. */
    Attempt streaming;
    AnswerSink.Source source;

    /** Records for how many nanoseconds it waited behind other requests of its connection after it had been read. */
    public void queuedFor(long nanos) {
        queuedNanos = nanos;
    }

    long queuedNanos() {
        return queuedNanos;
    }

    /** How long the caller waits, in nanoseconds. */
    public long callerTimeout() {
        return terms.callerTimeout();
    }

    /**
     * The caller's remaining time as told to a server, in nanoseconds, at least 0. It counts from the earliest possible arrival of the
     * last byte plus {@link #ARRIVAL_UNCERTAINTY}. The node itself may wait longer, see {@link Dispatcher#arrived}, but a server
     * that was told so would work on for a caller that has left. While a streamed body arrives, its caller may have written the last
     * byte already.
     */
    public long timeLeft(long now) {
        return Math.max(0, Math.min(terms.callerTimeout(), waitsSince() + ARRIVAL_UNCERTAINTY + terms.callerTimeout() - now));
    }

    /** The earliest time from which the caller's wait can count. */
    long waitsSince() {
        return receivesBody() ? upload.waitsSince() : arrivedAt;
    }

    /** Whether the body's last byte has not been read. */
    boolean receivesBody() {
        return upload != null && !upload.received();
    }

    /** When the caller's time is up, by the node's clock. */
    public long deadline() {
        return deadline;
    }

    /** Whether its answer may be streamed. */
    public boolean acceptsStreaming() {
        return caller.acceptsStreaming();
    }

    /** Whether an attempt that begins now can send the whole body, from its first byte. */
    public boolean bodyAvailable() {
        return upload == null || upload.available();
    }

    /** Releases the body, which no further attempt may send. */
    void releaseBody() {
        body.release();
        if (upload != null) {
            upload.release();
        }
    }

    /** Whether it may be repeated only because its servers recognize its key. */
    public boolean reliesOnKey() {
        return terms.requestClass().effect() == Effect.KEYED;
    }

    /** Whether the servers may have forgotten the key of this request, of which an earlier attempt may have run. */
    boolean keyExpired(Attempt next, long now) {
        Attempt earlier = reliesOnKey() ? firstPossibleRun(next) : null;
        return earlier != null && now >= earlier.sentAt + terms.requestClass().keyRetention();
    }

    /** What is known of it if it is refused now; {@code keysTold}: whether servers that may get it again are told its key. */
    Refusal refusal(long now, long retryAfter, boolean keysTold) {
        Attempt possibleRun = firstPossibleRun(null);
        if (possibleRun == null) {
            return Refusal.NEVER_RAN;
        }
        if (repeatable) {
            return Refusal.REPEATABLE;
        }
        boolean remembered = reliesOnKey() && now + retryAfter < possibleRun.sentAt + terms.requestClass().keyRetention();
        return keysTold && remembered ? Refusal.REPEATABLE_WITH_KEY : Refusal.MAY_RUN_TWICE;
    }

    /** The first attempt, other than {@code except}, that ran or may have run; null if there is none. */
    private Attempt firstPossibleRun(Attempt except) {
        for (Attempt attempt : attempts) {
            if (attempt != except && !attempt.neverRan) {
                return attempt;
            }
        }
        return null;
    }

    /** Whether it must run once at most, and an attempt may have run it. */
    boolean mayHaveRunOnce() {
        return terms.requestClass().effect() == Effect.UNSAFE && attempts.stream().anyMatch(a -> a.written() && !a.neverRan);
    }

    public Exchange(Terms terms, Metadata head, Body body, Caller caller) {
        this(terms, head, body, caller, Integer.MAX_VALUE);
    }

    /** {@code maxAttempts}: bound on its attempts, besides those of its class and of the limits. */
    public Exchange(Terms terms, Metadata head, Body body, Caller caller, int maxAttempts) {
        this(terms, head, body, caller, maxAttempts, null);
    }

    /** A request of whose body the first part is held and the rest is streamed. */
    public Exchange(Terms terms, Metadata head, Body body, Caller caller, Upload upload) {
        this(terms, head, body, caller, Integer.MAX_VALUE, upload);
    }

    private Exchange(Terms terms, Metadata head, Body body, Caller caller, int maxAttempts, Upload upload) {
        this.upload = upload;
        this.maxAttempts = maxAttempts;
        this.id = terms.id();
        this.terms = terms;
        this.repeatable = terms.requestClass().effect() == Effect.SAFE;
        this.head = head;
        this.body = body;
        this.caller = caller;
    }
}
