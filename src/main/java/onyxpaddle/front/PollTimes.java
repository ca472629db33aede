package onyxpaddle.front;

import onyxpaddle.node.RecentMaximum;

/**
 * Records when an event loop polled its sockets, which bounds when the data that it reads can have arrived. The time of the read is
 * no measure of that: a loop that is busy, stopped or short of processor time reads late what the kernel accepted long
 * before, and a poll that took long may have waited for its data or stood still over it. It does no I/O and gets the time with
 * every call, in nanoseconds.
 */
final class PollTimes {
    /** The most events that the JDK's selector takes from the kernel at once: a poll that returns as many may have left some. */
    static final int MAX_EVENTS = 1_024;
    /** A poll that takes so much longer than it was to block has been delayed. */
    private static final long DELAY_TOLERANCE = 1_000_000L;
    /** Longer than a signal takes to its handler once the process goes on. */
    private static final long LAG_WINDOW = 1_000_000_000L;

    private long turnStart;
    /** Start of the last poll that did not report what is processed in this turn. */
    private long lastPoll;
    /** The last poll reported all sockets that were ready. */
    private boolean complete = true;
    private long plannedBlock;
    /** When the poll of this turn returned; 0 before the first one. */
    private long pollEnd;
    private final RecentMaximum delays = new RecentMaximum(LAG_WINDOW);

    /** {@code createdAt}: a time before the first poll. */
    PollTimes(long createdAt) {
        turnStart = createdAt;
        lastPoll = createdAt;
    }

    /** The event loop is about to poll; returns how long the turn before took, 0 for the first one. */
    long pollStarted(long now) {
        if (complete) {
            lastPoll = turnStart;
        }
        turnStart = now;
        plannedBlock = 0;
        if (pollEnd == 0) {
            return 0;
        }
        long turn = now - pollEnd;
        delays.record(turn, now);
        return turn;
    }

    /** The poll has found nothing without blocking, and blocks now. */
    void blocks() {
        lastPoll = turnStart;
    }

    /** The poll blocks for at most so long if it finds nothing, as a timer is due then. */
    void mayBlockFor(long maxNanos) {
        plannedBlock = maxNanos;
    }

    /**
     * The poll has returned; until the next one the event loop processes what was found. Returns how much longer it took than it was to
     * block.
     */
    long pollFinished(long now) {
        long excess = now - turnStart - plannedBlock;
        if (excess > DELAY_TOLERANCE) {
            delays.record(excess, now);
        }
        pollEnd = now;
        return excess;
    }

    /** The turn has processed the events of {@code count} sockets. */
    void turnFinished(int count) {
        complete = count < MAX_EVENTS;
    }

    /** See {@link onyxpaddle.node.Clock#lastPoll}. */
    long lastPoll() {
        return lastPoll;
    }

    /** See {@link onyxpaddle.node.Clock#turnStart}. */
    long turnStart() {
        return turnStart;
    }

    /** How late the loop handles what is due: the longest turn or stall of the last one to two seconds, or the turn in progress. */
    long lag(long now) {
        return Math.max(delays.get(now), pollEnd == 0 ? 0 : now - pollEnd);
    }
}
