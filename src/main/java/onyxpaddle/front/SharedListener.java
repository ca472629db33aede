package onyxpaddle.front;

import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.internal.SocketUtils;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import onyxpaddle.node.ArrivalBound;
import onyxpaddle.node.Clock;
import onyxpaddle.node.Log;
import onyxpaddle.node.NodeDelay;
import onyxpaddle.node.NodeEvents;
import onyxpaddle.socket.PollableChannel;

/**
 * A listener that two processes of a node may bind to one address, and that one of them can leave without resetting the
 * connections in its accept queue. Closing a listener of a SO_REUSEPORT group resets the connections that the system has
 * queued for it, rather than moving them to the other process's queue; so every close of a listener should go through
 * {@link #leave}. Connections that arrive between the last accept and the close, some microseconds, are still reset.
 */
public class SharedListener extends NioServerSocketChannel {
    /** Both processes must set this before they bind. The first can't know whether there will be a second, so it always does. */
    public static final ChannelOption<Boolean> REUSE_PORT = NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT);
    /** By then the selector has released the channel; before that the JDK defers a close to its next select. */
    private static final long DEREGISTER_DELAY_MS = 2;
    /** How often a failed accept is tried again, and for how long, before a listener closes. */
    private static final long DRAIN_RETRY_MS = 5;
    private static final long MAX_DRAIN_NANOS = 500_000_000L;

    private final Clock clock;
    private final NodeEvents events;
    private final ArrivalBound arrival;
    private boolean leaving;
    private long leavingSince;

    /** {@code events}: where the time for which connections wait to be accepted is counted. */
    SharedListener(Clock clock, NodeEvents events) {
        this.clock = clock;
        this.events = events;
        this.arrival = new ArrivalBound(clock.now());
    }

    @Override
    protected void doBeginRead() throws Exception {
        if (isRegistered()) {
            SelectionKey key = registration().attachment();
            if ((key.interestOps() & SelectionKey.OP_ACCEPT) == 0) {
                arrival.watched(clock.now());
            }
        }
        super.doBeginRead();
    }

    /** Accepts all queued connections, then closes. Only the first call has an effect; called on the event loop. */
    public void leave() {
        if (leaving || !isOpen()) {
            return;
        }
        leaving = true;
        leavingSince = clock.now();
        deregister().addListener(f -> eventLoop().schedule(this::drainAndClose, DEREGISTER_DELAY_MS, TimeUnit.MILLISECONDS));
    }

    /** As in Netty, except for the type of the accepted channels. */
    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        PollableChannel next = acceptNext(clock.lastPoll());
        if (next == null) {
            return 0;
        }
        accepted.add(next);
        return 1;
    }

    /** Accepts a connection; null if none is queued. */
    private PollableChannel acceptNext(long lastPoll) throws IOException {
        long now = clock.now();
        long bound = arrival.get(lastPoll);
        SocketChannel next = accept();
        arrival.read(now, next == null, clock.turnStart());
        if (next == null) {
            return null;
        }
        events.record(NodeDelay.ACCEPT, now - bound, now);
        return new PollableChannel(this, next, clock, bound);
    }

    /** Accepts a connection from the system; null if none is queued. */
    SocketChannel accept() throws IOException {
        return SocketUtils.accept(javaChannel());
    }

    private void drainAndClose() {
        try {
            // Polls no longer report the queue.
            for (PollableChannel pending = acceptNext(Long.MIN_VALUE); pending != null; pending = acceptNext(Long.MIN_VALUE)) {
                pipeline().fireChannelRead(pending);
            }
            javaChannel().close();
        } catch (IOException e) {
            // Such as a lack of descriptors, which answered connections give back: a close now would reset what is queued.
            if (clock.now() - leavingSince < MAX_DRAIN_NANOS) {
                pipeline().fireChannelReadComplete();
                eventLoop().schedule(this::drainAndClose, DRAIN_RETRY_MS, TimeUnit.MILLISECONDS);
                return;
            }
            Log.failure("accepting queued connections of a closing listener failed", e);
        }
        pipeline().fireChannelReadComplete();
        close();
    }
}
