package onyxpaddle.front;

/**
 * Records when an event loop polled its sockets, which bounds when the data that it reads can have arrived. The time of the read is
 * no measure of that: a loop that is busy, stopped or short of processor time reads late what the kernel accepted long
 * before. It does no I/O and gets the time with every call, in nanoseconds.
 */
final class PollTimes {
    /** On a fast core a poll that takes longer than this has found nothing at first: what it then returns has just arrived. */
    private static final long BLOCK_TOLERANCE = 1_000_000L;
    /** A poll that finds something at once takes less than a busy turn divided by this. */
    private static final int SHORT_POLL_DIVISOR = 4;
    /** Each shorter delay reduces the recorded maximum by the maximum divided by this. */
    private static final int DECAY_DIVISOR = 8;

    /** The most events that the JDK's selector takes from the kernel at once: a poll that returns as many may have left some. */
    static final int MAX_EVENTS = 1_024;

    private long startedAt;
    /** Start of the last poll that did not report what is processed in this turn. */
    private long lastPollStart;
    /** The last poll reported all sockets that were ready. */
    private boolean complete = true;
    private long plannedBlock;
    private long lastPoll;
    private long earliest;
    private long maxDelay;

    /** {@code createdAt}: a time before the first poll. */
    PollTimes(long createdAt) {
        startedAt = createdAt;
        lastPollStart = createdAt;
    }

    /** The event loop is about to poll; returns how long the turn before took, 0 for the first one. */
    long pollStarted(long now) {
        if (complete) {
            lastPollStart = startedAt;
        }
        startedAt = now;
        plannedBlock = 0;
        if (lastPoll == 0) {
            return 0;
        }
        long turn = now - lastPoll;
        recordDelay(turn);
        return turn;
    }

    /** The poll has found nothing without blocking, and blocks now. */
    void blocks() {
        lastPollStart = startedAt;
    }

    /** The turn has processed the events of {@code count} sockets. */
    void turnFinished(int count) {
        complete = count < MAX_EVENTS;
    }

    /** See {@link onyxpaddle.node.Clock#lastPoll}. */
    long lastPoll() {
        return lastPollStart;
    }

    /** See {@link onyxpaddle.node.Clock#turnStart}. */
    long turnStart() {
        return startedAt;
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
        long duration = now - startedAt;
        long excess = duration - plannedBlock;
        // With little processor time a poll that returns at once takes as long as one that blocks does elsewhere, and its data may
        // have been there since the previous poll. A poll counts as blocked only if it was allowed to block, and took no small
        // part of the recent turns.
        boolean blocked = plannedBlock > 0 && excess <= BLOCK_TOLERANCE
            && duration > Math.max(BLOCK_TOLERANCE, maxDelay / SHORT_POLL_DIVISOR);
        earliest = lastPoll == 0 || blocked ? now : lastPoll;
        if (excess > BLOCK_TOLERANCE) {
            recordDelay(excess);
        }
        lastPoll = now;
        return excess;
    }

    private void recordDelay(long delay) {
        maxDelay = Math.max(delay, maxDelay - maxDelay / DECAY_DIVISOR);
    }

    /** The earliest arrival of what is read in this turn, as the previous poll did not find it; {@code now} before the first poll. */
    long earliestArrival(long now) {
        return lastPoll == 0 ? now : earliest;
    }

    /** How late the loop handles what is due: the longest recent turn or stall, which decays with each shorter one. */
    long lag() {
        return maxDelay;
    }
}
