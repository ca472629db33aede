package onyxpaddle.front;

/**
 * For how long a loop that should look at something regularly has not looked. A process that stood still, or got no processor,
 * goes on with its clocks far ahead and its sockets full of what came meanwhile; whoever judges silence by the clock must
 * first take off the time in which nobody listened. Does no I/O.
 */
final class StallDetector {
    /** Later than planned by less than this is usual: garbage, a turn of much work. */
    static final long USUAL = 50_000_000L;

    private final long every;
    private long looked;
    private boolean begun;

    /** {@code every}: how often it is meant to look, in nanoseconds. */
    StallDetector(long every) {
        this.every = every;
    }

    /** It looks now; returns for how long it stood still before, beyond its plan, in nanoseconds; 0 if it didn't. */
    long looks(long now) {
        long late = begun ? now - looked - every : 0;
        begun = true;
        looked = now;
        return late > USUAL ? late : 0;
    }
}
