package onyxpaddle.bgp;

import java.util.Comparator;
import java.util.List;

/**
 * Whether a pool can really serve, by what the node itself sees of it; it sends no probes, does no I/O and is handed the
 * time. An idle pool is not a sick one: without enough requests in the window only its servers speak for it.
 *
 * <p>Guards against announcing a service that refuses or fails what comes, and against changing one's word with every
 * burst: it goes down at once where no request could be served, and otherwise only by what a window shows, with a margin
 * between going and coming back and a least time in each state. It does harm where a service fails less than
 * {@code degradedBelow} of its requests for good reasons of its own: that share is to be set lower there.
 */
public final class ServiceHealth {
    /** From best to worst. */
    public enum Status { UP, DEGRADED, DOWN }

    /** What is known of a pool, and since when it is so. */
    public record Verdict(Status status, String reason, long since) {
    }

    /**
     * What the node sees at one moment. Counts are of the process and only grow.
     *
     * @param ready whether requests can be served at all
     * @param listed servers on the list, {@code sound} those that are not avoided
     * @param lag how late the node's own loop is, in nanoseconds
     */
    public record Observation(boolean ready, int listed, int sound, long served, long refused, long failed, long lag) {
    }

    /**
     * When it changes. Spans in nanoseconds, shares from 0 to 1.
     *
     * @param degradedBelow the share served under which a pool is degraded, {@code downBelow} under which it is down
     * @param margin by how much the share must be over a bound before the pool is better again
     * @param minRequests requests in the window for the share to say anything
     * @param window over which the share is taken
     * @param dwell the least time in a state before a better one
     * @param maxLoopLag of the loop, over which the node is degraded
     */
    public record Settings(double degradedBelow, double downBelow, double margin, int minRequests, long window, long dwell, long maxLoopLag) {
        private static final long SECOND = 1_000_000_000L;
        public static final Settings USUAL = new Settings(0.9, 0.3, 0.05, 20, 10 * SECOND, 5 * SECOND, SECOND / 2);
    }

    /** What several pools make of an address that needs all of them, or any. */
    public static Verdict combine(List<Verdict> pools, boolean any) {
        Comparator<Verdict> order = Comparator.comparing(Verdict::status);
        return pools.stream().min(any ? order : order.reversed()).orElse(new Verdict(Status.DOWN, "no pool", 0));
    }

    private static final int PARTS = 10;

    private final Settings terms;
    /** Counts at the start of each of the last parts of the window, the oldest at {@code next}. */
    private final long[] served = new long[PARTS];
    private final long[] other = new long[PARTS];
    private int next;
    private int filled;
    private long partSince;
    private Verdict verdict;

    /** It begins down: nothing is announced before a service is seen to be there. */
    public ServiceHealth(Settings terms, long now) {
        this.terms = terms;
        partSince = now;
        verdict = new Verdict(Status.DOWN, "not seen yet", now - terms.dwell());
    }

    public Verdict verdict() {
        return verdict;
    }

    /** Takes what is seen now, some times a second, and says what that makes of the pool. */
    public Verdict observe(Observation seen, long now) {
        double share = share(seen, now);
        String reason;
        Status by;
        if (!seen.ready()) {
            by = Status.DOWN;
            reason = "not ready to serve";
        } else if (seen.sound() == 0) {
            by = Status.DOWN;
            reason = seen.listed() == 0 ? "no server is listed" : "none of " + seen.listed() + " servers is sound";
        } else {
            by = byShare(share);
            reason = "serves " + Math.round(100 * share) + " in 100 requests";
            if (by == Status.UP && seen.lag() > terms.maxLoopLag()) {
                by = Status.DEGRADED;
                reason = "the node itself is " + seen.lag() / 1_000_000L + " ms behind";
            } else if (Double.isNaN(share)) {
                reason = seen.sound() + " of " + seen.listed() + " servers are sound";
            }
        }
        boolean better = by.compareTo(verdict.status()) < 0;
        if (by != verdict.status() && (!better || now - verdict.since() >= terms.dwell())) {
            verdict = new Verdict(by, reason, now);
        } else if (by == verdict.status() && by != Status.UP) {
            verdict = new Verdict(by, reason, verdict.since());
        }
        return verdict;
    }

    /** What the share says, with the margin on the way back. */
    private Status byShare(double share) {
        if (Double.isNaN(share)) {
            return Status.UP;
        }
        double down = terms.downBelow() + (verdict.status() == Status.DOWN ? terms.margin() : 0);
        double degraded = terms.degradedBelow() + (verdict.status() == Status.UP ? 0 : terms.margin());
        return share < down ? Status.DOWN : share < Math.min(1, degraded) ? Status.DEGRADED : Status.UP;
    }

    /** The share served over the window; NaN where too little was asked to say. */
    private double share(Observation seen, long now) {
        long span = terms.window() / PARTS;
        if (filled == 0) {
            remember(seen);
            partSince = now;
        }
        // One that was not asked for longer than a window knows nothing of it.
        int steps = (int) Math.min(PARTS, (now - partSince) / span);
        for (int i = 0; i < steps; i++) {
            remember(seen);
            partSince += span;
        }
        if (now - partSince >= span) {
            partSince = now;
        }
        int oldest = filled < PARTS ? 0 : next;
        long good = seen.served() - served[oldest];
        long all = good + seen.refused() + seen.failed() - other[oldest];
        return all < terms.minRequests() ? Double.NaN : (double) good / all;
    }

    private void remember(Observation seen) {
        served[next] = seen.served();
        other[next] = seen.refused() + seen.failed();
        next = (next + 1) % PARTS;
        filled = Math.min(PARTS, filled + 1);
    }
}
