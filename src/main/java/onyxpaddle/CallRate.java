package onyxpaddle;

/**
 * How many of this node's calls a warm server carries in a second: served calls over warm servers, as a mean
 * that forgets over some ten seconds. Only served calls count, so the sum over all nodes is at most what a
 * server can do.
 *
 * <p>Guards against a fleet in which nobody is warm any more: what was carried before still tells what the
 * servers are for, where a count of today's calls sinks with each call that finds no server, until none come.
 */
final class CallRate {
    /** Time over which the mean is taken, in seconds; shorter at the start. */
    private static final double SPAN = 10;
    private static final double FIRST_SPAN = 0.5;
    /**
     * What one call leaves of the mean at the least. Guards against one gap, such as an outage of all warm
     * servers, that wipes out what they carried before; a node with less than a call in ten seconds reads
     * high.
     */
    private static final double LEAST_KEPT = 0.5;

    private double perSecond;
    private double span = FIRST_SPAN;
    private long at;

    /** {@code calls}: the part of a call that falls to each warm server. */
    void add(long now, double calls) {
        double gap = at == 0 ? 0 : Math.max(0, now - at) / 1e9;
        at = now;
        span = Math.min(SPAN, span + gap);
        perSecond = perSecond * Math.max(LEAST_KEPT, 1 - gap / span) + calls / span;
    }

    double perSecond() {
        return perSecond;
    }
}
