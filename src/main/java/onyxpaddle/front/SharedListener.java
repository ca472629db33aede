package onyxpaddle.front;

import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.internal.SocketUtils;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import onyxpaddle.node.Log;
import onyxpaddle.socket.PollableChannel;

/**
 * A listener that two processes of one node may hold at one address, and that one of them can leave without resetting what
 * waits in its queue. Guards against connections that the system has taken for a process that ends: closing a listener of a
 * SO_REUSEPORT group resets them, and another process's queue does not get them. It should cover any end of a listener. What
 * comes between the last look at the queue and the close, some microseconds, is still reset.
 */
public final class SharedListener extends NioServerSocketChannel {
    /** Both processes must say so before they bind; the first can't know that there will be a second, so it does always. */
    public static final ChannelOption<Boolean> REUSE_PORT = NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT);
    /** By then the selector has let go of the channel; before, the JDK puts a close off to its next select. */
    private static final long UNREGISTERED_MS = 2;

    private boolean leaving;

    /** Takes in all that waits, and closes. Once, on the event loop. */
    public void leave() {
        if (leaving || !isOpen()) {
            return;
        }
        leaving = true;
        deregister().addListener(f -> eventLoop().schedule(this::takeInAndClose, UNREGISTERED_MS, TimeUnit.MILLISECONDS));
    }

    /** As Netty does it, but for what is made of a connection. */
    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        SocketChannel next = SocketUtils.accept(javaChannel());
        if (next == null) {
            return 0;
        }
        accepted.add(new PollableChannel(this, next));
        return 1;
    }

    private void takeInAndClose() {
        ServerSocketChannel listener = javaChannel();
        try {
            for (SocketChannel waiting = listener.accept(); waiting != null; waiting = listener.accept()) {
                pipeline().fireChannelRead(new PollableChannel(this, waiting));
            }
            listener.close();
            pipeline().fireChannelReadComplete();
        } catch (IOException e) {
            Log.failure("taking in what waits at a listener", e);
        } finally {
            close();
        }
    }
}
