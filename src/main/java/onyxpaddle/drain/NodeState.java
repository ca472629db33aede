package onyxpaddle.drain;

/**
 * The life-cycle state of a node and what its fronts do in it. It is the only owner of this state: the admin interface,
 * the fronts and the signal handlers query it and keep no copy. It does no I/O and gets the time with every call, in
 * nanoseconds of the node's clock. Its table is in {@code docs/design/0004-in-service.md}.
 *
 * <p>A drain can be undone at any time, the end of the process can't. An end during a drain replaces the drain; a drain or
 * undrain after that changes nothing and returns false.
 */
public final class NodeState {
    private static final long MILLI = 1_000_000L;
    /** The front polls {@code /ready} ten times a second and sends nothing new from 0.2 s after a no; a stalled core may be later. */
    private static final long KEEP_CONNECTIONS_FOR = 400 * MILLI;
    /** By then answers have closed the connections in use; idle ones are closed well before the 4 s that a drain may take. */
    private static final long CLOSE_IDLE_AFTER = 1_000 * MILLI;
    /** How long a connection stays open after its accept or its last answer. */
    private static final long MIN_IDLE = 100 * MILLI;
    /** At 4 s no client may wait whose request is less than 2 s old: a request that is not complete by this time is refused. */
    private static final long REJECT_INCOMPLETE_AFTER = 2_000 * MILLI;
    /** New connections arrive for up to 0.4 s after SIGTERM, and a stalled core may accept them later. */
    private static final long MIN_LISTEN = 500 * MILLI;
    private static final long MIN_ACCEPT_GAP = 250 * MILLI;
    private static final long MAX_LISTEN = 1_500 * MILLI;
    /** SIGKILL comes no earlier than the longest deadline plus 0.7 s after SIGTERM; this is the part of the 0.7 s that is used. */
    private static final long EXIT_MARGIN = 550 * MILLI;
    /** How long before the end idle connections begin to be closed. */
    private static final long CLOSE_LEAD = 300 * MILLI;
    /** Calls that were on their way when the node began to refuse are refused for so long before their connection closes. */
    private static final long REFUSE_BEFORE_CLOSE = 300 * MILLI;
    /** Where a successor serves: the idle time after which a connection is closed. */
    private static final long REPLACED_IDLE_LIMIT = 1_000 * MILLI;

    public enum Phase { SERVING, DRAINING, ENDING, REPLACED }

    private Phase phase = Phase.SERVING;
    private long since;
    private long maxCallerTimeout;
    private long signalDelay;

    public Phase phase() {
        return phase;
    }

    // ---- transitions ----

    /** Starts a drain for an operator; false if the node is ending. A second call changes nothing. */
    public boolean drain(long now) {
        if (phase == Phase.SERVING) {
            phase = Phase.DRAINING;
            since = now;
        }
        return phase == Phase.DRAINING;
    }

    /** Undoes a drain for an operator; false if the node is ending. */
    public boolean undrain(long now) {
        if (phase == Phase.DRAINING) {
            phase = Phase.SERVING;
            since = now;
        }
        return phase == Phase.SERVING;
    }

    /**
     * Starts the end of the process. {@code replaced}: another process listens at the same address; {@code callerTimeout}: the longest
     * that any caller waits; {@code delay}: how long ago at most the signal was sent, in nanoseconds, as SIGKILL is timed from there.
     */
    public void end(long now, boolean replaced, long callerTimeout, long delay) {
        if (!ending()) {
            phase = replaced ? Phase.REPLACED : Phase.ENDING;
            since = now;
            maxCallerTimeout = callerTimeout;
            signalDelay = delay;
        }
    }

    // ---- what follows from the state ----

    public boolean ending() {
        return phase == Phase.ENDING || phase == Phase.REPLACED;
    }

    /** Whether the node wants new requests: the node's own part of the answer to {@code /ready}. */
    public boolean acceptsWork() {
        return phase == Phase.SERVING;
    }

    /** Whether a connection stays open after an answer given now. */
    public boolean keepsConnections(long now) {
        return switch (phase) {
            case SERVING -> true;
            case DRAINING -> now - since < KEEP_CONNECTIONS_FOR;
            case ENDING -> canAnswerBeforeExit(CLOSE_LEAD, now);
            case REPLACED -> false;
        };
    }

    /** Whether a connection that has been idle since then is closed. */
    public boolean closesIdle(long idleSince, long now) {
        long elapsed = now - since;
        return switch (phase) {
            case SERVING -> false;
            case DRAINING -> elapsed >= CLOSE_IDLE_AFTER && now - idleSince >= MIN_IDLE;
            case ENDING -> !canAnswerBeforeExit(CLOSE_LEAD, now) && now - idleSince >= MIN_IDLE;
            case REPLACED -> now - idleSince >= REPLACED_IDLE_LIMIT || !canAnswerBeforeExit(CLOSE_LEAD, now);
        };
    }

    /**
     * Whether a request that has not arrived completely is refused, as one that never ran. At the end of the process that is when
     * the last idle connections are closed: a request completed later could be accepted with no time left to answer it.
     */
    public boolean rejectsIncomplete(long now) {
        return switch (phase) {
            case SERVING -> false;
            case DRAINING -> now - since >= REJECT_INCOMPLETE_AFTER;
            case ENDING, REPLACED -> !canAnswerBeforeExit(CLOSE_LEAD, now);
        };
    }

    /**
     * Whether a call is refused, as one that never ran, for protocols that can't announce the end of a connection. Without a
     * successor process that is at once, so that callers turn to another node before this one is gone.
     */
    public boolean refusesCalls(long now) {
        return switch (phase) {
            case SERVING -> false;
            case DRAINING, REPLACED -> now - since >= REJECT_INCOMPLETE_AFTER;
            case ENDING -> true;
        };
    }

    /** Whether a connection of such a protocol, without calls since then, is closed. */
    public boolean closesBetweenCalls(long idleSince, long now) {
        long refusing = phase == Phase.ENDING ? REFUSE_BEFORE_CLOSE : REJECT_INCOMPLETE_AFTER + REFUSE_BEFORE_CLOSE;
        return phase != Phase.SERVING && now - since > refusing || phase != Phase.ENDING && closesIdle(idleSince, now);
    }

    /**
     * Whether a caller that waits so long can be answered before the process ends. A longer time than the one the end was started with
     * counts as that one.
     */
    public boolean canAnswerBeforeExit(long callerTimeout, long now) {
        return !ending() || now + Math.min(callerTimeout, maxCallerTimeout) <= endsAt();
    }

    /**
     * Whether the listener closes; {@code lastAccept}: when the last connection was accepted. With a short longest deadline SIGKILL comes
     * before {@link #MAX_LISTEN}, and what is accepted must still be answered.
     */
    public boolean closesListener(long lastAccept, long now) {
        long elapsed = now - since;
        return switch (phase) {
            case SERVING, DRAINING -> false;
            case ENDING -> elapsed >= MIN_LISTEN
                && (now - lastAccept >= MIN_ACCEPT_GAP || elapsed >= MAX_LISTEN || !canAnswerBeforeExit(CLOSE_LEAD, now));
            case REPLACED -> true;
        };
    }

    /** Whether an ending process whose listener is closed and which owes no answer may exit with connections open. */
    public boolean expired(long now) {
        return ending() && now >= endsAt();
    }

    private long endsAt() {
        return since + maxCallerTimeout + EXIT_MARGIN - signalDelay;
    }
}
