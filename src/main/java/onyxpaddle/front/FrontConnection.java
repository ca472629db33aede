package onyxpaddle.front;

import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.NodeEvent;

/** A caller's connection as seen by its front. Used on the event loop only. */
public interface FrontConnection {
    /** Closes the connection at once. */
    void close(NodeEvent reason);

    /** Checks the connection's limits on slow requests, idle time and unread answers; {@code now}: by the node's clock. */
    void sweep(long now);

    /**
     * Accounts for a stall of {@code span} nanoseconds before {@code now}: moves the start of idle and read time-outs forward by as
     * much, to {@code now} at most, as the caller may have sent something meanwhile.
     */
    void compensateStall(long span, long now);

    /**
     * Whether it can be closed without loss: no request is in progress or lies unread in its socket, and no answer is still to be
     * written to the system. Closing with unread data resets the connection, and the caller gets no answer.
     */
    boolean safeToClose();

    /** Whether an accepted request has no answer yet, or one that is not completely written to the system. */
    boolean waits();

    /** Whether a request without an answer yet is, or will be, routed to this pool. */
    boolean uses(Dispatcher pool);
}
