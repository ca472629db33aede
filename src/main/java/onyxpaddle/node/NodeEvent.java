package onyxpaddle.node;

import java.util.Locale;
import onyxpaddle.BalancerApi.Outcome;

/** What a node counts with its reason: connections that close, attempts that are repeated or not begun, and requests that it refuses. */
public enum NodeEvent {
    // Connections of clients.
    CLIENT_LEFT(Kind.CLIENT_CLOSE),
    CLIENT_IDLE(Kind.CLIENT_CLOSE),
    /** Closed for another connection, as there were too many. */
    CLIENT_EVICTED(Kind.CLIENT_CLOSE),
    /** Closed after an answer that announced it. */
    CLIENT_LAST_ANSWER(Kind.CLIENT_CLOSE),
    /** Its client did not read an answer. */
    CLIENT_SLOW_READER(Kind.CLIENT_CLOSE),
    /** An answer that was being streamed to it broke off. */
    CLIENT_ANSWER_BROKEN(Kind.CLIENT_CLOSE),
    CLIENT_NODE_ENDS(Kind.CLIENT_CLOSE),

    // Connections to servers.
    SERVER_CLOSED(Kind.SERVER_CLOSE),
    SERVER_IDLE(Kind.SERVER_CLOSE),
    /** More idle connections than are kept, or one closed for a new one. */
    SERVER_SURPLUS(Kind.SERVER_CLOSE),
    /** Its server drains, was restarted, or is no longer listed. */
    SERVER_LEAVING(Kind.SERVER_CLOSE),
    /** The attempt that it carried was given up. */
    SERVER_GIVEN_UP(Kind.SERVER_CLOSE),
    /** The server's answer was invalid, or came unasked. */
    SERVER_INVALID_ANSWER(Kind.SERVER_CLOSE),
    /** The server announced the close, or the connection cannot carry another request. */
    SERVER_NOT_REUSABLE(Kind.SERVER_CLOSE),
    SERVER_STALLED(Kind.SERVER_CLOSE),
    SERVER_NODE_ENDS(Kind.SERVER_CLOSE),

    // Further attempts, by the end of the one before.
    RETRY_AFTER_ERROR(Kind.RETRY),
    RETRY_AFTER_FULL(Kind.RETRY),
    RETRY_AFTER_TIMEOUT(Kind.RETRY),
    RETRY_AFTER_CONNECT_FAILURE(Kind.RETRY),
    RETRY_AFTER_RESET(Kind.RETRY),
    RETRY_AFTER_OTHER(Kind.RETRY),
    /** Another attempt while an earlier one is pending. */
    HEDGE(Kind.RETRY),

    // Attempts that were decided and then not begun.
    ATTEMPT_CLIENT_LEFT(Kind.NOT_BEGUN),
    ATTEMPT_ANSWERED(Kind.NOT_BEGUN),
    /** Its request's id came before and may have run. */
    ATTEMPT_REPEATED_ID(Kind.NOT_BEGUN),
    ATTEMPT_KEY_EXPIRED(Kind.NOT_BEGUN),
    /** Its server would not have been told the key on which its request relies. */
    ATTEMPT_KEY_WITHHELD(Kind.NOT_BEGUN),
    /** Another attempt has taken its request's streamed body. */
    ATTEMPT_BODY_CONSUMED(Kind.NOT_BEGUN),
    /** No time or no attempt was left. */
    ATTEMPT_LIMIT(Kind.NOT_BEGUN),
    ATTEMPT_NO_DESCRIPTOR(Kind.NOT_BEGUN),
    /** Its server drains, is gone or was replaced since it was decided. */
    ATTEMPT_SERVER_LEAVING(Kind.NOT_BEGUN),

    // Requests that are refused.
    REFUSED_NO_TIME_LEFT(Kind.REFUSAL),
    REFUSED_POOL_LIMIT(Kind.REFUSAL),
    REFUSED_SITE(Kind.REFUSAL),
    /** By the balancer: overload, or no server to send to. */
    REFUSED_BALANCER(Kind.REFUSAL),
    REFUSED_CONNECTION_LIMIT(Kind.REFUSAL),
    REFUSED_NODE_ENDS(Kind.REFUSAL),
    REFUSED_NO_MEMORY(Kind.REFUSAL),
    /** Its client sent more requests behind an unanswered one than are kept. */
    REFUSED_PIPELINED(Kind.REFUSAL),
    /** Its body made no progress, or not enough, within its caller's time. */
    REFUSED_BODY_STALLED(Kind.REFUSAL);

    /** What is counted. */
    public enum Kind {
        CLIENT_CLOSE, SERVER_CLOSE, RETRY, NOT_BEGUN, REFUSAL;

        /** Its name in metrics and log lines. */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    private final Kind kind;

    NodeEvent(Kind kind) {
        this.kind = kind;
    }

    public Kind kind() {
        return kind;
    }

    /** The reason's name in metrics and log lines. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** The reason of a further attempt after one that ended in this way; null if that is still pending. */
    static NodeEvent retryAfter(Outcome outcome) {
        if (outcome == null) {
            return HEDGE;
        }
        return switch (outcome) {
            case ERROR -> RETRY_AFTER_ERROR;
            case FULL -> RETRY_AFTER_FULL;
            case TIMED_OUT -> RETRY_AFTER_TIMEOUT;
            case CONNECT_FAILED -> RETRY_AFTER_CONNECT_FAILURE;
            case RESET -> RETRY_AFTER_RESET;
            case OK, CANCELLED, NOT_SENT, REJECTED -> RETRY_AFTER_OTHER;
        };
    }
}
