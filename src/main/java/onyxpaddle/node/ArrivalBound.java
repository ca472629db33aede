package onyxpaddle.node;

/**
 * A lower bound of when the data arrived that is about to be read from one source, such as a socket or a queue of connections.
 * It is exact in that nothing can have arrived earlier, however long the process was stopped and wherever. Two observations
 * raise it: a read that left the source empty, and an event loop's poll that did not report the source although it watched
 * it. It does no I/O and gets all times, in nanoseconds of the node's clock.
 */
public final class ArrivalBound {
    private long bound;
    /** Since when polls report the source as soon as it has data; {@link Long#MAX_VALUE} before the first one. */
    private long watchedSince = Long.MAX_VALUE;
    /** Start of the event loop's turn in which the source was last read. */
    private long readInTurn;

    /** {@code bound}: a time before which nothing can have arrived. */
    public ArrivalBound(long bound) {
        this.bound = bound;
    }

    /** Polls that start from now on report the source. */
    public void watched(long now) {
        watchedSince = now;
    }

    /**
     * Returns the bound for what is read now.
     *
     * @param lastPoll start of the last poll that did not report what is read now, see {@link Clock#lastPoll}; {@link Long#MIN_VALUE}
     *     if polls do not report the source at present
     */
    public long get(long lastPoll) {
        // A poll of the turn of the last read may have reported what that read left behind.
        if (lastPoll >= watchedSince && lastPoll > readInTurn) {
            bound = Math.max(bound, lastPoll);
        }
        return bound;
    }

    /**
     * Records a read, after {@link #get} was called for it.
     *
     * @param startedAt a time before the read
     * @param emptied whether the read left nothing behind
     * @param turnStart see {@link Clock#turnStart}
     */
    public void read(long startedAt, boolean emptied, long turnStart) {
        readInTurn = turnStart;
        if (emptied) {
            bound = Math.max(bound, startedAt);
        }
    }
}
