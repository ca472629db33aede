package onyxpaddle.node;

import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;

/** The caller side of a protocol: a listener and its connections. Used on the event loop only. */
public interface Front {
    /**
     * Binds the listener; connections stay in its backlog until {@link #open}. The returned future completes once it is bound.
     * {@code shared}: another process may listen at the same address. Only for a node whose processes replace each other:
     * otherwise two processes that claim one port would each get a part of the connections without an error.
     */
    Future<?> listen(InetSocketAddress address, boolean shared);

    /** The address to which the listener is bound. */
    InetSocketAddress address();

    /** Starts to accept connections. */
    void open();

    /**
     * Stops accepting connections, and closes each open one with its next answer or at the idle time-out. None is closed
     * between requests before that: a request that is just being written to it would be lost.
     */
    void retire();

    /** Whether no connection is open. */
    boolean empty();

    /** Whether a request without an answer yet is, or will be, routed to this pool. */
    boolean uses(Dispatcher pool);

    /** The longest time that any caller of this front waits, in nanoseconds. */
    long maxCallerTimeout();

    /**
     * The node is stopping: answers the accepted requests, and new ones as far as the node's state allows, and calls
     * {@code done} once when nothing is left.
     */
    void end(Runnable done);

    /** Closes the listener and all connections for good. */
    void close();
}
