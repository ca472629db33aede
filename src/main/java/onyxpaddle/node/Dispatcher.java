package onyxpaddle.node;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import onyxpaddle.BalancerApi.*;
import onyxpaddle.RatioBalancer;
import onyxpaddle.node.Exchange.Terms;

/**
 * Connects callers, servers and the balancer: turns what happens into the balancer's events, one at a time, and
 * executes its actions in order. It owns requests and attempts and ensures that each attempt ends once and each
 * request has one answer; the balancer alone decides which server to send to and when to stop.
 */
public final class Dispatcher {
    /** How long after its deadline a request that the balancer left unanswered is failed. */
    private static final long OVERDUE_MARGIN = 8_000_000L;
    /** How late after its deadline an answer may be given. It is lost after 0.5 s, of which 0.2 s are kept for its delivery. */
    private static final long MAX_ANSWER_DELAY = 300_000_000L;
    private static final long STALLED_BODY_LOG_INTERVAL = 1_000_000_000L;

    private final Clock clock;
    private final RatioBalancer balancer;
    private final Limits limits;
    private final Map<String, Exchange> exchanges = new HashMap<>();
    private final OnceOnlyRequests onceOnly;
    private final AttemptAdmission admission;
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    /** Null if the pool has no bound on concurrent requests. */
    private final InFlightLimit limit;
    private final RequestCounts counts;
    private final ServerListStatus listStatus = new ServerListStatus(true);
    /** Null if no request is refused before the balancer decides. */
    private SiteGate siteGate;
    private Upstream upstream;
    private Runnable onSubscribe = () -> { };
    private final LoopTimers timers;
    private boolean processing;
    private int unanswered;
    /** Since the last log line on them. */
    private int stalledBodies;
    private long stalledBodyLoggedAt;
    /** Results in this pool, by ordinal of {@link RequestCounts.RequestResult}; {@link RequestCounts} has them by class. */
    private final long[] resultCounts = new long[RequestCounts.RequestResult.values().length];

    /** {@code loop}: the single thread on which all methods are called. */
    public Dispatcher(Clock clock, ScheduledExecutorService loop, RatioBalancer balancer, Limits limits, RequestCounts counts) {
        this(clock, loop, balancer, limits, counts, null);
    }

    /** With a bound on concurrent requests; null for none. */
    public Dispatcher(Clock clock, ScheduledExecutorService loop, RatioBalancer balancer, Limits limits, RequestCounts counts,
            InFlightLimit limit) {
        this.clock = clock;
        this.timers = new LoopTimers(clock, loop);
        this.onceOnly = new OnceOnlyRequests(clock, exchanges.values());
        this.admission = new AttemptAdmission(this, clock, loop);
        this.balancer = balancer;
        this.limits = limits;
        this.limit = limit;
        this.counts = counts;
    }

    public void connect(Upstream servers, Runnable subscribe) {
        upstream = servers;
        onSubscribe = subscribe;
    }

    /**
     * Whether servers are told the idempotency key of a request with this head. If not, the request must be handed over with a class whose
     * requests run once at most, whatever its caller gave.
     */
    public boolean tellsKeys(Metadata head) {
        return upstream.tellsKeys(head);
    }

    /** Sets a gate that may refuse a request before the balancer decides. */
    public void setSiteGate(SiteGate gate) {
        siteGate = gate;
    }

    /** The status of each site for this pool; null if no sites are configured. */
    public List<SiteGate.Site> sites() {
        return siteGate == null ? null : siteGate.siteStatuses(clock.now());
    }

    /** Puts a site on hold for operators, so that it gets no new requests, or releases it; false if that is not possible. */
    public boolean setSiteHold(String site, boolean hold) {
        if (siteGate == null || !siteGate.operators(clock.now(), site, hold)) {
            return false;
        }
        enqueue(new ZoneShares(siteGate.shares()));
        return true;
    }

    /** Whether no request is left, neither an unanswered one nor an answered one with an open attempt. */
    public boolean idle() {
        return exchanges.isEmpty();
    }

    /** Whether a request with this id is open, and its caller has not left. */
    public boolean hasRequest(String id) {
        Exchange open = exchanges.get(id);
        if (open != null && !open.finished && open.caller.left()) {
            clientGone(open);
        }
        return exchanges.containsKey(id);
    }

    // ---- metrics and state ----

    /** The number of accepted requests without a final answer. */
    public int unanswered() {
        return unanswered;
    }

    /** The number of this pool's requests that ended with this result. */
    public long ended(RequestCounts.RequestResult result) {
        return resultCounts[result.ordinal()];
    }

    /** The number of listed servers, and of those that the balancer avoids at present. */
    public FleetSummary fleet() {
        return balancer.fleet(clock.now());
    }

    /** What discovery has sent to this pool. */
    public ServerListStatus listStatus() {
        return listStatus;
    }

    /** The status of each listed server. */
    public List<ServerStatus> serverStatuses() {
        return balancer.serverStatuses(clock.now());
    }

    /** The learnt state, for the process that replaces this one. */
    public BalancerSnapshot snapshot() {
        return balancer.snapshot(clock.now());
    }

    /** Restores the learnt state of the previous process. */
    public void restore(BalancerSnapshot snapshot) {
        balancer.restore(snapshot);
    }

    /** The requests that must run once. */
    public OnceOnlyRequests onceOnly() {
        return onceOnly;
    }

    /** Disables or enables a server for an operator; false if it is neither listed nor disabled. */
    public boolean takeOut(String server, boolean out) {
        if (!balancer.isListed(server) && !balancer.isTakenOut(server)) {
            return false;
        }
        enqueue(new TakenOut(server, out));
        return true;
    }

    /** Decides whether and when this pool's attempts may begin. */
    public AttemptAdmission admission() {
        return admission;
    }

    /** Counts of the node's events by their reasons. */
    public NodeEvents events() {
        return counts.events();
    }

    /** Counts the result of a request; fronts call this for requests that they answer without handing them to the pool. */
    public void countResult(Terms terms, RequestCounts.RequestResult result) {
        resultCounts[result.ordinal()]++;
        counts.ended(terms.requestClass().name(), result);
    }

    private void count(Exchange x, RequestCounts.RequestResult result) {
        countResult(x.terms, result);
    }

    // ---- events from callers, servers and discovery ----

    /**
     * A request has been read completely, or as far as it is held before a server takes its body. Its time-out starts now, unless the node
     * is far behind: the answer is due at most {@link #MAX_ANSWER_DELAY} after the time-out as counted from {@code arrivedAt}, the earliest
     * possible arrival of the last byte. A node short of processor time would otherwise grant each request its full time from when it gets
     * to it, and answer long after the caller has left. A request without any time left is refused unsent. The drawback: where a long turn
     * of the event loop is mistaken for a long wait, the end of the caller's time is lost. While a streamed body arrives, the deadline
     * moves, see {@link #extend}.
     */
    public void arrived(Exchange x, long arrivedAt) {
        timers.runDue();
        long now = clock.now();
        Terms terms = x.terms;
        long endsAt = deadline(x, arrivedAt, now);
        if (x.upload == null) {
            events().record(NodeDelay.READ, Math.max(0, now - arrivedAt - x.queuedNanos()), now);
            events().record(NodeDelay.QUEUE, x.queuedNanos(), now);
        }
        if (endsAt <= now) {
            refuseUnsent(x, NodeEvent.REFUSED_NO_TIME_LEFT, 0);
            return;
        }
        if (onceOnly.mayHaveRun(x.id, now)) {
            failUnsent(x);
            return;
        }
        if (limit != null && !limit.admits(unanswered, terms.requestClass().worth())) {
            refuseUnsent(x, NodeEvent.REFUSED_POOL_LIMIT, limit.retryAfter());
            return;
        }
        long retryAfter = siteGate == null ? SiteGate.ADMITTED : siteGate.refuses(now, terms.requestClass().name());
        if (retryAfter != SiteGate.ADMITTED) {
            refuseUnsent(x, NodeEvent.REFUSED_SITE, retryAfter);
            return;
        }
        x.arrivedAt = arrivedAt;
        exchanges.put(x.id, x);
        unanswered++;
        setDeadline(x, endsAt);
        enqueue(new Arrival(x.id, terms.requestClass().name(), x.deadline, terms.tenant(), terms.cost(),
            terms.clientRetry()));
    }

    private void refuseUnsent(Exchange x, NodeEvent reason, long retryAfter) {
        x.finished = true;
        x.releaseBody();
        countResult(x.terms, RequestCounts.RequestResult.BUSY);
        events().count(reason, x.id);
        x.caller.refused(Refusal.NEVER_RAN, retryAfter, null);
    }

    /** Its id came before and may have run: neither a further run nor a refusal, which would promise that there was none. */
    private void failUnsent(Exchange x) {
        x.finished = true;
        x.releaseBody();
        count(x, RequestCounts.RequestResult.FAILURE);
        events().count(NodeEvent.ATTEMPT_REPEATED_ID, x.id);
        x.caller.failed(false, null);
    }

    /** The attempt begins to take the request's streamed body, which no other attempt can send from now on. */
    public void bodyConsumed(Attempt attempt) {
        // Ending it early would serve another attempt, which is no longer possible.
        endBy(attempt, attempt.exchange.deadline);
        enqueue(new BodyConsumed(attempt.exchange.id));
    }

    /** The last byte of a streamed request body has been read; {@code arrivedAt}: a time before which it did not arrive. */
    public void bodyReceived(Exchange x, long arrivedAt) {
        x.upload.lastByteRead();
        if (x.finished) {
            return;
        }
        long now = clock.now();
        x.arrivedAt = arrivedAt;
        setDeadline(x, deadline(x, arrivedAt, now));
        if (!x.bodyAvailable()) {
            x.attempts.stream().filter(attempt -> !attempt.ended).forEach(attempt -> endBy(attempt, x.deadline));
        }
        timers.runDue();
        admission.confirmEnd(x);
    }

    /** The last byte of a streamed request body is with the server, which may run the request from now on. */
    public void uploaded(Attempt attempt) {
        attempt.sentAt = clock.now();
    }

    /** When the time of a request is up whose caller waits since {@code since}, or since later, but no later than now. */
    private static long deadline(Exchange x, long since, long now) {
        return x.terms.callerTimeout() + Math.min(now, since + MAX_ANSWER_DELAY);
    }

    private void setDeadline(Exchange x, long deadline) {
        x.deadline = deadline;
        if (x.overdueTimer != null) {
            x.overdueTimer.cancel();
        }
        // Ends a request that the balancer left unanswered, for example after an exception.
        x.overdueTimer = timers.add(deadline + OVERDUE_MARGIN, () -> overdue(x));
    }

    private void endBy(Attempt attempt, long until) {
        stopTimer(attempt);
        attempt.until = until;
        attempt.timer = timers.add(until, () -> expire(attempt));
    }

    /**
     * Moves the deadline of a request whose body an attempt takes while it arrives. The caller's wait counts from its last byte, so the
     * request goes on for as long as the upload makes progress and the caller can't have written that byte too long ago.
     */
    private boolean extend(Attempt attempt) {
        Exchange x = attempt.exchange;
        if (!x.receivesBody() || x.bodyAvailable()) {
            return false;
        }
        long now = clock.now();
        long deadline = deadline(x, x.waitsSince(), now);
        if (deadline <= now) {
            return false;
        }
        setDeadline(x, deadline);
        endBy(attempt, deadline);
        return true;
    }

    /**
     * Starts streaming an attempt's answer to the caller: it becomes the request's final answer, and has no time-out. The
     * attempt still ends by {@link #ended}, without an answer. Null if nobody waits for it.
     */
    public AnswerSink beginAnswer(Attempt attempt, Metadata head, long length, AnswerSink.Source source) {
        Exchange x = attempt.exchange;
        if (attempt.ended || x.finished) {
            return null;
        }
        stopTimer(attempt);
        x.finished = true;
        x.streaming = attempt;
        x.source = source;
        x.overdueTimer.cancel();
        AnswerSink sink = x.caller.beginAnswer(head, length, source);
        enqueue(new FirstByte(x.id, attempt.number, attempt.server, clock.now() - attempt.sentAt));
        return sink;
    }

    public void clientGone(Exchange x) {
        if (x.streaming != null) {
            Attempt attempt = x.streaming;
            x.source.abandon();
            ended(attempt, Outcome.CANCELLED, null);
        } else if (finish(x)) {
            enqueue(new ClientGone(x.id));
            removeIfDone(x);
        }
    }

    /**
     * An attempt has ended. {@code answer} is the answer of an OK, or a server's own answer on its failure, which is kept
     * for the caller; null otherwise. The dispatcher takes ownership of it.
     */
    public void ended(Attempt attempt, Outcome outcome, Answer answer) {
        if (attempt.ended) {
            release(answer);
            return;
        }
        attempt.ended = true;
        attempt.outcome = outcome;
        attempt.neverRan = outcome.neverRan;
        attempt.carrier = null;
        stopTimer(attempt);
        Exchange x = attempt.exchange;
        x.pendingAttempts--;
        if (x.streaming == attempt) {
            x.streaming = null;
            unanswered--;
            count(x, outcome == Outcome.OK ? RequestCounts.RequestResult.SUCCESS : RequestCounts.RequestResult.FAILURE);
        } else if (outcome == Outcome.OK && finish(x)) {
            if (limit != null) {
                limit.answered(clock.now() - x.arrivedAt);
            }
            count(x, RequestCounts.RequestResult.SUCCESS);
            x.caller.served(answer);
        } else if (answer != null && !x.finished) {
            release(x.failure);
            x.failure = answer;
            answer = null;
        }
        release(answer);
        if (siteGate != null) {
            siteGate.ended(clock.now(), attempt.server, outcome, clock.now() - attempt.sentAt);
        }
        // Load reports are not passed on: the balancer does not use them.
        enqueue(new AttemptEnded(x.id, attempt.number, attempt.server, outcome, clock.now() - attempt.sentAt, x.finished,
            null));
        removeIfDone(x);
    }

    private static void release(Answer answer) {
        if (answer != null) {
            answer.body().release();
        }
    }

    public void membership(ListKind kind, List<ServerEntry> entries) {
        if (siteGate != null) {
            siteGate.listed(clock.now(), kind, entries);
        }
        enqueue(new Membership(kind, entries));
    }

    /** Whether an answer of the request has begun to arrive, which is passed on from now on and makes others unnecessary. */
    private boolean passOn(Exchange x) {
        if (x.finished) {
            return false;
        }
        for (Attempt attempt : x.attempts) {
            if (!attempt.ended && upstream.passOn(attempt)) {
                return true;
            }
        }
        return false;
    }

    private void overdue(Exchange x) {
        if (!x.finished && !passOn(x)) {
            Log.line("balancer left request " + x.id + " unanswered past its deadline; failing it");
            finish(x);
            count(x, RequestCounts.RequestResult.FAILURE);
            x.caller.failed(true, x.failure);
            enqueue(new ClientGone(x.id));
            removeIfDone(x);
        }
    }

    private void expire(Attempt attempt) {
        if (attempt.ended || extend(attempt) || passOn(attempt.exchange)) {
            return;
        }
        if (attempt.exchange.receivesBody() && !attempt.exchange.bodyAvailable()) {
            attempt.exchange.bodyStalled = true;
            logStalledBody(attempt);
        }
        // A request that was not written completely has never run, however long the wait was.
        boolean written = attempt.written();
        upstream.giveUp(attempt);
        ended(attempt, written ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED, null);
    }

    private void logStalledBody(Attempt attempt) {
        long now = clock.now();
        stalledBodies++;
        if (now - stalledBodyLoggedAt >= STALLED_BODY_LOG_INTERVAL) {
            stalledBodyLoggedAt = now;
            Log.line("server " + attempt.server + " did not take the body of request " + attempt.exchange.id + " in its caller's time; "
                + stalledBodies + " such requests since the last such line");
            stalledBodies = 0;
        }
    }

    // ---- the balancer ----

    /** Queues an event and processes the queue; the balancer is never called while its actions are being executed. */
    private void enqueue(Event event) {
        events.add(event);
        if (processing) {
            return;
        }
        processing = true;
        try {
            for (Event next = events.poll(); next != null; next = events.poll()) {
                process(next);
            }
        } finally {
            processing = false;
        }
        timers.runDue();
    }

    private void process(Event event) {
        try {
            for (Action action : balancer.handle(clock.now(), event)) {
                execute(action);
            }
        } catch (RuntimeException e) {
            // An exception in the balancer costs the current request, which its overdue timer ends, but not the process.
            Log.failure("balancer failed on event " + event.getClass().getSimpleName(), e);
        }
    }

    private void execute(Action action) {
        if (action instanceof Send send) {
            send(send);
        } else if (action instanceof SetTimer timer) {
            timers.add(clock.now() + timer.after(), () -> enqueue(new Timer(timer.token())));
        } else if (action instanceof Cancel cancel) {
            cancel(cancel);
        } else if (action instanceof Refuse refuse) {
            Exchange x = exchanges.get(refuse.request());
            if (x != null && !passOn(x) && finish(x)) {
                count(x, RequestCounts.RequestResult.BUSY);
                events().count(x.bodyStalled ? NodeEvent.REFUSED_BODY_STALLED : NodeEvent.REFUSED_BALANCER, x.id);
                Refusal refusal = x.refusal(clock.now(), refuse.retryAfter(), upstream.tellsKeys(x.head));
                x.caller.refused(refusal, refuse.retryAfter(), x.failure);
                removeIfDone(x);
            }
        } else if (action instanceof Fail fail) {
            Exchange x = exchanges.get(fail.request());
            if (x != null && !passOn(x) && finish(x)) {
                count(x, RequestCounts.RequestResult.FAILURE);
                x.caller.failed(clock.now() >= x.deadline, x.failure);
                removeIfDone(x);
            }
        } else if (action instanceof Subscribe) {
            onSubscribe.run();
        } else if (action instanceof Report report) {
            Log.line(report.text());
        }
    }

    private void send(Send send) {
        Exchange x = exchanges.get(send.request());
        if (x == null) {
            return;
        }
        long now = clock.now();
        passOn(x);
        long until = send.timeout() > 0 ? Math.min(x.deadline, now + send.timeout()) : x.deadline;
        Attempt attempt = new Attempt(x, x.attempts.size(), send.server(), now, until, counts);
        x.attempts.add(attempt);
        x.pendingAttempts++;
        if (x.finished || now >= until || attempt.number >= Math.min(limits.maxAttempts(), x.maxAttempts)) {
            events().count(x.finished ? NodeEvent.ATTEMPT_ANSWERED : NodeEvent.ATTEMPT_LIMIT, x.id);
            ended(attempt, Outcome.NOT_SENT, null);
            return;
        }
        endBy(attempt, until);
        admission.whenCurrent(attempt, () -> begin(attempt));
    }

    private void begin(Attempt attempt) {
        if (admission.mayBegin(attempt)) {
            Exchange x = attempt.exchange;
            if (attempt.number > 0) {
                events().count(NodeEvent.retryAfter(x.attempts.get(attempt.number - 1).outcome), x.id);
            }
            onceOnly.begins(x);
            upstream.send(attempt);
        }
    }

    private void cancel(Cancel cancel) {
        Exchange x = exchanges.get(cancel.request());
        if (x == null || cancel.attempt() < 0 || cancel.attempt() >= x.attempts.size()) {
            return;
        }
        Attempt attempt = x.attempts.get(cancel.attempt());
        if (!attempt.ended) {
            upstream.giveUp(attempt);
            ended(attempt, Outcome.CANCELLED, null);
        }
    }

    // ---- completion ----

    /** Marks the request as finished; false if it already was. */
    private boolean finish(Exchange x) {
        if (x.finished) {
            return false;
        }
        x.finished = true;
        x.overdueTimer.cancel();
        unanswered--;
        return true;
    }

    private void removeIfDone(Exchange x) {
        if (x.finished && x.pendingAttempts == 0 && exchanges.remove(x.id, x)) {
            onceOnly.ended(x);
            x.releaseBody();
            release(x.failure);
        }
    }

    private static void stopTimer(Attempt attempt) {
        if (attempt.timer != null) {
            attempt.timer.cancel();
            attempt.timer = null;
        }
    }
}
