package onyxpaddle;

/**
 * Rate of this node's calls for each server: an exponentially weighted mean over some ten seconds. For the
 * calls that a warm server serves, the sum over all nodes is at most what a server can do, as only served
 * calls count.
 *
 * <p>Guards against a fleet without a warm server: the rate served before still tells the servers' capacity,
 * while a rate of present calls falls with each call that finds no server, until none are sent.
 */
final class CallRate {
    /** Window of the mean in seconds; a new node starts with the shorter one. */
    private static final double WINDOW = 10;
    private static final double FIRST_WINDOW = 0.5;
    /**
     * Smallest part of the mean that remains after a call. Guards against one gap, such as an outage of all
     * warm servers, that erases the rate served before; a node with less than one call in ten seconds
     * overestimates its rate.
     */
    private static final double MIN_RETAINED = 0.5;

    private double perSecond;
    private double window = FIRST_WINDOW;
    private long updatedAt;

    /** {@code calls}: the fraction of a call that counts for each server. */
    void add(long now, double calls) {
        double gap = updatedAt == 0 ? 0 : Math.max(0, now - updatedAt) / 1e9;
        updatedAt = now;
        window = Math.min(WINDOW, window + gap);
        perSecond = perSecond * Math.max(MIN_RETAINED, 1 - gap / window) + calls / window;
    }

    double perSecond() {
        return perSecond;
    }
}
