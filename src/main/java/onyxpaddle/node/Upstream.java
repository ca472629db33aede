package onyxpaddle.node;

/** One protocol towards servers. It reports the end of each attempt once, by {@link Dispatcher#ended}. */
public interface Upstream {
    /** Starts an attempt. It sets {@link Attempt#written} once the server may have the whole of the request. */
    void send(Attempt attempt);

    /** Stops an attempt that has not ended; the caller says how it ended, and nothing is reported for it after. */
    void giveUp(Attempt attempt);
}
