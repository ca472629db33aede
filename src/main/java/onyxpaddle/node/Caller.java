package onyxpaddle.node;

/** The source of a request. It gets exactly one final answer, on the event loop, unless it disconnects before. */
public interface Caller {
    /** The request succeeded. The answer is valid until this returns, the arrays behind its body for longer. */
    void served(Answer answer);

    /**
     * Whether the caller has closed its connection. Checked right before an attempt is sent for it, so it must ask the connection itself:
     * the close may lie unread behind the request, however recently the event loop has polled.
     */
    default boolean left() {
        return false;
    }

    /**
     * Whether input of the caller lies unread that may hide its close, although reading goes on: then {@link #left} is to be asked again
     * before an attempt begins.
     */
    default boolean mayHaveLeft() {
        return false;
    }

    /** Whether answers may be streamed to it. */
    default boolean acceptsStreaming() {
        return false;
    }

    /**
     * Starts a streamed answer, whose body goes to the returned sink; called only if it {@link #acceptsStreaming}.
     *
     * @param length of the body in bytes, or -1 if unknown
     */
    default AnswerSink beginAnswer(Metadata head, long length, AnswerSink.Source source) {
        throw new IllegalStateException("caller does not accept streamed answers");
    }

    /**
     * The request is refused.
     *
     * @param refusal whether it may have run, and what a retry needs to do no harm
     * @param retryAfter when to retry, in nanoseconds from now; 0 for no advice
     * @param own a server's own answer on its failure, as in {@link #failed}
     */
    void refused(Refusal refusal, long retryAfter, Answer own);

    /**
     * The request failed; whether it took effect is unknown.
     *
     * @param late whether the request's deadline has passed
     * @param own the server's own answer on the failure, valid until this returns; null if it gave none
     */
    void failed(boolean late, Answer own);
}
