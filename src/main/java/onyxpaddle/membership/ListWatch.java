package onyxpaddle.membership;

import java.util.random.RandomGenerator;

/**
 * The state of a node's watch of the list of servers: its version, what to request next, which answers to accept, and the back-off after
 * failed calls. Does no I/O. All nodes run it, so after a common failure their calls are spread out and become less frequent.
 */
final class ListWatch {
    /** The longest pause after the first failure, in milliseconds; less than the 200 ms within which a watch must be renewed. */
    private static final int FIRST_PAUSE_MS = 100;
    /** With a central discovery the balancer decides when to call again. */
    static final int BALANCER_DECIDES = -1;
    /**
     * With a central discovery: the number of consecutive calls that timed out or broke off after which the node itself calls again,
     * soon; after further ones, and if discovery refuses a call, the balancer decides when to call again. Guards against spending the 6 s
     * for the delivery of a change, in which two unanswered calls just fit, on a pause. Drawback: if an overloaded discovery fails by not
     * answering, each node makes two calls too many.
     */
    private static final int FAST_RETRIES = 2;
    /** See {@link #firstByteTimeoutMs}. */
    private static final int MAX_PAUSE_MS = 1000;
    /** How long a call may wait for a change. */
    private static final int WAIT_MS = 2000;
    /** Time-out from the end of the wait to the first byte of the answer, for an agent on the node's own machine. */
    private static final int FIRST_BYTE_MARGIN_MS = 800;
    /** The same for a call without a wait to a central discovery, which processes the calls of all nodes one after the other. */
    private static final int CENTRAL_FIRST_BYTE_MARGIN_MS = 1500;
    /** Time-out from the latest first byte to the end of the answer. */
    private static final int BODY_MARGIN_MS = 700;

    private final RandomGenerator random;
    /** Discovery is one service for all nodes; otherwise each node has an agent of its own, to which lists are pushed. */
    private final boolean central;
    private long seq;
    /** The current version is in doubt: the next call requests the full list. */
    private boolean needsFullList;
    /** Any version is accepted: discovery has been replaced by one with independent version numbers. */
    private boolean versionReset;
    private boolean hasAccepted;
    private boolean hasServers;
    private int failures;
    /** The version of the last answer if it was a full list older than the current one; otherwise -1. */
    private long olderVersion = -1;

    /** {@code seq}: the version at the start; {@code hasServers}: whether that list has servers. */
    ListWatch(boolean central, long seq, boolean hasServers, RandomGenerator random) {
        this.central = central;
        this.seq = seq;
        this.hasServers = hasServers;
        this.random = random;
    }

    /** Whether to request the full list, rather than the changes after {@link #seq}. */
    boolean needsFullList() {
        return needsFullList;
    }

    /**
     * How long discovery may wait for a change before it answers the next call, in milliseconds. There is no wait at the start, as a node
     * is not ready before it knows that its list is current, nor after a failed call, which may have missed a change.
     */
    int waitMs() {
        return needsFullList || !hasAccepted || failures > 0 ? 0 : WAIT_MS;
    }

    /**
     * Time-out of the next call for the first byte of its answer, in milliseconds.
     *
     * <p>A change counts as delivered 6 s after discovery has it and is reachable, whatever failed before. This time covers a whole row
     * of failed calls, of which only the first may have waited for a change. After a watch and two further calls without an answer the
     * next call is made within 5.1 s with an agent on each node; with a central discovery, after a watch and one further call, within
     * 4.6 s. From the moment at which discovery is reachable again, the call in progress and the pause after it take 3.6 s at most.
     * Drawback: calls to a healthy discovery that takes longer than this to begin its answer fail.
     */
    int firstByteTimeoutMs() {
        int wait = waitMs();
        return wait + (central && wait == 0 ? CENTRAL_FIRST_BYTE_MARGIN_MS : FIRST_BYTE_MARGIN_MS);
    }

    /** Time-out of the next call for its whole answer, in milliseconds. */
    int totalTimeoutMs() {
        return firstByteTimeoutMs() + BODY_MARGIN_MS;
    }

    long seq() {
        return seq;
    }

    /** Whether a list has been accepted since the start. */
    boolean hasAccepted() {
        return hasAccepted;
    }

    /** Failed calls since the last accepted list. */
    int failures() {
        return failures;
    }

    /** To be called when discovery is replaced by another one. */
    void resetVersion() {
        needsFullList = true;
        versionReset = true;
    }

    /** An answer could not be parsed, so a change may have been missed. */
    void markUnreadable() {
        needsFullList = true;
    }

    /**
     * Accepts or rejects a list. Returns null if it is accepted, and its version is then the current one; otherwise the fault, and the
     * full list is requested next.
     */
    String accept(boolean whole, long version, boolean empty) {
        String fault = fault(whole, version, empty);
        olderVersion = fault != null && whole && !empty && version < seq ? version : -1;
        if (fault != null) {
            needsFullList = true;
            return fault;
        }
        seq = version;
        needsFullList = false;
        versionReset = false;
        hasAccepted = true;
        hasServers |= !empty;
        failures = 0;
        return null;
    }

    private String fault(boolean whole, long version, boolean empty) {
        if (!whole) {
            // Changes apply to the current list only; otherwise a full list is needed.
            return needsFullList || version < seq ? "changes to a list that this node does not have" : null;
        }
        if (empty && hasServers) {
            // Guards against a discovery that has lost its list; servers are removed one by one, as gone. Drawback: if a tier really is
            // empty, requests still go to servers that refuse them.
            return "a full list without servers";
        }
        // Guards against an outdated answer, by which a draining server would get requests again. A discovery that has restarted its
        // version numbers is accepted when it sends an older list twice in a row.
        boolean older = !versionReset && version < seq;
        return older && (olderVersion < 0 || version < olderVersion) ? "a list older than the current one" : null;
    }

    /**
     * Counts a failed call and returns the pause before the next one in milliseconds, or {@link #BALANCER_DECIDES}. Exponential back-off
     * with full jitter, as the calls of all nodes often fail at the same moment.
     *
     * @param refused discovery refused the call, being overloaded or down
     */
    int backoffAfterFailure(boolean refused) {
        if (central && (refused || failures >= FAST_RETRIES)) {
            failures++;
            return BALANCER_DECIDES;
        }
        int span = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS << Math.min(8, failures));
        failures++;
        return random.nextInt(span + 1);
    }
}
