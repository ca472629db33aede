package onyxpaddle.front;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import onyxpaddle.drain.NodeState;
import onyxpaddle.node.ResourceBudget;
import onyxpaddle.node.Clock;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.Front;
import onyxpaddle.node.SharedLimit;
import onyxpaddle.node.SocketBuffers;
import onyxpaddle.socket.PollableChannel;

/**
 * What a front does whatever its protocol: a listener and when it takes connections, how many are open and which of them
 * goes when there are too many, the regular look at each, and the planned end. When a node lets go of what is
 * {@link NodeState}'s to say; a protocol says what an idle connection is and how it is told.
 */
public abstract class ListeningFront<C extends FrontConnection> implements Front {
    private static final int BACKLOG = 4096;
    private static final long END_STEP_MS = 50;
    /** What comes in the end's last moment is turned away for so long still: two steps, of the 0.15 s before SIGKILL may come. */
    private static final long LAST_WORDS = 100_000_000L;

    /** What a front shares with the rest of its node. */
    public record Surroundings(EventLoop loop, ByteBufAllocator allocator, Clock clock, ResourceBudget budget, NodeState state) {
    }

    protected final Clock clock;
    protected final NodeState state;
    private final Surroundings around;
    private final SharedLimit.Share connections;
    private final long sweepMs;
    private final WriteBufferWaterMark marks;
    private final StallDetector attention;
    /** The one that came first is first. */
    private final Set<C> open = new LinkedHashSet<>();
    private SharedListener listener;
    private Future<?> sweeping;
    private Future<?> ending;
    private boolean opened;
    private boolean retired;
    private long acceptedAt;

    /** {@code sweepMs}: how often each connection is looked at; {@code marks}: of what a connection holds unwritten, in bytes. */
    protected ListeningFront(Surroundings around, long sweepMs, WriteBufferWaterMark marks) {
        this.around = around;
        this.clock = around.clock();
        this.state = around.state();
        this.connections = around.budget().front();
        this.sweepMs = sweepMs;
        this.marks = marks;
        this.attention = new StallDetector(TimeUnit.MILLISECONDS.toNanos(sweepMs));
    }

    // ---- what a protocol adds ----

    /** Sets up a connection that has just come. */
    protected abstract void begin(PollableChannel channel);

    /** The connection that goes where there are too many, {@code newest} being the last that came; null for none. */
    protected abstract C evictionCandidate(C newest);

    /** A connection is gone. */
    protected void gone(C connection) {
    }

    /** Whether its listener closes now, as the process ends. */
    protected boolean closesListener(long now) {
        return state.closesListener(acceptedAt, now);
    }

    // ---- the listener ----

    @Override
    public ChannelFuture listen(InetSocketAddress address, boolean shared) {
        sweeping = around.loop().scheduleWithFixedDelay(this::sweep, sweepMs, sweepMs, TimeUnit.MILLISECONDS);
        ChannelFuture bound = new ServerBootstrap().group(around.loop()).channel(SharedListener.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(SharedListener.REUSE_PORT, shared)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.ALLOCATOR, around.allocator())
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(SocketBuffers.READ_SIZE))
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, marks)
            .childHandler(new ChannelInitializer<PollableChannel>() {
                @Override
                protected void initChannel(PollableChannel channel) {
                    begin(channel);
                }
            })
            .bind(address);
        listener = (SharedListener) bound.channel();
        return bound;
    }

    @Override
    public InetSocketAddress address() {
        return listener.localAddress();
    }

    @Override
    public void open() {
        opened = true;
        listener.config().setAutoRead(true);
    }

    @Override
    public void retire() {
        retired = true;
        listener.leave();
    }

    protected boolean retired() {
        return retired;
    }

    @Override
    public void close() {
        retired = true;
        listener.close();
        sweeping.cancel(false);
        if (ending != null) {
            ending.cancel(false);
        }
        List.copyOf(open).forEach(FrontConnection::close);
        connections.leave();
    }

    // ---- how many are open ----

    @Override
    public boolean empty() {
        return open.isEmpty();
    }

    @Override
    public boolean uses(Dispatcher pool) {
        for (C c : open) {
            if (c.uses(pool)) {
                return true;
            }
        }
        return false;
    }

    protected Set<C> connections() {
        return open;
    }

    /**
     * Takes a connection in. Where there are many, one that has no request open goes in its place. Guards against
     * callers that hold connections and ask nothing, or never come to an end with asking; what is taken is never
     * given up for it. Under such a flood it may cut off a slow but honest caller.
     */
    public void opened(C c) {
        acceptedAt = clock.now();
        open.add(c);
        connections.forceTake(1);
        C goes = nearConnectionLimit() ? evictionCandidate(c) : null;
        if (goes != null) {
            // It is let go of here and now: its own word that it has closed comes only after further accepts.
            closed(goes);
            goes.close();
        }
        if (connections.room() <= 0) {
            // What waits in the backlog is accepted as far as its caller knows: it is taken in again as soon as
            // any other connection has closed.
            listener.config().setAutoRead(false);
        }
    }

    public void closed(C c) {
        if (open.remove(c)) {
            connections.giveBack(1);
        }
        gone(c);
        acceptAgain();
    }

    private void acceptAgain() {
        if (opened && listener.isOpen() && !listener.config().isAutoRead() && connections.room() > 0) {
            listener.config().setAutoRead(true);
        }
    }

    /** Whether there are so many callers that a further request is turned away. */
    public boolean nearConnectionLimit() {
        return around.budget().nearConnectionLimit(connections);
    }

    /**
     * PollTimes at each connection. Guards against a process that goes on after it stood still and closes, before it reads, the
     * connections on which requests came meanwhile: each is a request lost. A caller that is silent on purpose keeps its
     * connection for as much longer as the node stood still.
     */
    private void sweep() {
        long now = clock.now();
        long stood = attention.looks(now);
        for (C c : List.copyOf(open)) {
            if (stood > 0) {
                c.compensateStall(stood, now);
            }
            c.sweep(now);
        }
        // Another front may have given back what this one waits for.
        acceptAgain();
    }

    // ---- the planned end ----

    @Override
    public void end(Runnable done) {
        if (ending == null) {
            ending = around.loop().scheduleWithFixedDelay(() -> endStep(done), 1, END_STEP_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Connections in the backlog count as taken, so the listener stays until none comes any more; open ones are kept to
     * the last, as their callers may have no other node to turn to just then. Should SIGKILL come sooner than it is said
     * to, more is lost this way than by closing at once.
     */
    private void endStep(Runnable done) {
        long now = clock.now();
        if (listener.isOpen()) {
            if (closesListener(now)) {
                listener.leave();
            }
            return;
        }
        sweep();
        if (open.stream().anyMatch(FrontConnection::waits) || !open.isEmpty() && !state.over(now)) {
            return;
        }
        boolean safeToClose = true;
        for (C c : List.copyOf(open)) {
            safeToClose &= c.safeToClose();
        }
        if (safeToClose || state.over(now - LAST_WORDS)) {
            ending.cancel(false);
            List.copyOf(open).forEach(FrontConnection::close);
            done.run();
        }
    }
}
