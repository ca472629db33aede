package onyxpaddle.node;

/** Where a request came from. It hears exactly one final answer, on the event loop, unless it left before. */
public interface Caller {
    /** Served; the answer is on loan until this returns, the arrays behind its body for longer. */
    void served(Answer answer);

    /**
     * Whether it has gone, by closing its connection. Asked right before something is sent to a server for it.
     *
     * @param unseen the loop has not looked at its sockets for long: the connection itself is looked at, or else what is known counts
     */
    default boolean left(boolean unseen) {
        return false;
    }

    /** Whether an answer may be passed on to it as it comes. */
    default boolean acceptsStreaming() {
        return false;
    }

    /**
     * The answer beginAnswer, and what it brings goes to the sink that this returns; only where it {@link #acceptsStreaming}.
     *
     * @param length of the body in bytes, or -1 where it isn't known
     */
    default AnswerSink beginAnswer(Metadata head, long length, AnswerSink.Source source) {
        throw new IllegalStateException("takes whole answers only");
    }

    /**
     * Trying again is harmless.
     *
     * @param retryAfter when to, in nanoseconds; 0 for no advice
     * @param own what a server itself said of its failure, as in {@link #failed}
     */
    void refused(long retryAfter, Answer own);

    /**
     * Failed, with no word on the effect.
     *
     * @param late whether the caller's time is over
     * @param own what the server itself said of the failure, on loan until this returns; null where it said nothing
     */
    void failed(boolean late, Answer own);
}
