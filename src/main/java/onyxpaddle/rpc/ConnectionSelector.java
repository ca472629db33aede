package onyxpaddle.rpc;

import java.util.List;

/**
 * Selects the connection that carries the next call to a server: the one with the fewest calls among those that are
 * neither stalled nor full, or a new connection if there is none and the limit allows it. Otherwise there is none,
 * and the call never ran.
 *
 * <p>A connection is stalled if a call has waited for several times the mean response time of the server and no bytes
 * have arrived meanwhile, or if its socket accepts no more bytes. This prevents head-of-line blocking, where calls
 * queue behind one that blocks, and covers any connection on which the server has stopped. It is a disadvantage with
 * servers that reply in bursts with long pauses in between: they get more connections than they need, up to the
 * limit.
 */
final class ConnectionSelector {
    static final int DIAL = -1;
    static final int NONE = -2;
    /** A shorter pause never counts as a stall. */
    private static final long MIN_STALL_TIMEOUT = 250_000_000L;
    /** The multiple of the mean response time after which a silent connection counts as stalled. */
    private static final double STALL_MULTIPLE = 4;
    /** Assumed until the first call has been answered. */
    private static final long INITIAL_RESPONSE_TIME = 250_000_000L;
    /** Weight of a new sample in the moving average of response times. */
    private static final double SMOOTHING_FACTOR = 0.1;
    /** Number of calls on a connection from which on another connection is opened if the limit allows it. */
    private static final int MAX_CALLS_BEFORE_DIAL = 16;

    /** The calls in flight on a connection, whether it can take another one, and whether it is stalled. */
    record ConnectionState(int inFlight, boolean hasCapacity, boolean stalled) {
    }

    private final int maxConnections;
    private double meanResponseTime;

    ConnectionSelector(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Adds the response time of a call, in nanoseconds, to the moving average. */
    void recordResponseTime(long elapsed) {
        meanResponseTime += meanResponseTime == 0 ? elapsed : SMOOTHING_FACTOR * (elapsed - meanResponseTime);
    }

    /** How long a connection with a waiting call may stay silent before it counts as stalled, in nanoseconds. */
    long stallTimeout() {
        return Math.max(MIN_STALL_TIMEOUT, (long) (STALL_MULTIPLE * (meanResponseTime == 0 ? INITIAL_RESPONSE_TIME : meanResponseTime)));
    }

    /**
     * Whether a connection is stalled, with times in nanoseconds.
     *
     * @param oldestCall when the longest waiting call was sent; {@link Long#MAX_VALUE} if none waits
     * @param lastRead when bytes last arrived
     */
    boolean isStalled(long oldestCall, long lastRead, long now) {
        return oldestCall != Long.MAX_VALUE && now - Math.max(oldestCall, lastRead) > stallTimeout();
    }

    /** The index of the connection to use, {@link #DIAL} or {@link #NONE}. */
    int select(List<ConnectionState> open) {
        int best = NONE;
        for (int i = 0; i < open.size(); i++) {
            ConnectionState candidate = open.get(i);
            if (candidate.hasCapacity() && !candidate.stalled() && (best < 0 || candidate.inFlight() < open.get(best).inFlight())) {
                best = i;
            }
        }
        boolean mayDial = open.size() < maxConnections;
        if (mayDial && (best < 0 || open.get(best).inFlight() >= MAX_CALLS_BEFORE_DIAL)) {
            return DIAL;
        }
        return best;
    }
}
