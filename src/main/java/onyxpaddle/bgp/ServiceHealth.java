package onyxpaddle.bgp;

import java.util.Comparator;
import java.util.List;

/**
 * Determines the health of a pool from what this node observes; it sends no probes, does no I/O and is passed the time. With too
 * few requests in the window, only the state of the pool's servers counts, so an idle pool is healthy.
 *
 * <p>Prevents announcing a service that refuses or fails its requests, and flapping with each burst: the pool goes down at once
 * when no request could be served, and otherwise changes only on the share of requests served over a window, with hysteresis and
 * a minimum time in each state. If a service legitimately serves less than {@code degradedBelow} of its requests, that threshold
 * must be lowered for it.
 */
public final class ServiceHealth {
    /** From best to worst. */
    public enum Status { UP, DEGRADED, DOWN }

    /** Health of a pool, the reason, and the time of the last change. */
    public record Verdict(Status status, String reason, long since) {
    }

    /**
     * What the node observes at one point in time. Counters are cumulative over the life of the process.
     *
     * @param ready whether requests can be served at all
     * @param listed number of servers on the list; {@code available}: those that are not avoided
     * @param loopLag delay of the node's event loop, in nanoseconds
     */
    public record Observation(boolean ready, int listed, int available, long served, long refused, long failed, long loopLag) {
    }

    /**
     * Thresholds. Durations are in nanoseconds, shares from 0 to 1.
     *
     * @param degradedBelow share of requests served below which the pool is degraded; {@code downBelow}: below which it is down
     * @param margin how far the share must exceed a threshold before the status improves
     * @param minRequests number of requests in the window below which the share is not evaluated
     * @param window duration over which the share is computed
     * @param dwell minimum time in a status before it improves
     * @param maxLoopLag event loop lag above which the node is degraded
     */
    public record Settings(double degradedBelow, double downBelow, double margin, int minRequests, long window, long dwell,
            long maxLoopLag) {
        private static final long SECOND = 1_000_000_000L;
        public static final Settings USUAL = new Settings(0.9, 0.3, 0.05, 20, 10 * SECOND, 5 * SECOND, SECOND / 2);
    }

    /** Combines the verdicts of several pools for an address that needs any one of them, or all. */
    public static Verdict combine(List<Verdict> pools, boolean any) {
        Comparator<Verdict> order = Comparator.comparing(Verdict::status);
        return pools.stream().min(any ? order : order.reversed()).orElse(new Verdict(Status.DOWN, "no pool", 0));
    }

    private static final int SLOTS = 10;

    private final Settings settings;
    /** Counters at the start of each of the last slots of the window, the oldest at {@code next}. */
    private final long[] served = new long[SLOTS];
    private final long[] unserved = new long[SLOTS];
    private int next;
    private int filled;
    private long slotStart;
    private Verdict verdict;

    /** Starts as down: nothing is announced before the service has been observed. */
    public ServiceHealth(Settings settings, long now) {
        this.settings = settings;
        slotStart = now;
        verdict = new Verdict(Status.DOWN, "not observed yet", now - settings.dwell());
    }

    public Verdict verdict() {
        return verdict;
    }

    /** Evaluates an observation; called several times per second. */
    public Verdict observe(Observation observation, long now) {
        double share = share(observation, now);
        String reason;
        Status observed;
        if (!observation.ready()) {
            observed = Status.DOWN;
            reason = "not ready to serve";
        } else if (observation.available() == 0) {
            observed = Status.DOWN;
            reason = observation.listed() == 0 ? "no servers listed" : "none of " + observation.listed() + " servers is available";
        } else {
            observed = byShare(share);
            reason = "serves " + Math.round(100 * share) + "% of requests";
            if (observed == Status.UP && observation.loopLag() > settings.maxLoopLag()) {
                observed = Status.DEGRADED;
                reason = "the event loop of this node is " + observation.loopLag() / 1_000_000L + " ms late";
            } else if (Double.isNaN(share)) {
                reason = observation.available() + " of " + observation.listed() + " servers are available";
            }
        }
        boolean improved = observed.compareTo(verdict.status()) < 0;
        if (observed != verdict.status() && (!improved || now - verdict.since() >= settings.dwell())) {
            verdict = new Verdict(observed, reason, now);
        } else if (observed == verdict.status() && observed != Status.UP) {
            verdict = new Verdict(observed, reason, verdict.since());
        }
        return verdict;
    }

    /** Status by share, with the margin added to thresholds on the way back up. */
    private Status byShare(double share) {
        if (Double.isNaN(share)) {
            return Status.UP;
        }
        double down = settings.downBelow() + (verdict.status() == Status.DOWN ? settings.margin() : 0);
        double degraded = settings.degradedBelow() + (verdict.status() == Status.UP ? 0 : settings.margin());
        return share < down ? Status.DOWN : share < Math.min(1, degraded) ? Status.DEGRADED : Status.UP;
    }

    /** Share of requests served over the window; NaN if there were too few requests. */
    private double share(Observation observation, long now) {
        long span = settings.window() / SLOTS;
        if (filled == 0) {
            recordSlot(observation);
            slotStart = now;
        }
        // After a gap longer than the window, all older counts are discarded.
        int steps = (int) Math.min(SLOTS, (now - slotStart) / span);
        for (int i = 0; i < steps; i++) {
            recordSlot(observation);
            slotStart += span;
        }
        if (now - slotStart >= span) {
            slotStart = now;
        }
        int oldest = filled < SLOTS ? 0 : next;
        long servedInWindow = observation.served() - served[oldest];
        long total = servedInWindow + observation.refused() + observation.failed() - unserved[oldest];
        return total < settings.minRequests() ? Double.NaN : (double) servedInWindow / total;
    }

    private void recordSlot(Observation observation) {
        served[next] = observation.served();
        unserved[next] = observation.refused() + observation.failed();
        next = (next + 1) % SLOTS;
        filled = Math.min(SLOTS, filled + 1);
    }
}
