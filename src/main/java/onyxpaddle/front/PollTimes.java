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

    private long startedAt;
    private long plannedBlock;
    private long lastPoll;
    private long earliest;
    private long maxDelay;

    /** The event loop is about to poll. */
    void pollStarted(long now) {
        startedAt = now;
        plannedBlock = 0;
        if (lastPoll > 0) {
            recordDelay(now - lastPoll);
        }
    }

    /** The poll blocks for at most so long if it finds nothing, as a timer is due then. */
    void mayBlockFor(long maxNanos) {
        plannedBlock = maxNanos;
    }

    /** The poll has returned; until the next one the event loop processes what was found. */
    void pollFinished(long now) {
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
