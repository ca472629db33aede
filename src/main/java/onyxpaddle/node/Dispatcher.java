package onyxpaddle.node;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import onyxpaddle.BalancerApi.*;
import onyxpaddle.RatioBalancer;
import onyxpaddle.node.Exchange.Terms;

/**
 * Stands between callers, servers and the module: turns what happens into the module's events, one at a time, and
 * carries out its actions in their order. It owns requests and attempts and sees to it that each attempt ends
 * once and each request has one answer; whom to send to, and when to stop, is the module's alone.
 */
public final class Dispatcher {
    /** How long after its deadline a request that the module left unanswered is failed. */
    private static final long GUARD = 8_000_000L;
    /** An answer is lost half a second after its time; two fifths of that are kept for its way out. */
    private static final long ALLOWED = 300_000_000L;
    /**
     * What came to the sockets within so long may not have been seen yet. A caller that has gone is owed that nothing beginAnswer for it from
     * 0.1 s on; half of that is left for the way of the attempt to its server.
     */
    private static final long UNSEEN = 50_000_000L;
    /** How long a body that is passed on as it comes may take; its caller's front is stricter, by its pace. */
    private static final long LONGEST_UPLOAD = 900_000_000_000L;

    private final Clock clock;
    private final ScheduledExecutorService loop;
    private final RatioBalancer module;
    private final Limits limits;
    private final Map<String, Exchange> exchanges = new HashMap<>();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    /** Null where the pool takes all that comes. */
    private final InFlightLimit limit;
    private final RequestCounts tally;
    /** Null where nothing is refused before the module is asked. */
    private SiteGate gate;
    private Upstream upstream;
    private Runnable onSubscribe = () -> { };
    private final TimerQueue agenda = new TimerQueue();
    private long wakesAt = Long.MAX_VALUE;
    private boolean busyWithDue;
    private boolean delivering;
    private int unanswered;
    /** Of this pool, by {@link RequestCounts.RequestResult}; the tally has them by class. */
    private final long[] ends = new long[RequestCounts.RequestResult.values().length];

    /** {@code loop}: the one thread on which everything here happens. */
    public Dispatcher(Clock clock, ScheduledExecutorService loop, RatioBalancer module, Limits limits, RequestCounts tally) {
        this(clock, loop, module, limits, tally, null);
    }

    /** As the other, with a bound on requests at once. */
    public Dispatcher(Clock clock, ScheduledExecutorService loop, RatioBalancer module, Limits limits, RequestCounts tally,
            InFlightLimit limit) {
        this.clock = clock;
        this.loop = loop;
        this.module = module;
        this.limits = limits;
        this.limit = limit;
        this.tally = tally;
    }

    public void connect(Upstream servers, Runnable subscribe) {
        upstream = servers;
        onSubscribe = subscribe;
    }

    /** Asks this gate before the module, from now on. */
    public void guard(SiteGate by) {
        gate = by;
    }

    /** How sites stand with this pool; null where nothing is known of sites. */
    public List<SiteGate.Site> sites() {
        return gate == null ? null : gate.siteStatuses(clock.now());
    }

    /** Operators hold a site, so that nothing new goes there, or release it; false where that can't be. */
    public boolean setSiteHold(String site, boolean hold) {
        if (gate == null || !gate.operators(clock.now(), site, hold)) {
            return false;
        }
        tell(new ZoneShares(gate.shares()));
        return true;
    }

    /** Whether nothing is out any more, answered or not. */
    public boolean idle() {
        return exchanges.isEmpty();
    }

    public boolean hasRequest(String id) {
        return exchanges.containsKey(id);
    }

    // ---- figures ----

    /** Requests that are taken and have no final answer yet. */
    public int unanswered() {
        return unanswered;
    }

    /** How many requests of this pool have ended so. */
    public long ended(RequestCounts.RequestResult how) {
        return ends[how.ordinal()];
    }

    /** The servers on the list, and those of them that the module avoids now. */
    public FleetSummary fleet() {
        return module.fleet(clock.now());
    }

    /** How each server on the list stands. */
    public List<ServerStatus> serverStatuses() {
        return module.serverStatuses(clock.now());
    }

    /** What the process that takes this one's place need not learn anew. */
    public BalancerSnapshot snapshot() {
        return module.snapshot(clock.now());
    }

    /** Goes on from what the process before this one has learnt. */
    public void restore(BalancerSnapshot snapshot) {
        module.restore(snapshot);
    }

    /** An operator takes a server out, or puts it back; false where neither the list nor what is out has it. */
    public boolean takeOut(String server, boolean out) {
        if (!module.lists(server) && !module.isTakenOut(server)) {
            return false;
        }
        tell(new TakenOut(server, out));
        return true;
    }

    /** A front answered a request of this pool before it was taken. */
    public void countResult(Terms terms, RequestCounts.RequestResult how) {
        ends[how.ordinal()]++;
        tally.ended(terms.requestClass().name(), how);
    }

    private void count(Exchange x, RequestCounts.RequestResult how) {
        countResult(x.terms, how);
    }

    // ---- what happens ----

    /**
     * A request's last byte has been read: it is taken, and its time counts from here as long as the node is not far behind. Counted
     * from {@code came}, when that byte came at the earliest, its answer is no later than {@link #ALLOWED}. Guards against a
     * node short of processor time, which would give each request its whole time from when it got to it, and its caller an
     * answer long after it has left; what has no time left is refused unsent. It would do harm where a long turn of the loop is
     * taken for a long wait: a caller's last moments are then lost.
     */
    public void arrived(Exchange x, long came) {
        doWhatIsDue();
        long now = clock.now();
        Terms terms = x.terms;
        long ends = terms.callerTimeout() + Math.min(now, came + ALLOWED);
        if (ends <= now) {
            x.over = true;
            x.body.release();
            countResult(terms, RequestCounts.RequestResult.BUSY);
            x.caller.refused(0, null);
            return;
        }
        if (limit != null && !limit.admits(unanswered, terms.requestClass().worth())) {
            x.over = true;
            x.body.release();
            countResult(terms, RequestCounts.RequestResult.BUSY);
            x.caller.refused(limit.retryAfter(), null);
            return;
        }
        long away = gate == null ? SiteGate.ADMITTED : gate.refuses(now, terms.requestClass().name());
        if (away != SiteGate.ADMITTED) {
            x.over = true;
            x.body.release();
            countResult(terms, RequestCounts.RequestResult.BUSY);
            x.caller.refused(away, null);
            return;
        }
        x.came = came;
        x.deadline = ends + (x.upload == null ? 0 : LONGEST_UPLOAD);
        exchanges.put(x.id, x);
        unanswered++;
        // Guards against a request that the module forgot, or lost to a fault of its own.
        x.guard = agenda.add(x.deadline + GUARD, () -> overdue(x));
        tell(new Arrival(x.id, terms.requestClass().name(), x.deadline, terms.tenant(), terms.cost(),
            terms.clientRetry()));
    }

    /** The last byte of a body that was passed on as it came is with the server: the request's time counts from here. */
    public void uploaded(Attempt attempt) {
        Exchange x = attempt.exchange;
        if (x.over || attempt.ended) {
            return;
        }
        long now = clock.now();
        x.came = now;
        x.deadline = now + x.terms.callerTimeout();
        x.guard.cancel();
        x.guard = agenda.add(x.deadline + GUARD, () -> overdue(x));
        attempt.sentAt = now;
        attempt.until = x.deadline;
        stopTimer(attempt);
        attempt.timer = agenda.add(x.deadline, () -> expire(attempt));
        doWhatIsDue();
    }

    /**
     * An attempt's answer beginAnswer and is passed on as it comes: it is the request's final one from here on, and has no
     * time-out. The attempt still ends by {@link #ended}, without an answer. Null where nobody waits for it.
     */
    public AnswerSink beginAnswer(Attempt attempt, Metadata head, long length, AnswerSink.Source source) {
        Exchange x = attempt.exchange;
        if (attempt.ended || x.over) {
            return null;
        }
        stopTimer(attempt);
        x.over = true;
        x.passing = attempt;
        x.source = source;
        x.guard.cancel();
        AnswerSink sink = x.caller.beginAnswer(head, length, source);
        tell(new FirstByte(x.id, attempt.number, attempt.server, clock.now() - attempt.sentAt));
        return sink;
    }

    public void clientGone(Exchange x) {
        if (x.passing != null) {
            Attempt attempt = x.passing;
            x.source.abandon();
            ended(attempt, Outcome.CANCELLED, null);
        } else if (finish(x)) {
            tell(new ClientGone(x.id));
            forget(x);
        }
    }

    /**
     * The end of an attempt. {@code answer} is what an OK has brought, or a server's own word for its failure, which
     * is kept for the caller; null otherwise. It is the dispatcher's from here on.
     */
    public void ended(Attempt attempt, Outcome outcome, Answer answer) {
        if (attempt.ended) {
            release(answer);
            return;
        }
        attempt.ended = true;
        attempt.neverRan = outcome.neverRan;
        attempt.carrier = null;
        stopTimer(attempt);
        Exchange x = attempt.exchange;
        x.out--;
        if (x.passing == attempt) {
            x.passing = null;
            unanswered--;
            count(x, outcome == Outcome.OK ? RequestCounts.RequestResult.SUCCESS : RequestCounts.RequestResult.FAILURE);
        } else if (outcome == Outcome.OK && finish(x)) {
            if (limit != null) {
                limit.answered(clock.now() - x.came);
            }
            count(x, RequestCounts.RequestResult.SUCCESS);
            x.caller.served(answer);
        } else if (answer != null && !x.over) {
            release(x.failure);
            x.failure = answer;
            answer = null;
        }
        release(answer);
        if (gate != null) {
            gate.ended(clock.now(), attempt.server, outcome, clock.now() - attempt.sentAt);
        }
        // What is held of a body that has gone on in part is not the request any more.
        Outcome how = outcome.neverRan && x.upload != null && x.upload.begun() ? Outcome.NOT_REPLAYABLE : outcome;
        // Load reports are not passed on: the module takes no account of them.
        tell(new AttemptEnded(x.id, attempt.number, attempt.server, how, clock.now() - attempt.sentAt, x.over,
            null));
        forget(x);
    }

    private static void release(Answer answer) {
        if (answer != null) {
            answer.body().release();
        }
    }

    public void membership(ListKind kind, List<ServerEntry> entries) {
        if (gate != null) {
            gate.listed(clock.now(), kind, entries);
        }
        tell(new Membership(kind, entries));
    }

    private void overdue(Exchange x) {
        if (!x.over) {
            Log.line("request " + x.id + " was left unanswered until its deadline");
            finish(x);
            count(x, RequestCounts.RequestResult.FAILURE);
            x.caller.failed(true, x.failure);
            tell(new ClientGone(x.id));
            forget(x);
        }
    }

    private void expire(Attempt attempt) {
        if (!attempt.ended) {
            // What was not written whole has never run, however long the wait was.
            boolean written = attempt.written();
            upstream.giveUp(attempt);
            ended(attempt, written ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED, null);
        }
    }

    // ---- the module ----

    /** Queues an event; the module is never called from within its own actions. */
    private void tell(Event event) {
        events.add(event);
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (Event next = events.poll(); next != null; next = events.poll()) {
                deliver(next);
            }
        } finally {
            delivering = false;
        }
        doWhatIsDue();
    }

    // ---- what is due ----

    /** Does what is due now: after each thing that happens, and when the loop's own timer wakes it. */
    private void doWhatIsDue() {
        if (busyWithDue) {
            return;
        }
        busyWithDue = true;
        try {
            for (TimerQueue.Item item = agenda.due(clock.now()); item != null; item = agenda.due(clock.now())) {
                try {
                    item.run();
                } catch (RuntimeException e) {
                    // It may stand within another request's arrival, which has no part in it.
                    Log.failure("what was due failed", e);
                }
            }
        } finally {
            busyWithDue = false;
        }
        long next = agenda.next();
        if (next < wakesAt) {
            wakesAt = next;
            loop.schedule(() -> woken(next), next - clock.now(), TimeUnit.NANOSECONDS);
        }
    }

    private void woken(long plannedFor) {
        if (wakesAt == plannedFor) {
            wakesAt = Long.MAX_VALUE;
        }
        doWhatIsDue();
    }

    private void deliver(Event event) {
        try {
            for (Action action : module.handle(clock.now(), event)) {
                carryOut(action);
            }
        } catch (RuntimeException e) {
            // A fault in the module costs the request at hand, which its guard ends, and never the process.
            Log.failure("the module failed on " + event.getClass().getSimpleName(), e);
        }
    }

    private void carryOut(Action action) {
        if (action instanceof Send send) {
            send(send);
        } else if (action instanceof SetTimer timer) {
            agenda.add(clock.now() + timer.after(), () -> tell(new Timer(timer.token())));
        } else if (action instanceof Cancel cancel) {
            cancel(cancel);
        } else if (action instanceof Refuse refuse) {
            Exchange x = exchanges.get(refuse.request());
            if (x != null && finish(x)) {
                count(x, RequestCounts.RequestResult.BUSY);
                x.caller.refused(refuse.retryAfter(), x.failure);
                forget(x);
            }
        } else if (action instanceof Fail fail) {
            Exchange x = exchanges.get(fail.request());
            if (x != null && finish(x)) {
                count(x, RequestCounts.RequestResult.FAILURE);
                x.caller.failed(clock.now() >= x.deadline, x.failure);
                forget(x);
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
        long until = send.timeout() > 0 ? Math.min(x.deadline, now + send.timeout()) : x.deadline;
        Attempt attempt = new Attempt(x, x.attempts.size(), send.server(), now, until, tally);
        x.attempts.add(attempt);
        x.out++;
        if (x.over || now >= until || attempt.number >= Math.min(limits.maxAttempts(), x.mostAttempts)) {
            ended(attempt, Outcome.NOT_SENT, null);
            return;
        }
        if (mayBegin(attempt)) {
            attempt.timer = agenda.add(until, () -> expire(attempt));
            upstream.send(attempt);
        }
    }

    /**
     * Whether an attempt may begin: asked as it is sent, and again by what carries it right before its first byte is written, as a dial
     * or a queue takes time. Where it may not it has ended, unsent.
     *
     * <p>Guards against attempts for nobody: the caller's close lies in its socket while a timer, a time-out or another's answer
     * starts the next attempt, or a dial comes up after the answer is given; and against a keyed request that is repeated after
     * its servers have forgotten the key, where the time to repeat it ran out on the way. It does harm where a caller ends its
     * sending alone and waits, as that counts as a close.
     */
    public boolean mayBegin(Attempt attempt) {
        if (attempt.ended) {
            return false;
        }
        Exchange x = attempt.exchange;
        long now = clock.now();
        if (!x.over && x.caller.left(now - clock.earliestArrival() > UNSEEN)) {
            clientGone(x);
        }
        if (!attempt.ended && (x.over || x.keyForgotten(attempt, now))) {
            ended(attempt, Outcome.NOT_SENT, null);
        }
        return !attempt.ended;
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

    // ---- ends ----

    /** Marks the request as answered; false if it was before. */
    private boolean finish(Exchange x) {
        if (x.over) {
            return false;
        }
        x.over = true;
        x.guard.cancel();
        unanswered--;
        return true;
    }

    private void forget(Exchange x) {
        if (x.over && x.out == 0 && exchanges.remove(x.id, x)) {
            x.body.release();
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
