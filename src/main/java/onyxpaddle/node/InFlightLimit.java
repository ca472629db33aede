package onyxpaddle.node;

/**
 * Bounds the concurrent requests of a pool to what its application is configured to bear. Requests beyond the limit are
 * refused at once, with a time to retry, rather than queued. The last tenth is kept for the classes with the highest worth.
 * A limit below what the application bears refuses requests without need.
 */
public final class InFlightLimit {
    /** The part of the limit that is open to all classes. */
    private static final double SHARED_PART = 0.9;
    /** Weight of a new sample in the moving average of the latency. */
    private static final double SMOOTHING = 0.1;

    private final int limit;
    private final int sharedLimit;
    private final double highestWorth;
    private double meanLatency;

    /** {@code limit}: concurrent requests; {@code highestWorth}: among the classes routed to the pool. */
    public InFlightLimit(int limit, double highestWorth) {
        this.limit = limit;
        this.sharedLimit = Math.max(1, (int) (SHARED_PART * limit));
        this.highestWorth = highestWorth;
    }

    public boolean admits(int inFlight, double worth) {
        return inFlight < (worth >= highestWorth ? limit : sharedLimit);
    }

    /** Records the latency of an answer, in nanoseconds. */
    public void answered(long latency) {
        meanLatency += meanLatency == 0 ? latency : SMOOTHING * (latency - meanLatency);
    }

    /** When a refused request may be retried, in nanoseconds from now: by then some requests in flight have their answers. */
    public long retryAfter() {
        return Math.max(10_000_000L, (long) meanLatency);
    }
}
