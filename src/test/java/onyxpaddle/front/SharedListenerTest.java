package onyxpaddle.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import onyxpaddle.node.Clock;
import onyxpaddle.node.NodeEvents;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A listener that closes leaves no connection behind which its queue holds. */
class SharedListenerTest {
    private static final int TIMEOUT_S = 20;
    private static final int CLIENTS = 5;
    private static final int QUEUE = 50;

    /** Fails to accept some times, as when the process has no descriptor left. */
    private static final class FailingListener extends SharedListener {
        private int failures;

        FailingListener(int failures) {
            super(new Clock(), new NodeEvents());
            this.failures = failures;
        }

        @Override
        SocketChannel accept() throws IOException {
            if (failures-- > 0) {
                throw new IOException("Too many open files");
            }
            return super.accept();
        }
    }

    /** Guards against queued connections that are reset, as an accept fails for a moment while the listener closes. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 10})
    void queuedConnectionsAreAcceptedThoughAcceptsFailForAMoment(int failures) throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        List<Socket> clients = new ArrayList<>();
        AtomicInteger accepted = new AtomicInteger();
        try {
            SharedListener listener = (SharedListener) new ServerBootstrap().group(group).channelFactory(() -> new FailingListener(failures))
                .option(ChannelOption.SO_BACKLOG, QUEUE).option(ChannelOption.AUTO_READ, false).childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted.incrementAndGet();
                    }
                }).bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0)).sync().channel();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(new Socket(listener.localAddress().getAddress(), listener.localAddress().getPort()));
            }
            listener.eventLoop().submit(listener::leave).sync();
            assertTrue(((Channel) listener).closeFuture().await(TIMEOUT_S, TimeUnit.SECONDS), "it does not close");
            listener.eventLoop().submit(() -> { }).sync();
            assertEquals(CLIENTS, accepted.get());
        } finally {
            for (Socket client : clients) {
                client.close();
            }
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }
}
