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
 * The way from one node to one box, on a port of its own: passes bytes on as its {@link Link} has it. What is held is kept in
 * order, up to a bound from which on it is no longer read, and so is the news of a close. Everything of a relay happens on one loop.
 *
 * <p>A silent link transmissionNs new connections all the same, as loopback can't be made to drop their first packet: to a node they
 * come up and stay silent.
 */
public final class Relay implements AutoCloseable {
    private static final int MOST_HELD = 1 << 20;
    private static final long LOOK_MS = 2;

    private final EventLoop loop;
    private final Link link;
    private final Supplier<InetSocketAddress> box;
    /** Which node comes from which address, for the boxes. */
    private final Map<SocketAddress, String> callers;
    private final String node;
    private final Channel listener;
    private final Set<Channel> open = new LinkedHashSet<>();

    /**
     * Listens from now on.
     *
     * @param link what the way does now, asked by {@code loop} for each piece
     * @param node who comes by it
     * @param box where it listens now, null where it doesn't
     * @param callers gets the address that each connection to the box comes from, for as long as it is open; safe for several threads
     */
    public Relay(EventLoop loop, Link link, String node, Supplier<InetSocketAddress> box, Map<SocketAddress, String> callers)
            throws InterruptedException {
        this.loop = loop;
        this.link = link;
        this.node = node;
        this.box = box;
        this.callers = callers;
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

    /** Where it listens, as configurations word it. */
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
                callers.put(local, node);
                open.add(other);
                other.closeFuture().addListener(f -> {
                    open.remove(other);
                    callers.remove(local);
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

    /** Ends all its connections by a reset. */
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
        private final ArrayDeque<Long> due = new ArrayDeque<>();
        private int bytes;
        private long freeAt;
        private boolean over;
        private boolean looks;

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
            due.add(Math.max(freeAt, now + link.delay()));
            bytes += next.readableBytes();
            if (bytes > MOST_HELD) {
                context.channel().config().setAutoRead(false);
            }
            pass(context.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            over = true;
            pass(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            reset(context.channel());
        }

        private void lookAgain(Channel from) {
            if (!looks) {
                looks = true;
                loop.schedule(() -> {
                    looks = false;
                    pass(from);
                }, LOOK_MS, TimeUnit.MILLISECONDS);
            }
        }

        private void pass(Channel from) {
            if (!to.isActive()) {
                held.forEach(ByteBuf::release);
                held.clear();
                from.close();
                return;
            }
            boolean wrote = false;
            while (!held.isEmpty() && !link.holdsBack(toBox) && due.peek() <= System.nanoTime()) {
                due.poll();
                ByteBuf next = held.poll();
                bytes -= next.readableBytes();
                to.write(next);
                wrote = true;
            }
            if (wrote) {
                to.flush();
            }
            if (bytes <= MOST_HELD && from.isActive()) {
                from.config().setAutoRead(true);
            }
            if (!held.isEmpty() || over && link.holdsBack(toBox)) {
                lookAgain(from);
            } else if (over) {
                to.close();
            }
        }
    }
}
