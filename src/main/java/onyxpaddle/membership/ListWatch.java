package onyxpaddle.membership;

import java.util.random.RandomGenerator;

/**
 * The pace of a node's watch of the list of servers: how long its calls may wait and take, and the pauses between them. Does no I/O. All
 * nodes run it, so after a common failure their calls are spread out and become less frequent.
 */
final class ListWatch {
    /** What an answer that is in force as it is brought. */
    enum News { CHANGE, VERSION_ONLY, NONE }

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
    /** The longest pause after the first answer that is not in force as it is; two thirds of it are the shortest. */
    private static final int FIRST_DOUBT_PAUSE_MS = 300;
    /** How long a call may wait for a change. */
    private static final int WAIT_MS = 2000;
    /** Time-out from the end of the wait to the first byte of the answer, for an agent on the node's own machine. */
    private static final int FIRST_BYTE_MARGIN_MS = 800;
    /** The same for a call without a wait to a central discovery, which processes the calls of all nodes one after the other. */
    private static final int CENTRAL_FIRST_BYTE_MARGIN_MS = 1500;
    /** Time-out from the latest first byte to the end of the answer. */
    private static final int BODY_MARGIN_MS = 700;

    /** An answer without news that comes sooner after a call that may wait did not wait. */
    private static final int EARLY_MS = 100;
    /** The pause after the first such answer; less than the 200 ms within which a watch must be renewed. */
    private static final int FIRST_EARLY_PAUSE_MS = 180;
    /** The longest pause after such answers. */
    private static final int MAX_EARLY_PAUSE_MS = 500;
    /** The shortest time from an answered watch to the next one, however fast the list changes. */
    private static final int MIN_CALL_INTERVAL_MS = 20;

    private final RandomGenerator random;
    /** Discovery is one service for all nodes; otherwise each node has an agent of its own, to which lists are pushed. */
    private final boolean central;
    private boolean hasAccepted;
    private int failures;
    private int earlyAnswers;

    ListWatch(boolean central, RandomGenerator random) {
        this.central = central;
        this.random = random;
    }

    /**
     * How long discovery may wait for a change before it answers the next call, in milliseconds. There is no wait at the start, as a node
     * is not ready before it knows that its list is current, nor after a failed call, which may have missed a change.
     */
    int waitMs() {
        return !hasAccepted || failures > 0 ? 0 : WAIT_MS;
    }

    /**
     * Time-out of the next call for the first byte of its answer, in milliseconds.
     *
     * <p>A change counts as delivered 6 s after discovery has it and is reachable, whatever failed before. This time covers a whole row
     * of failed calls, of which only the first may have waited for a change. After a watch and two further calls without an answer the
     * next call is made within 5.1 s with an agent on each node; with a central discovery, after a watch and one further call, within
     * 4.6 s. From the moment at which discovery is reachable again, the call in progress and the pause after it take 3.6 s at most.
     */
    int firstByteTimeoutMs() {
        int wait = waitMs();
        return wait + (central && wait == 0 ? CENTRAL_FIRST_BYTE_MARGIN_MS : FIRST_BYTE_MARGIN_MS);
    }

    /** Time-out of the next call for its whole answer, in milliseconds. */
    int totalTimeoutMs() {
        return firstByteTimeoutMs() + BODY_MARGIN_MS;
    }

    /** Failed and doubted calls since the last answer that is in force as it is. */
    int failures() {
        return failures;
    }

    /**
     * An answer is in force as it is. Returns the pause before the next call in milliseconds: none for a discovery that waits for changes
     * and tells some, and a growing one while it answers watches at once with what it has answered before.
     *
     * @param tookMs the time since the call
     */
    int accepted(News news, long tookMs) {
        boolean mayWait = waitMs() > 0;
        hasAccepted = true;
        failures = 0;
        if (!mayWait) {
            return 0;
        }
        if (news == News.CHANGE || tookMs >= EARLY_MS) {
            earlyAnswers = 0;
            return (int) Math.max(0, MIN_CALL_INTERVAL_MS - tookMs);
        }
        earlyAnswers = news == News.NONE ? earlyAnswers + 1 : 1;
        return Math.min(MAX_EARLY_PAUSE_MS, FIRST_EARLY_PAUSE_MS << Math.min(8, earlyAnswers - 1));
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
        int span = span(FIRST_PAUSE_MS);
        failures++;
        return random.nextInt(span + 1);
    }

    /**
     * Counts an answer that is not in force as it is, and returns the pause before the next call in milliseconds. Discovery answers, so
     * what ends the doubt can be had soon; as it may answer at once, the pause has a lower bound too.
     */
    int backoffAfterDoubt() {
        int span = span(FIRST_DOUBT_PAUSE_MS);
        failures++;
        return span - random.nextInt(span / 3 + 1);
    }

    private int span(int firstMs) {
        return Math.min(MAX_PAUSE_MS, firstMs << Math.min(8, failures));
    }
}
