package onyxpaddle.distribution;

/**
 * Tracks the highest epoch that a control process has seen, including its own. A publisher that has seen a higher epoch than
 * its own is fenced permanently. Not thread-safe.
 */
public final class PublisherFence {
    private final long ownEpoch;
    private long highestEpoch;

    /**
     * @param ownEpoch a publisher's epoch; 0 for a replica, which has none and is never fenced
     * @param highestSeen the highest epoch stored on disk; 0 for none
     */
    public PublisherFence(long ownEpoch, long highestSeen) {
        this.ownEpoch = ownEpoch;
        this.highestEpoch = Math.max(ownEpoch, highestSeen);
    }

    /**
     * Records an epoch.
     *
     * @return whether it is higher than all seen before and so must be stored on disk
     */
    public boolean observe(long epoch) {
        if (epoch <= highestEpoch) {
            return false;
        }
        highestEpoch = epoch;
        return true;
    }

    /** Whether this publisher must accept no further changes and must not distribute new versions. */
    public boolean fenced() {
        return ownEpoch > 0 && highestEpoch > ownEpoch;
    }

    public long highestEpoch() {
        return highestEpoch;
    }
}
