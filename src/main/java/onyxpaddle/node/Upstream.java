package onyxpaddle.node;

/** The server side of a protocol. It reports the end of each attempt once, through {@link Dispatcher#ended}. */
public interface Upstream {
    /** Starts an attempt. It sets {@link Attempt#written} once the server may have the complete request. */
    void send(Attempt attempt);

    /**
     * Whether each attempt of a request with this head, at whichever listed server, would tell the server the request's idempotency key.
     * Otherwise a server may not recognize a repeat of the request.
     */
    default boolean tellsKeys(Metadata head) {
        return true;
    }

    /** Stops an attempt that has not ended. The calling code reports the outcome; the upstream reports nothing more for it. */
    void giveUp(Attempt attempt);

    /**
     * Begins to pass on the attempt's answer to its caller, if the answer has begun to arrive and can be passed on in parts. Otherwise
     * returns false.
     */
    default boolean passOn(Attempt attempt) {
        return false;
    }
}
