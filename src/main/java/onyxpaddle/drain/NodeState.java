package onyxpaddle.drain;

/**
 * Where a node stands between its start and its end, and what its fronts do there. The one owner of this: the door, the
 * fronts and the signals ask it and keep no copy. It does no I/O, and is handed the time with every question, in
 * nanoseconds of the node's clock. {@code docs/design/0004-in-service.md} has its table.
 *
 * <p>A drain goes back to serving at any moment; an end does not. An end that begins while the node drains goes on as an
 * end; a drain or undrain after that changes nothing and says so.
 */
public final class NodeState {
    private static final long MILLI = 1_000_000L;
    /** The front asks ten times a second and sends nothing new 0.2 s after a no; a stalled core may be later. */
    private static final long NO_NEW_CONNECTIONS = 400 * MILLI;
    /** By now answers have closed what is in use; what is idle goes, well before the 4 s that a drain may take. */
    private static final long IDLE_GOES = 1_000 * MILLI;
    /** How long a connection that has just come, or just had its answer, is left alone. */
    private static final long JUST_IDLE = 100 * MILLI;
    /** At 4 s no client may wait that asked less than 2 s ago: what is not whole by now is turned away. */
    private static final long NOTHING_TAKEN = 2_000 * MILLI;
    /** After SIGTERM connections go on coming for 0.4 s at most; a stalled core may show them later. */
    private static final long LISTEN_ON = 500 * MILLI;
    private static final long QUIET = 250 * MILLI;
    private static final long LISTEN_AT_MOST = 1_500 * MILLI;
    /** SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM; this is kept in hand of the latter. */
    private static final long GRACE = 550 * MILLI;
    /** Connections are closed between requests from so long before the end on. */
    private static final long LAST_CALL = 300 * MILLI;
    /** Calls that were on their way when their callee began to refuse are refused, not cut off. */
    private static final long REFUSES_FOR = 300 * MILLI;
    /** Where a successor serves: idle connections go once they have been so for as long, from then on. */
    private static final long REPLACED_IDLE = 1_000 * MILLI;

    /** The four states of the table. */
    public enum Phase { SERVING, DRAINING, ENDING, REPLACED }

    private Phase phase = Phase.SERVING;
    private long since;
    private long maxCallerTimeout;
    private long heardLate;

    public Phase phase() {
        return phase;
    }

    // ---- what happens ----

    /** An operator empties the node; false where it is ending. A second call changes nothing. */
    public boolean drain(long now) {
        if (phase == Phase.SERVING) {
            phase = Phase.DRAINING;
            since = now;
        }
        return phase == Phase.DRAINING;
    }

    /** An operator puts the node back to work; false where it is ending. */
    public boolean undrain(long now) {
        if (phase == Phase.DRAINING) {
            phase = Phase.SERVING;
            since = now;
        }
        return phase == Phase.SERVING;
    }

    /**
     * The process ends. {@code replaced}: another one listens at the same address; {@code callerTimeout}: how long any caller waits;
     * {@code late}: how long ago, at the most, it was told before it heard, in nanoseconds: whoever kills it counts from there.
     */
    public void end(long now, boolean replaced, long callerTimeout, long late) {
        if (!ending()) {
            phase = replaced ? Phase.REPLACED : Phase.ENDING;
            since = now;
            maxCallerTimeout = callerTimeout;
            heardLate = late;
        }
    }

    // ---- what is done ----

    public boolean ending() {
        return phase == Phase.ENDING || phase == Phase.REPLACED;
    }

    /** Whether new work is asked for: what {@code /ready} says, so far as it is the node's own doing. */
    public boolean acceptsWork() {
        return phase == Phase.SERVING;
    }

    /** Whether the answer that is given now leaves its connection open. */
    public boolean keepsConnections(long now) {
        return switch (phase) {
            case SERVING -> true;
            case DRAINING -> now - since < NO_NEW_CONNECTIONS;
            case ENDING -> canAnswerBeforeExit(LAST_CALL, now);
            case REPLACED -> false;
        };
    }

    /** Whether a connection that has been without a request since then is closed. */
    public boolean closesIdle(long idleSince, long now) {
        long passed = now - since;
        return switch (phase) {
            case SERVING -> false;
            case DRAINING -> passed >= IDLE_GOES && now - idleSince >= JUST_IDLE;
            case ENDING -> !canAnswerBeforeExit(LAST_CALL, now) && now - idleSince >= JUST_IDLE;
            case REPLACED -> now - idleSince >= REPLACED_IDLE || !canAnswerBeforeExit(LAST_CALL, now);
        };
    }

    /**
     * Whether a request that has not come whole is turned away, as one that never ran. At an end that is with the last idle
     * connections: its last byte could come while the process goes, and it would be taken with nobody left to answer it.
     */
    public boolean rejectsIncomplete(long now) {
        return switch (phase) {
            case SERVING -> false;
            case DRAINING -> now - since >= NOTHING_TAKEN;
            case ENDING, REPLACED -> !canAnswerBeforeExit(LAST_CALL, now);
        };
    }

    /**
     * Whether a call is refused, as one that never ran, on a connection that has no other way to say that its callee
     * goes. Where the process ends alone that is at once: its callers find another before it is gone.
     */
    public boolean refusesCalls(long now) {
        return switch (phase) {
            case SERVING -> false;
            case DRAINING, REPLACED -> now - since >= NOTHING_TAKEN;
            case ENDING -> true;
        };
    }

    /** Whether such a connection, without calls since then, is closed. */
    public boolean closesBetweenCalls(long idleSince, long now) {
        long refusing = phase == Phase.ENDING ? REFUSES_FOR : NOTHING_TAKEN + REFUSES_FOR;
        return phase != Phase.SERVING && now - since > refusing || phase != Phase.ENDING && closesIdle(idleSince, now);
    }

    /** Whether a caller with so much callerTimeout has its answer before the process ends; who waits for longer than it does, counts as waiting for as long. */
    public boolean canAnswerBeforeExit(long callerTimeout, long now) {
        return !ending() || now + Math.min(callerTimeout, maxCallerTimeout) <= endsAt();
    }

    /**
     * Whether the listener closes, where the last connection came then. Where the longest deadline is short, SIGKILL comes before
     * the usual most, and what it takes in must still be answered.
     */
    public boolean closesListener(long lastAccept, long now) {
        long passed = now - since;
        return switch (phase) {
            case SERVING, DRAINING -> false;
            case ENDING -> passed >= LISTEN_ON && (now - lastAccept >= QUIET || passed >= LISTEN_AT_MOST || !canAnswerBeforeExit(LAST_CALL, now));
            case REPLACED -> true;
        };
    }

    /** Whether an ending process, whose listener is closed and which owes no answer, may go with connections open. */
    public boolean over(long now) {
        return ending() && now >= endsAt();
    }

    private long endsAt() {
        return since + maxCallerTimeout + GRACE - heardLate;
    }
}
