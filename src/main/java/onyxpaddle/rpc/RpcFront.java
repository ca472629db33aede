package onyxpaddle.rpc;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import onyxpaddle.node.Budget;
import onyxpaddle.node.Clock;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.Front;
import onyxpaddle.node.SharedLimit;
import onyxpaddle.node.Sockets;

/** The listener for callers by MessagePack-RPC, and their connections. */
public final class RpcFront implements Front {
    private static final long SWEEP_MS = 100;
    private static final long MILLI = 1_000_000L;
    /** How long a front that a reload took away goes on before it refuses what comes. */
    private static final long RETIRED_FOR = 5_000 * MILLI;
    /** How long after the drain began calls are still refused rather than cut off: those that were on their way. */
    private static final long REFUSES_FOR = 300 * MILLI;
    private static final long HIGHEST_UNREAD = 4L << 20;

    final Clock clock;
    final RpcCounts counts;
    RpcCalls calls;
    private final Budget budget;
    private final SharedLimit.Share connections;
    private final EventLoop loop;
    private final ByteBufAllocator allocator;
    /** The one that came first is first. */
    private final Set<CallerConnection> open = new LinkedHashSet<>();
    private Channel listener;
    private Future<?> sweeping;
    private Future<?> draining;
    private boolean opened;
    private boolean refuses;
    private long retiredAt;
    private long drainingSince;

    public RpcFront(EventLoop loop, ByteBufAllocator allocator, Clock clock, Budget budget, RpcCounts counts) {
        this.loop = loop;
        this.allocator = allocator;
        this.clock = clock;
        this.budget = budget;
        this.counts = counts;
        this.connections = budget.front();
    }

    @Override
    public ChannelFuture listen(InetSocketAddress address) {
        sweeping = loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 4096)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.ALLOCATOR, allocator)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(Sockets.READ_SIZE))
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(32 * 1024, 64 * 1024))
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(new CallerConnection(RpcFront.this, channel));
                }
            })
            .bind(address);
        listener = bound.channel();
        return bound;
    }

    @Override
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** From now on calls are read by these procedures; those read before go on as they were. */
    public void use(RpcCalls next) {
        calls = next;
    }

    @Override
    public void open() {
        opened = true;
        listener.config().setAutoRead(true);
    }

    @Override
    public void retire() {
        retiredAt = clock.now();
        listener.close();
    }

    @Override
    public boolean empty() {
        return open.isEmpty();
    }

    @Override
    public boolean uses(Dispatcher pool) {
        return open.stream().anyMatch(c -> c.uses(pool));
    }

    @Override
    public void close() {
        retire();
        sweeping.cancel(false);
        if (draining != null) {
            draining.cancel(false);
        }
        Set.copyOf(open).forEach(CallerConnection::close);
        connections.leave();
    }

    // ---- connections ----

    void opened(CallerConnection c) {
        open.add(c);
        connections.takeAnyway(1);
        if (crowded()) {
            // One without calls goes in its place; what is taken is never given up for it.
            open.stream().filter(o -> o != c && o.idle()).findFirst().ifPresent(o -> {
                closed(o);
                o.close();
            });
        }
        if (connections.room() <= 0) {
            listener.config().setAutoRead(false);
        }
    }

    void closed(CallerConnection c) {
        if (open.remove(c)) {
            connections.giveBack(1);
        }
        acceptAgain();
    }

    private void acceptAgain() {
        if (opened && listener.isOpen() && !listener.config().isAutoRead() && connections.room() > 0) {
            listener.config().setAutoRead(true);
        }
    }

    /** Whether there are so many callers that a further call is turned away. */
    boolean crowded() {
        return budget.crowded(connections);
    }

    /** Whether calls that come are turned away, as the front ends. */
    boolean refuses() {
        return refuses;
    }

    /** The most bytes of answers that a caller may leave unread. */
    long mostUnread() {
        return Math.max(HIGHEST_UNREAD, calls.largest());
    }

    private void sweep() {
        long now = clock.now();
        refuses |= retiredAt > 0 && now - retiredAt > RETIRED_FOR;
        for (CallerConnection c : open.toArray(new CallerConnection[0])) {
            c.sweep(now);
        }
        acceptAgain();
    }

    // ---- the planned end ----

    /**
     * Takes no further call: what was taken is answered, what comes is refused, and each connection closes once it has
     * no call open and those on their way have had time to come.
     */
    @Override
    public void drain(Runnable done) {
        if (draining != null) {
            return;
        }
        drainingSince = clock.now();
        refuses = true;
        listener.close();
        draining = loop.scheduleWithFixedDelay(() -> {
            if (open.isEmpty()) {
                draining.cancel(false);
                done.run();
            }
        }, 50, 50, TimeUnit.MILLISECONDS);
    }

    /** Whether connections without calls close now. */
    boolean ends(long now) {
        return refuses && now - Math.max(drainingSince, retiredAt) > REFUSES_FOR;
    }
}
