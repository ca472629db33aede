package onyxpaddle.membership;

import java.util.random.RandomGenerator;

/**
 * Which version of the list a node holds, what it asks discovery for next, which answers count, and when it calls again
 * after one that did not. Does no I/O; all nodes run it, so calls that fail together come back spread and ever rarer.
 */
final class ListWatch {
    /** The first pause after a failure, in milliseconds; within the 200 ms that a watch goes on. */
    private static final int FIRST_PAUSE_MS = 100;
    /** Where discovery is asked, the module says when to call again. */
    static final int MODULE = -1;
    /**
     * Failed calls in a row, silent or broken off, that are made good at once where discovery is asked; from then on, and
     * where it turns a call away, the module says when. Guards against rule 3's time, in which two silent calls just fit,
     * being spent on a pause; does harm where silence is how an overbooked discovery fails: two calls too many a node.
     */
    private static final int SOON = 2;
    /** See {@link #patienceMs}. */
    private static final int LONGEST_PAUSE_MS = 1000;
    /** How long a call may wait for news. */
    private static final int WAIT_MS = 2000;
    /** How long after its wait an answer may begin, where an agent on the node's own machine gives it. */
    private static final int LATE_MS = 800;
    /** The same for a call without a wait where one discovery works through the calls of all nodes in turn. */
    private static final int IN_TURN_MS = 1500;
    /** How long after the latest moment at which it may begin an answer is whole. */
    private static final int REST_MS = 700;

    private final RandomGenerator random;
    /** Discovery is one service that all nodes ask; else each node has an agent of its own, to which lists are pushed. */
    private final boolean asked;
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
    ListWatch(boolean asked, long seq, boolean holdsAny, RandomGenerator random) {
        this.asked = asked;
        this.seq = seq;
        this.holdsAny = holdsAny;
        this.random = random;
    }

    /** The whole list is asked for; otherwise what came after {@link #seq}. */
    boolean asksForAll() {
        return lost;
    }

    /**
     * How long discovery may wait for news before it answers the next call, in milliseconds. A node that starts is of use once it
     * knows that its list is not old, and after a call that failed something may have been missed: neither waits.
     */
    int waitMs() {
        return lost || !heard || failures > 0 ? 0 : WAIT_MS;
    }

    /**
     * How long the next call waits for the first byte of its answer, in milliseconds.
     *
     * <p>Whatever went wrong with calls before, a change counts as told 6 s after discovery had it and could be reached. Calls that
     * fail are one row with one time, not each with a time of its own: only the first may have waited for news. After a silent watch
     * and two further silent calls the next goes out within 5.1 s where each node has an agent, after one further within 4.6 s where
     * discovery is asked; and from any moment at which it can be reached again the call that was out then and the pause after it
     * take 3.6 s at most. It does harm where a sound discovery takes longer than this to begin.
     */
    int patienceMs() {
        int wait = waitMs();
        return wait + (asked && wait == 0 ? IN_TURN_MS : LATE_MS);
    }

    /** How long after the next call its answer is whole, or counts as none, in milliseconds. */
    int wholeByMs() {
        return patienceMs() + REST_MS;
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
     * A call brought nothing: how long to wait before the next, in milliseconds, or {@link #MODULE}. The pauses double, and each is
     * drawn from the whole of its span ("full jitter"), since the calls of all nodes often fail in one moment.
     *
     * @param turnedAway discovery refused it, as one that has too much to do or is down
     */
    int failed(boolean turnedAway) {
        if (asked && (turnedAway || failures >= SOON)) {
            failures++;
            return MODULE;
        }
        int span = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS << Math.min(8, failures));
        failures++;
        return random.nextInt(span + 1);
    }
}
