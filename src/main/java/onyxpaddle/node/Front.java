package onyxpaddle.node;

import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;

/** One protocol towards callers: a listener and its connections. Used on the event loop alone. */
public interface Front {
    /**
     * Binds the listener; connections are left in its backlog until {@link #open}. What comes is done once it is bound.
     * {@code shared}: another process may listen at the address, too. Only for a node whose processes replace each other:
     * elsewhere two that claim one port would each take a part of the connections, and neither be told.
     */
    Future<?> listen(InetSocketAddress address, boolean shared);

    /** Where it is bound. */
    InetSocketAddress address();

    /** Takes connections from now on. */
    void open();

    /**
     * Takes no further connection, and ends each open one with its next answer or when it has been idle for as long as
     * any may. None is closed between requests: one that is just written to it would be lost.
     */
    void retire();

    /** Whether no connection is open. */
    boolean empty();

    /** Whether a request that is not yet answered is, or will be, this pool's. */
    boolean uses(Dispatcher pool);

    /** The longest that any caller here waits, in nanoseconds. */
    long maxCallerTimeout();

    /**
     * The node's state has come to its end: answers what is taken, and what still comes as far as that state lets it, and
     * calls {@code done} once when nothing is left.
     */
    void end(Runnable done);

    /** Closes it for good, with all its connections. */
    void close();
}
