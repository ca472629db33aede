package onyxpaddle.budget;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The attempt budgets of the requests at one node: what each request was given, what its attempts took along, and to which attempt the
 * further calls of an application belong. One instance per node. Tracks a bounded number of attempts, dropping the oldest. Times in
 * nanoseconds by the node's own clock.
 */
public final class BudgetTracker {
    /** Why a request is refused. */
    public enum Refusal { LOOP, BUDGET_EXHAUSTED }

    /**
     * Limits of a node.
     *
     * @param defaultAttempts attempts for a request that carries no budget
     * @param maxAttempts attempts that a request may carry
     * @param maxTracked attempts whose calls are tracked by name, those made here and those made by other nodes
     */
    public record Bounds(int defaultAttempts, int maxAttempts, int maxTracked) {
    }

    /** A request at this node, from its arrival to its end. */
    public final class TrackedRequest {
        private final BudgetHeader header;
        private final AttemptBudget budget;
        /** The share of the attempt that the request belongs to, where it is tracked here; null at the edge. */
        private final AttemptBudget.Share parentShare;
        private final long deadline;
        private boolean ended;

        private TrackedRequest(BudgetHeader header, AttemptBudget budget, AttemptBudget.Share parentShare, long deadline) {
            this.header = header;
            this.budget = budget;
            this.parentShare = parentShare;
            this.deadline = deadline;
        }

        public BudgetHeader header() {
            return header;
        }

        /** The attempts that may still be taken. */
        public int left() {
            return budget.left();
        }

        /** By this node's clock; the earlier of the request's own deadline and that of the attempt it belongs to. */
        public long deadline() {
            return deadline;
        }

        /** Takes the share of the next attempt; null where there is none. {@code innermost}: it leads to no further attempts. */
        public OutgoingAttempt attempt(boolean innermost) {
            AttemptBudget.Share share = ended ? null : budget.take(innermost);
            if (share == null) {
                return null;
            }
            String name = instance + "-" + Long.toString(attempts++, 36);
            OutgoingAttempt attempt = new OutgoingAttempt(name, share, this, header.forAttempt(node, name, share.size(), header.worth()));
            if (!innermost) {
                track(name, new ChildCalls(new AttemptBudget(share.size()), deadline));
            }
            return attempt;
        }

        /** Ends the request, answered or abandoned: no further attempts. Returns its total use, which the answer reports. */
        public int end() {
            if (!ended) {
                ended = true;
                loops.left(header);
                int used = budget.close();
                if (parentShare != null) {
                    parentShare.used(used);
                }
            }
            return budget.used() + budget.out();
        }
    }

    /** An attempt in progress and the header that it carries. It ends once; later calls have no effect. */
    public final class OutgoingAttempt {
        private final String name;
        private final AttemptBudget.Share share;
        private final TrackedRequest request;
        private final BudgetHeader header;

        private OutgoingAttempt(String name, AttemptBudget.Share share, TrackedRequest request, BudgetHeader header) {
            this.name = name;
            this.share = share;
            this.request = request;
            this.header = header;
        }

        /** The header to send with the attempt. */
        public BudgetHeader header() {
            return header;
        }

        /** Ends an attempt that was never sent: no server has seen it. */
        public void neverSent() {
            childCalls.remove(name);
            share.giveBack();
        }

        /** Ends the attempt; {@code reported}: the use that its answer reports, below 0 where it reports none or no answer came. */
        public void ended(int reported) {
            ChildCalls calls = childCalls.remove(name);
            if (calls != null && calls.seen) {
                // The application's calls passed through this node, so its own count is more reliable than the report.
                share.used(Math.max(calls.budget.close(), reported));
            } else if (reported >= 0) {
                share.used(reported);
            } else {
                share.spent();
            }
        }

        TrackedRequest request() {
            return request;
        }
    }

    /** The budget that calls draw from which name a certain attempt as their origin. */
    private static final class ChildCalls {
        private final AttemptBudget budget;
        private final long deadline;
        private boolean seen;

        private ChildCalls(AttemptBudget budget, long deadline) {
            this.budget = budget;
            this.deadline = deadline;
        }
    }

    private final String node;
    private final String instance;
    private final Bounds bounds;
    private final LoopDetector loops;
    private final Map<String, ChildCalls> childCalls = new LinkedHashMap<>();
    private final Map<Refusal, Long> refusals = new HashMap<>();
    private long attempts;
    private long requestIds;
    private String lastRefusal;

    /** {@code node}: its name in paths; {@code instance}: a name unique to this process, the prefix of attempt names. */
    public BudgetTracker(String node, String instance, Bounds bounds, LoopDetector loops) {
        this.node = node;
        this.instance = instance;
        this.bounds = bounds;
        this.loops = loops;
    }

    /**
     * A request arrives. Returns it with its budget, or null where it is refused: see {@link #refusal}.
     *
     * @param received the header that it carries, null for none; already capped where its sender is not trusted
     * @param worth of the request where the header does not say
     * @param deadline by its class and by what its sender gave
     * @param innermost it can only lead to innermost attempts, each of which takes 1
     */
    public TrackedRequest arrived(BudgetHeader received, double worth, long deadline, boolean innermost) {
        BudgetHeader header = received != null ? received : new BudgetHeader(instance + "." + Long.toString(requestIds++, 36), "",
            bounds.defaultAttempts(), worth, 0, java.util.List.of());
        lastRefusal = loops.entered(header);
        if (lastRefusal != null) {
            refusals.merge(Refusal.LOOP, 1L, Long::sum);
            return null;
        }
        int most = Math.min(header.attempts(), bounds.maxAttempts());
        if (header.from().isEmpty()) {
            return new TrackedRequest(header, new AttemptBudget(most), null, deadline);
        }
        ChildCalls calls = childCalls.get(header.from());
        if (calls == null && header.from().startsWith(instance + "-")) {
            // The attempt was made here and has ended, or was dropped: its share is settled and can't be spent again.
            return exhausted(header);
        }
        if (calls == null) {
            // Another node made the attempt: all its calls share the budget that the first of them carries.
            calls = new ChildCalls(new AttemptBudget(most), Long.MAX_VALUE);
            track(header.from(), calls);
        }
        calls.seen = true;
        AttemptBudget.Share share = calls.budget.take(innermost && calls.budget.left() < 2);
        if (share == null) {
            return exhausted(header);
        }
        return new TrackedRequest(header, new AttemptBudget(Math.min(share.size(), bounds.maxAttempts())), share,
            Math.min(deadline, calls.deadline));
    }

    private TrackedRequest exhausted(BudgetHeader header) {
        loops.left(header);
        lastRefusal = "the attempt budget of " + header.id() + " is exhausted";
        refusals.merge(Refusal.BUDGET_EXHAUSTED, 1L, Long::sum);
        return null;
    }

    /** Why the last request was refused, for display; null where it was not. */
    public String refusal() {
        return lastRefusal;
    }

    /** The number of requests refused for this reason. */
    public long refused(Refusal reason) {
        return refusals.getOrDefault(reason, 0L);
    }

    private void track(String name, ChildCalls calls) {
        if (childCalls.size() >= bounds.maxTracked()) {
            // Drops the oldest. Later calls of that attempt are refused if it was made here. If another node made it, they get
            // a new budget, so the bound should cover all attempts within the longest duration of a request.
            childCalls.remove(childCalls.keySet().iterator().next());
        }
        childCalls.put(name, calls);
    }

    /** The number of attempts whose calls are tracked. */
    int tracked() {
        return childCalls.size();
    }
}
