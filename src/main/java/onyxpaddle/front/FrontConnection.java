package onyxpaddle.front;

import onyxpaddle.node.Dispatcher;

/** One caller's connection, as its front sees it. Used on the event loop alone. */
public interface FrontConnection {
    /** Closes it at once. */
    void close();

    /** PollTimes whether it has been slow, idle or unread for longer than it may; {@code now}: by the node's clock. */
    void sweep(long now);

    /**
     * The node has not listened for so many nanoseconds before {@code now}: what it has silence and slowness counted from moves on
     * by as much, to {@code now} at most, as the caller may have spoken meanwhile.
     */
    void compensateStall(long span, long now);

    /**
     * Whether it can be closed with nothing lost: no request is taken, or lies unread in its socket, and no answer is on its way to
     * the system. Closing over what is unread resets the connection, and its caller never hears.
     */
    boolean safeToClose();

    /** Whether a request that was taken has no answer yet, or one that the system has not wholly got. */
    boolean waits();

    /** Whether a request that is not yet answered is, or will be, this pool's. */
    boolean uses(Dispatcher pool);
}
