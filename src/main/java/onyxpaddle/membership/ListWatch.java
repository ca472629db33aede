package onyxpaddle.membership;

import java.util.random.RandomGenerator;

/**
 * Which version of the list a node holds, what it asks discovery for next, which answers count, and when it calls again
 * after one that did not. Does no I/O; all nodes run it, so calls that fail together come back spread and ever rarer.
 */
final class ListWatch {
    /** The first pause after a failure, in milliseconds; within the 200 ms that a watch goes on. */
    private static final int FIRST_PAUSE_MS = 100;
    /** What a call has to tell counts as told some 6 s later, so pauses stay well below what is left beside a silent call. */
    private static final int LONGEST_PAUSE_MS = 1000;

    private final RandomGenerator random;
    private long seq;
    /** The version held is in doubt: the next call asks for the whole list. */
    private boolean lost;
    /** Any version counts: discovery is another one, whose numbers are its own. */
    private boolean anew;
    private boolean heard;
    private boolean holdsAny;
    private int failures;
    /** The version of a whole list that was older than the one held; -1 where the last answer was none. */
    private long wentBackTo = -1;

    /** {@code seq}: the version held at the start; {@code holdsAny}: whether that names a server. */
    ListWatch(long seq, boolean holdsAny, RandomGenerator random) {
        this.seq = seq;
        this.holdsAny = holdsAny;
        this.random = random;
    }

    /** The whole list is asked for; otherwise what came after {@link #seq}. */
    boolean asksForAll() {
        return lost;
    }

    long seq() {
        return seq;
    }

    /** Whether a list has counted since the start. */
    boolean heard() {
        return heard;
    }

    /** Failed calls since the last list that counted. */
    int failures() {
        return failures;
    }

    /** The next answer comes from another discovery. */
    void anew() {
        lost = true;
        anew = true;
    }

    /** An answer could not be read, so it is not known what it had to tell. */
    void unreadable() {
        lost = true;
    }

    /**
     * Judges a list that was read whole: null if it counts, and then it is the one held; otherwise what is wrong with it,
     * and the whole list is asked for next.
     */
    String judge(boolean whole, long version, boolean empty) {
        String fault = fault(whole, version, empty);
        wentBackTo = fault != null && whole && !empty && version < seq ? version : -1;
        if (fault != null) {
            lost = true;
            return fault;
        }
        seq = version;
        lost = false;
        anew = false;
        heard = true;
        holdsAny |= !empty;
        failures = 0;
        return null;
    }

    private String fault(boolean whole, long version, boolean empty) {
        if (!whole) {
            // Changes to a list that is not the one held say nothing; only a whole list does.
            return lost || version < seq ? "changes to a list that is not held" : null;
        }
        if (empty && holdsAny) {
            // Guards against a discovery that has lost its own list; servers leave one by one, as gone. It does harm where
            // a tier is really empty: calls go on to servers that refuse them.
            return "a whole list without any server";
        }
        // Guards against an answer that is older than what was told, by which a draining server would be sent to again. A
        // discovery that begins its numbers anew is believed when it says so twice.
        boolean older = !anew && version < seq;
        return older && (wentBackTo < 0 || version < wentBackTo) ? "a list older than the one held" : null;
    }

    /**
     * A call brought nothing: how long to wait before the next, in milliseconds. The pauses double, and each is drawn from
     * the whole of its span ("full jitter"), since the calls of all nodes often fail in one moment.
     */
    int failed() {
        int span = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS << Math.min(8, failures));
        failures++;
        return random.nextInt(span + 1);
    }
}
