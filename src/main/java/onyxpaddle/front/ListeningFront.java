package onyxpaddle.front;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
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
import onyxpaddle.node.NodeEvent;
import onyxpaddle.node.NodeEvents;
import onyxpaddle.node.SharedLimit;
import onyxpaddle.socket.PollableChannel;

/**
 * The protocol-independent part of a front: the listener and when it accepts, the number of open connections and which of them is
 * evicted when there are too many, the periodic check of each, and the planned shutdown. {@link NodeState} decides when
 * something is closed; the protocol defines what an idle connection is and how its caller is told.
 */
public abstract class ListeningFront<C extends FrontConnection> implements Front {
    private static final int BACKLOG = 4096;
    private static final long END_STEP_MS = 50;
    /** How long requests that arrive at the very end are still refused: two steps, of the 0.15 s left before SIGKILL may come. */
    private static final long FINAL_REFUSAL_WINDOW = 100_000_000L;

    /** The resources that a front shares with the rest of its node. */
    public record SharedResources(EventLoop loop, ByteBufAllocator allocator, Clock clock, ResourceBudget budget, NodeState state,
            NodeEvents events) {
    }

    protected final Clock clock;
    protected final NodeState state;
    protected final NodeEvents events;
    private final SharedResources resources;
    private final SharedLimit.Share connections;
    private final long sweepMs;
    private final WriteBufferWaterMark waterMarks;
    private final StallDetector stallDetector;
    /** In the order of their accepts. */
    private final Set<C> open = new LinkedHashSet<>();
    private SharedListener listener;
    private Future<?> sweeping;
    private Future<?> ending;
    private boolean opened;
    private boolean retired;
    private long acceptedAt;

    /** {@code sweepMs}: interval of the checks of each connection; {@code waterMarks}: of a connection's unwritten bytes. */
    protected ListeningFront(SharedResources resources, long sweepMs, WriteBufferWaterMark waterMarks) {
        this.resources = resources;
        this.clock = resources.clock();
        this.state = resources.state();
        this.events = resources.events();
        this.connections = resources.budget().front();
        this.sweepMs = sweepMs;
        this.waterMarks = waterMarks;
        this.stallDetector = new StallDetector(TimeUnit.MILLISECONDS.toNanos(sweepMs));
    }

    // ---- defined by the protocol ----

    /** Sets up a connection that was just accepted. */
    protected abstract void begin(PollableChannel channel);

    /** The connection to close when there are too many, {@code newest} being the last accepted; null for none. */
    protected abstract C evictionCandidate(C newest);

    /** Called when a connection is gone. */
    protected void gone(C connection) {
    }

    /** Whether the listener closes now as the process ends. */
    protected boolean closesListener(long now) {
        return state.closesListener(acceptedAt, now);
    }

    // ---- the listener ----

    @Override
    public ChannelFuture listen(InetSocketAddress address, boolean shared) {
        sweeping = resources.loop().scheduleWithFixedDelay(this::sweep, sweepMs, sweepMs, TimeUnit.MILLISECONDS);
        ChannelFuture bound = new ServerBootstrap().group(resources.loop()).channelFactory(() -> new SharedListener(clock, events))
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(SharedListener.REUSE_PORT, shared)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.ALLOCATOR, resources.allocator())
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMarks)
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
        closeAll();
        connections.leave();
    }

    private void closeAll() {
        List.copyOf(open).forEach(c -> c.close(NodeEvent.CLIENT_NODE_ENDS));
    }

    // ---- connections ----

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
     * Registers a connection. Near the limit one without an open request is evicted for it. This protects the front from
     * callers that hold connections without sending a request, or without ever completing one; accepted requests are never
     * given up for it. Under such a flood it may cut off a slow but honest caller.
     */
    public void opened(C c) {
        acceptedAt = clock.now();
        open.add(c);
        connections.forceTake(1);
        C evicted = nearConnectionLimit() ? evictionCandidate(c) : null;
        if (evicted != null) {
            // Removed at once: the notification of its close comes only after further accepts.
            closed(evicted);
            evicted.close(NodeEvent.CLIENT_EVICTED);
        }
        if (connections.room() <= 0) {
            // To its caller a connection in the backlog is established: accepting resumes as soon as another connection
            // has closed.
            listener.config().setAutoRead(false);
        }
    }

    public void closed(C c) {
        if (open.remove(c)) {
            connections.giveBack(1);
        }
        gone(c);
        resumeAccepting();
    }

    private void resumeAccepting() {
        if (opened && listener.isOpen() && !listener.config().isAutoRead() && connections.room() > 0) {
            listener.config().setAutoRead(true);
        }
    }

    /** Whether there are so many callers that further requests are refused. */
    public boolean nearConnectionLimit() {
        return resources.budget().nearConnectionLimit(connections);
    }

    /**
     * Checks the limits of each connection. After a stall the process would otherwise close connections as idle before it reads the
     * requests that arrived on them meanwhile, and each of these would be lost. The cost: a caller that is silent on purpose keeps
     * its connection for longer by the time of the stall.
     */
    private void sweep() {
        long now = clock.now();
        long stalled = stallDetector.check(now);
        for (C c : List.copyOf(open)) {
            if (stalled > 0) {
                c.compensateStall(stalled, now);
            }
            c.sweep(now);
        }
        // Another front may have returned the connections that this one waits for.
        resumeAccepting();
    }

    // ---- planned shutdown ----

    @Override
    public void end(Runnable done) {
        if (ending == null) {
            ending = resources.loop().scheduleWithFixedDelay(() -> endStep(done), 1, END_STEP_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Connections in the backlog count as accepted, so the listener stays open until no more arrive. Open connections are kept to
     * the last, as their callers may have no other node at that moment. If SIGKILL comes earlier than announced, more is lost
     * this way than by closing at once.
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
        if (open.stream().anyMatch(FrontConnection::waits) || !open.isEmpty() && !state.expired(now)) {
            return;
        }
        boolean safeToClose = true;
        for (C c : List.copyOf(open)) {
            safeToClose &= c.safeToClose();
        }
        if (safeToClose || state.expired(now - FINAL_REFUSAL_WINDOW)) {
            ending.cancel(false);
            closeAll();
            done.run();
        }
    }
}
