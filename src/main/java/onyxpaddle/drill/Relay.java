package onyxpaddle.drill;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * A TCP proxy from one node to one box, on a port of its own, which forwards data as its {@link Link} dictates. Held data is kept in
 * order, and reading stops above a limit; a close is held as well. Each relay runs on a single event loop.
 *
 * <p>A silent link still accepts new connections, because loopback cannot be made to drop SYN packets: a node sees a connection that is
 * established and stays silent.
 */
public final class Relay implements AutoCloseable {
    private static final int MAX_HELD_BYTES = 1 << 20;
    private static final long RETRY_MS = 2;

    private final EventLoop loop;
    private final Link link;
    private final Supplier<InetSocketAddress> box;
    /** The node behind each connection to a box, by local address. */
    private final Map<SocketAddress, String> nodesByConnection;
    private final String node;
    private final Channel listener;
    private final Set<Channel> open = new LinkedHashSet<>();

    /**
     * Binds a port and starts to listen.
     *
     * @param link the state of the link; read on {@code loop} for each buffer
     * @param node the node that connects
     * @param box supplies the address of the box; null while it does not listen
     * @param nodesByConnection receives the local address of each open connection to the box; must be thread-safe
     */
    public Relay(EventLoop loop, Link link, String node, Supplier<InetSocketAddress> box, Map<SocketAddress, String> nodesByConnection)
            throws InterruptedException {
        this.loop = loop;
        this.link = link;
        this.node = node;
        this.box = box;
        this.nodesByConnection = nodesByConnection;
        this.listener = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel channel) {
                    accepted(channel);
                }
            }).bind("127.0.0.1", 0).sync().channel();
    }

    /** The listening address as {@code host:port}. */
    public String address() {
        return "127.0.0.1:" + ((InetSocketAddress) listener.localAddress()).getPort();
    }

    private void accepted(SocketChannel from) {
        InetSocketAddress to = box.get();
        if (to == null || link.refusesConnections()) {
            reset(from);
            return;
        }
        open.add(from);
        from.closeFuture().addListener(f -> open.remove(from));
        new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.AUTO_READ, false)
            .handler(new ChannelInboundHandlerAdapter())
            .connect(to).addListener((io.netty.channel.ChannelFuture done) -> {
                if (!done.isSuccess()) {
                    reset(from);
                    return;
                }
                Channel other = done.channel();
                SocketAddress local = other.localAddress();
                nodesByConnection.put(local, node);
                open.add(other);
                other.closeFuture().addListener(f -> {
                    open.remove(other);
                    nodesByConnection.remove(local);
                });
                from.pipeline().addLast(new Pipe(other, true));
                other.pipeline().addLast(new Pipe(from, false));
                from.config().setAutoRead(true);
                other.config().setAutoRead(true);
            });
    }

    private static void reset(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    /** Resets all connections. */
    public void reset() {
        loop.execute(() -> List.copyOf(open).forEach(Relay::reset));
    }

    @Override
    public void close() {
        listener.close();
        reset();
    }

    /** One direction of a connection. */
    private final class Pipe extends ChannelInboundHandlerAdapter {
        private final Channel to;
        private final boolean toBox;
        private final ArrayDeque<ByteBuf> held = new ArrayDeque<>();
        private final ArrayDeque<Long> dueAt = new ArrayDeque<>();
        private int heldBytes;
        private long freeAt;
        private boolean sourceClosed;
        private boolean retryScheduled;

        Pipe(Channel to, boolean toBox) {
            this.to = to;
            this.toBox = toBox;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf next = (ByteBuf) message;
            long now = System.nanoTime();
            freeAt = Math.max(freeAt, now) + link.transmissionNs(next.readableBytes());
            held.add(next);
            dueAt.add(Math.max(freeAt, now + link.delayNs()));
            heldBytes += next.readableBytes();
            if (heldBytes > MAX_HELD_BYTES) {
                context.channel().config().setAutoRead(false);
            }
            forward(context.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            sourceClosed = true;
            forward(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            reset(context.channel());
        }

        private void retryLater(Channel from) {
            if (!retryScheduled) {
                retryScheduled = true;
                loop.schedule(() -> {
                    retryScheduled = false;
                    forward(from);
                }, RETRY_MS, TimeUnit.MILLISECONDS);
            }
        }

        private void forward(Channel from) {
            if (!to.isActive()) {
                held.forEach(ByteBuf::release);
                held.clear();
                from.close();
                return;
            }
            boolean wrote = false;
            while (!held.isEmpty() && !link.holdsBack(toBox) && dueAt.peek() <= System.nanoTime()) {
                dueAt.poll();
                ByteBuf next = held.poll();
                heldBytes -= next.readableBytes();
                to.write(next);
                wrote = true;
            }
            if (wrote) {
                to.flush();
            }
            if (heldBytes <= MAX_HELD_BYTES && from.isActive()) {
                from.config().setAutoRead(true);
            }
            if (!held.isEmpty() || sourceClosed && link.holdsBack(toBox)) {
                retryLater(from);
            } else if (sourceClosed) {
                to.close();
            }
        }
    }
}
