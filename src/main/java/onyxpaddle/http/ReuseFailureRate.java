package onyxpaddle.http;

/**
 * Moving average of how often a reused connection breaks under its next request, over the node's recent reuses. A request on
 * a connection that its server, or a device on the path, is just closing may have run and cannot be retried. While the rate is
 * high, requests that must not run twice therefore get new connections. This covers servers that close idle connections earlier
 * than they announce, and middleboxes that drop them. New connections cost the servers work, so this would be harmful if reused
 * ones rarely broke and servers were near their limit. Repeatable requests continue to reuse connections, so the rate recovers
 * by itself.
 */
final class ReuseFailureRate {
    private static final double SMOOTHING = 1.0 / 32;
    /** A new handshake costs a small part of a call's work, a failed booking all of it. */
    private static final double HIGH = 0.02;
    /** A connection that breaks this soon after the request was stale; a later break is attributed to the server. */
    static final long STALE_WINDOW_NANOS = 50_000_000L;

    private double rate;

    void update(boolean broke) {
        rate += SMOOTHING * ((broke ? 1 : 0) - rate);
    }

    boolean isHigh() {
        return rate > HIGH;
    }
}
