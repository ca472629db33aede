package onyxpaddle.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import onyxpaddle.drain.NodeState;
import onyxpaddle.handover.SharedListener;
import onyxpaddle.node.Budget;
import onyxpaddle.node.Clock;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.Front;
import onyxpaddle.node.SharedLimit;
import onyxpaddle.node.Sockets;

/** The listener and its client connections: how many are open, which of them are idle, and the planned end. */
public final class HttpFront implements Front {
    private static final int LONGEST_LINE = 8 * 1024;
    private static final int LONGEST_HEAD = 16 * 1024;
    private static final long SWEEP_MS = 250;
    private static final long END_STEP_MS = 50;
    private static final long MILLI = 1_000_000L;
    /** Idle connections of a front that is gone for its clients. */
    private static final long RETIRED_IDLE = 5_000 * MILLI;

    final Clock clock;
    RequestDialect dialect;
    private final Budget budget;
    private final SharedLimit.Share connections;
    private final EventLoop loop;
    private final ByteBufAllocator allocator;
    private final BooleanSupplier ready;
    private final NodeState state;
    private final Set<ClientConnection> open = new HashSet<>();
    /** Connections whose request is not whole, or whose last answer is given, the longest so first. */
    private final LinkedHashSet<ClientConnection> unfinished = new LinkedHashSet<>();
    /** Connections between requests, the one that has been so for the longest first. */
    private final LinkedHashSet<ClientConnection> idle = new LinkedHashSet<>();
    private SharedListener listener;
    private Future<?> sweeping;
    private boolean opened;
    private boolean retired;
    private Future<?> ending;
    private long acceptedAt;

    /** {@code dialect}: null where {@link #use} gives it before {@link #open}. */
    public HttpFront(EventLoop loop, ByteBufAllocator allocator, Clock clock, Budget budget, RequestDialect dialect,
            BooleanSupplier ready, NodeState state) {
        this.loop = loop;
        this.allocator = allocator;
        this.clock = clock;
        this.budget = budget;
        this.connections = budget.front();
        this.dialect = dialect;
        this.ready = ready;
        this.state = state;
    }

    @Override
    public ChannelFuture listen(InetSocketAddress address) {
        return listen(address, true, false);
    }

    @Override
    public InetSocketAddress address() {
        return listener.localAddress();
    }

    /**
     * {@code wait}: connections are left in the backlog until {@link #open}; {@code shared}: another process may listen at
     * the address, too. Only for a node whose processes replace each other: elsewhere two that claim one port would each
     * take a part of the connections, and neither be told.
     */
    public ChannelFuture listen(InetSocketAddress address, boolean wait, boolean shared) {
        sweeping = loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(SharedListener.class)
            .option(ChannelOption.SO_BACKLOG, 4096)
            .option(SharedListener.REUSE_PORT, shared)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.AUTO_READ, !wait)
            .childOption(ChannelOption.ALLOCATOR, allocator)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(Sockets.READ_SIZE))
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(16 * 1024, 32 * 1024))
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel channel) {
                    ClientConnection connection = new ClientConnection(HttpFront.this, channel);
                    // Not HttpServerCodec: it breaks the connection off where much is sent ahead, and what is taken with it.
                    channel.pipeline().addLast(connection.byteWatch(), new HttpRequestDecoder(new HttpDecoderConfig()
                        .setMaxInitialLineLength(LONGEST_LINE).setMaxHeaderSize(LONGEST_HEAD)
                        .setMaxChunkSize(Sockets.READ_SIZE)), new HttpResponseEncoder(), connection);
                }
            })
            .bind(address);
        listener = (SharedListener) bound.channel();
        opened = !wait;
        return bound;
    }

    boolean ready() {
        return state.wantsWork() && ready.getAsBoolean();
    }

    /** Whether a caller with so much patience has its answer before the node ends. */
    boolean outlasts(long patience) {
        return state.outlasts(patience, clock.now());
    }

    /** Whether the answer that is given now leaves its connection open. */
    boolean keepsConnections() {
        return !retired && state.keepsConnections(clock.now());
    }

    /** Whether a request that has not come whole is turned away, as the node is being emptied. */
    boolean turnsAway() {
        return state.turnsAway(clock.now());
    }

    /** Whether a connection that has been between requests since then is closed, as the node is being emptied. */
    boolean closesIdle(long since, long now) {
        return state.closesIdle(since, now);
    }

    // ---- reload ----

    /** From now on requests are read by this dialect; those read before go on as they were. */
    public void use(RequestDialect next) {
        dialect = next;
    }

    /** Takes connections from now on, where {@link #listen} was told to wait. */
    @Override
    public void open() {
        opened = true;
        listener.config().setAutoRead(true);
    }

    /**
     * Takes no further connection, and ends each open one with its next answer or when it has been idle for as long as
     * any may. None is closed between requests: one that is just written to it would be lost.
     */
    @Override
    public void retire() {
        retired = true;
        listener.leave();
    }

    /** How long a connection may stay open between requests; {@code asked}: it has asked for something before. */
    long longestIdle(boolean asked) {
        long longest = asked ? dialect.longestIdle() : dialect.longestSilence();
        return retired ? Math.min(longest, RETIRED_IDLE) : longest;
    }

    /** Closes it for good, with all its connections. */
    @Override
    public void close() {
        retired = true;
        listener.close();
        sweeping.cancel(false);
        for (ClientConnection c : open.toArray(new ClientConnection[0])) {
            c.close();
        }
        connections.leave();
    }

    @Override
    public boolean empty() {
        return open.isEmpty();
    }

    /** Whether a request that is not yet answered is, or will be, this pool's. */
    @Override
    public boolean uses(Dispatcher pool) {
        for (ClientConnection c : open) {
            if (c.uses(pool)) {
                return true;
            }
        }
        return false;
    }

    // ---- how many are open ----

    /**
     * Takes a connection in. Where there are many, one that has no request open goes in its place. Guards against
     * clients that hold connections and ask nothing, or never come to an end with asking; what is taken is never
     * given up for it. Under such a flood it may cut off a slow but honest client.
     */
    void opened(ClientConnection c) {
        acceptedAt = clock.now();
        open.add(c);
        connections.takeAnyway(1);
        if (crowded()) {
            LinkedHashSet<ClientConnection> from = idle.isEmpty() ? unfinished : idle;
            if (!from.isEmpty()) {
                // It is let go of here and now: its own word that it has closed comes only after further accepts.
                ClientConnection evicted = from.iterator().next();
                closed(evicted);
                evicted.close();
            }
        }
        if (connections.room() <= 0) {
            // What waits in the backlog is accepted as far as its client knows: it is taken in again as soon as
            // any other connection has closed.
            listener.config().setAutoRead(false);
        }
    }

    void closed(ClientConnection c) {
        if (open.remove(c)) {
            connections.giveBack(1);
        }
        idle.remove(c);
        unfinished.remove(c);
        if (connections.room() > 0 && listener.isOpen()) {
            listener.config().setAutoRead(true);
        }
    }

    /** Whether there are so many clients that a further request is turned away. */
    boolean crowded() {
        return budget.crowded(connections);
    }

    void entered(ClientConnection c, ClientConnection.State state) {
        idle.remove(c);
        unfinished.remove(c);
        switch (state) {
            case IDLE -> idle.add(c);
            case RECEIVING, CLOSING -> unfinished.add(c);
            case WAITING -> { }
        }
    }

    private void sweep() {
        long now = clock.now();
        for (ClientConnection c : open.toArray(new ClientConnection[0])) {
            c.checkProgress(now);
        }
        if (!listener.config().isAutoRead() && opened && connections.room() > 0 && listener.isOpen()) {
            // Another front may have given back what this one waits for.
            listener.config().setAutoRead(true);
        }
    }

    // ---- the planned end ----

    /**
     * The node's state has come to its end: answers what is taken and what still comes as long as its callers' time runs
     * out before SIGKILL may come, and calls {@code done} when nothing is left. Connections in the backlog count as taken, so the listener stays until
     * none comes any more; open ones are kept to the last, as their clients may have no other node to turn to just
     * then. Should SIGKILL come sooner than it is said to, more is lost this way than by closing at once.
     */
    @Override
    public void drain(Runnable done) {
        end(false, done);
    }

    /** As {@link #drain}; {@code replaced}: another process listens in this one's place. */
    public void end(boolean replaced, Runnable done) {
        if (ending == null) {
            state.end(clock.now(), replaced, dialect.longestPatience());
            ending = loop.scheduleWithFixedDelay(() -> endStep(done), 1, END_STEP_MS, TimeUnit.MILLISECONDS);
        }
    }

    private boolean noneWaits() {
        for (ClientConnection c : open) {
            if (c.waits()) {
                return false;
            }
        }
        return true;
    }

    private void endStep(Runnable done) {
        long now = clock.now();
        if (listener.isOpen() && !state.closesListener(acceptedAt, now)) {
            return;
        }
        if (listener.isOpen()) {
            listener.leave();
            return;
        }
        sweep();
        if (noneWaits() && (open.isEmpty() || state.over(now))) {
            ending.cancel(false);
            done.run();
        }
    }
}
