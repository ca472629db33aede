package onyxpaddle.distribution;

/**
 * Keeps the highestEpoch epoch that a control process has seen, its own among them. A publisher is fenced for good once it has seen
 * a higher one than its own. Not for several threads.
 */
public final class PublisherFence {
    private final long ownEpoch;
    private long highestEpoch;

    /**
     * @param ownEpoch a publisher's epoch; 0 for a replica, which has none and is never fenced
     * @param highestSeen what was kept on disk; 0 for nothing
     */
    public PublisherFence(long ownEpoch, long highestSeen) {
        this.ownEpoch = ownEpoch;
        this.highestEpoch = Math.max(ownEpoch, highestSeen);
    }

    /**
     * Hears of an epoch.
     *
     * @return whether it is a higher one than all before, and so has to be kept on disk
     */
    public boolean observe(long epoch) {
        if (epoch <= highestEpoch) {
            return false;
        }
        highestEpoch = epoch;
        return true;
    }

    /** Whether a publisher must take no more changes and tell nothing new. */
    public boolean fenced() {
        return ownEpoch > 0 && highestEpoch > ownEpoch;
    }

    public long highestEpoch() {
        return highestEpoch;
    }
}
