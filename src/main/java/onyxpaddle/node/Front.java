package onyxpaddle.node;

import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;

/** One protocol towards callers: a listener and its connections. Used on the event loop alone. */
public interface Front {
    /** Binds the listener; connections are left in its backlog until {@link #open}. What comes is done once it is bound. */
    Future<?> listen(InetSocketAddress address);

    /** Where it is bound. */
    InetSocketAddress address();

    /** Takes connections from now on. */
    void open();

    /** Takes no further connection, and ends those open without losing what is taken. */
    void retire();

    /** Whether no connection is open. */
    boolean empty();

    /** Whether a request that is not yet answered is, or will be, this pool's. */
    boolean uses(Dispatcher pool);

    /** Answers what is taken, and calls {@code done} when nothing is left. */
    void drain(Runnable done);

    /** Closes it for good, with all its connections. */
    void close();
}
