package onyxpaddle.front;

/**
 * When a loop looked at its sockets, and so when what it reads can have come: not when it is read, as a loop that is busy, or gets
 * little of a processor, reads late what its machine has long accepted. It does no I/O and is handed the time, in nanoseconds.
 */
final class Looks {
    /** A look that took so long found nothing at first: what it then found has just come. */
    private static final long WAITED = 1_000_000L;
    /** What is left of an earlier turn's length after each shorter one, in eighths. */
    private static final int FADES = 8;

    private long begun;
    private long last;
    private long before;
    private long longest;
    private boolean waited;

    /** It is about to look, and may wait until there is something. */
    void begins(long now) {
        begun = now;
        if (last > 0) {
            longest = Math.max(now - last, longest - longest / FADES);
        }
    }

    /** It has looked, and deals with what was found until it looks again. */
    void looked(long now) {
        before = last > 0 ? last : now;
        last = now;
        waited = now - begun > WAITED;
    }

    /** What is read in this turn came at this time or later, as the look before did not find it; {@code now} before the first look. */
    long cameSince(long now) {
        return last == 0 ? now : waited ? last : before;
    }

    /** How late the loop comes to what is due: the longest of its last turns, which fades with shorter ones. */
    long lag() {
        return longest;
    }
}
