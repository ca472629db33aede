package onyxpaddle.front;

/**
 * When a loop looked at its sockets, and so when what it reads can have come: not when it is read, as a loop that is busy, stopped, or
 * gets little of a processor, reads late what its machine has long accepted. It does no I/O and is handed the time, in nanoseconds.
 */
final class Looks {
    /** A look that took so long found nothing at first: what it then found has just come. */
    private static final long WAITED = 1_000_000L;
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
        long over = now - begun - planned;
        if (over > WAITED) {
            // It stood still while it waited, and something can have come all the while.
            since = begun;
            late(over);
        } else {
            since = last == 0 || now - begun > WAITED ? now : last;
        }
        last = now;
    }

    private void late(long by) {
        longest = Math.max(by, longest - longest / FADES);
    }

    /** What is read in this turn came at this time or later, as the look before did not find it; {@code now} before the first look. */
    long cameSince(long now) {
        return last == 0 ? now : since;
    }

    /** How late the loop comes to what is due: the longest of its last turns and stops, which fades with shorter ones. */
    long lag() {
        return longest;
    }
}
