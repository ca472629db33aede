package onyxpaddle.front;

/**
 * When a loop looked at its sockets, and so when what it reads can have come: not when it is read, as a loop that is busy, stopped, or
 * gets little of a processor, reads late what its machine has long accepted. It does no I/O and is handed the time, in nanoseconds.
 */
final class PollTimes {
    /** A look of a quick loop that took so long found nothing at first: what it then found has just come. */
    private static final long WAITED = 1_000_000L;
    /** A look that finds something at once is less of a busy turn than this part. */
    private static final int SMALL_PART = 4;
    /** What is left of an earlier turn's length after each shorter one, in eighths. */
    private static final int FADES = 8;

    private long begun;
    private long planned;
    private long last;
    private long since;
    private long longest;

    /** It is about to look. */
    void begins(long now) {
        begun = now;
        planned = 0;
        if (last > 0) {
            late(now - last);
        }
    }

    /** Where it finds nothing it waits for so long at the most, as something else is due then. */
    void waits(long atMost) {
        planned = atMost;
    }

    /** It has looked, and deals with what was found until it looks again. */
    void looked(long now) {
        long took = now - begun;
        long over = took - planned;
        // On a core that gives it little a look that finds something at once takes as long as one that waits does elsewhere, and what it
        // finds may have lain there since the look before. Only one that was to wait, and took no small part of the turns of late, has waited.
        boolean waited = planned > 0 && over <= WAITED && took > Math.max(WAITED, longest / SMALL_PART);
        since = last == 0 || waited ? now : last;
        if (over > WAITED) {
            late(over);
        }
        last = now;
    }

    private void late(long by) {
        longest = Math.max(by, longest - longest / FADES);
    }

    /** What is read in this turn came at this time or later, as the look before did not find it; {@code now} before the first look. */
    long earliestArrival(long now) {
        return last == 0 ? now : since;
    }

    /** How late the loop comes to what is due: the longest of its last turns and stops, which fades with shorter ones. */
    long lag() {
        return longest;
    }
}
