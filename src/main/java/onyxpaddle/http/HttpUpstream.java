package onyxpaddle.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import onyxpaddle.BalancerApi.Outcome;
import onyxpaddle.BalancerApi.ServerState;
import onyxpaddle.node.Attempt;
import onyxpaddle.node.ResourceBudget.PoolShare;
import onyxpaddle.node.Clock;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.ServerList;
import onyxpaddle.node.SocketBuffers;
import onyxpaddle.node.Upstream;
import onyxpaddle.socket.PollableChannel;

/** A pool's connections to its servers: dials them, keeps idle ones for further requests, and drops those too old. */
public final class HttpUpstream implements Upstream {
    /**
     * How long a connection rests after an answer before it carries a request again: what a server sends too much
     * comes right behind the answer, and must not meet the next request. Where all rest, a new one is dialled.
     */
    private static final long REST = 20_000_000L;
    /** As long as kept connections are in doubt, new ones are dialled often, and few are worth keeping. */
    private static final int MOST_IDLE_IN_DOUBT = 2;
    private static final long SWEEP_MS = 250;

    final Clock clock;
    final PoolShare budget;
    final UpstreamDialect dialect;
    final Dispatcher dispatcher;
    final HttpBridge bridge;
    final ReuseFailureRate doubt = new ReuseFailureRate();
    private final Bootstrap bootstrap;
    private final long mostIdle;
    private final int mostIdleCount;
    private final Future<?> sweeping;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Set<ServerConnection> open = new HashSet<>();

    /** A server as this node reaches it. */
    private static final class Peer {
        InetSocketAddress address;
        long startedAt;
        /** It drains, or is not listed any more. */
        boolean leaves;
        /** The one used last is taken first, so that those not needed grow old and are dropped. */
        final ArrayDeque<ServerConnection> idle = new ArrayDeque<>();
    }

    /**
     * {@code mostIdle}: how long an idle connection is kept; {@code dialTimeout}: both in nanoseconds; {@code
     * mostIdleCount}: how many are kept to each server. At a rate r, some r times {@link #REST} are needed to dial none.
     */
    public HttpUpstream(EventLoop loop, ByteBufAllocator allocator, Clock clock, PoolShare budget,
            Dispatcher dispatcher, UpstreamDialect dialect, long mostIdle, long dialTimeout,
            int mostIdleCount) {
        this(loop, allocator, clock, budget, dispatcher, dialect, mostIdle, dialTimeout, mostIdleCount, HttpBridge.NONE);
    }

    /** As the other, with a bridge for requests of other protocols. */
    public HttpUpstream(EventLoop loop, ByteBufAllocator allocator, Clock clock, PoolShare budget,
            Dispatcher dispatcher, UpstreamDialect dialect, long mostIdle, long dialTimeout,
            int mostIdleCount, HttpBridge bridge) {
        this.bridge = bridge;
        this.clock = clock;
        this.budget = budget;
        this.dispatcher = dispatcher;
        this.dialect = dialect;
        this.mostIdle = mostIdle;
        this.mostIdleCount = mostIdleCount;
        bootstrap = new Bootstrap().group(loop).channel(PollableChannel.class)
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, dialTimeout / 1_000_000))
            .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(SocketBuffers.READ_SIZE))
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(32 * 1024, 64 * 1024))
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    // Its handlers come with the ServerConnection, once the dial has succeeded.
                }
            });
        sweeping = loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    // ---- servers ----

    public void apply(ServerList roster) {
        if (roster.whole()) {
            Set<String> left = new HashSet<>(peers.keySet());
            roster.hosts().forEach(host -> left.remove(host.entry().server()));
            left.forEach(this::remove);
        }
        for (ServerList.Host host : roster.hosts()) {
            String server = host.entry().server();
            if (host.entry().state() == ServerState.GONE || host.address() == null) {
                remove(server);
                continue;
            }
            Peer peer = peers.computeIfAbsent(server, s -> new Peer());
            boolean other = !host.address().equals(peer.address) || peer.startedAt != host.entry().startedAt();
            if (other || host.entry().state() == ServerState.DRAINING) {
                closeIdle(peer);
            }
            peer.leaves = host.entry().state() == ServerState.DRAINING;
            peer.address = host.address();
            peer.startedAt = host.entry().startedAt();
        }
    }

    private void remove(String server) {
        Peer peer = peers.remove(server);
        if (peer != null) {
            peer.leaves = true;
            closeIdle(peer);
        }
    }

    /** Whether the server can be asked by this protocol. */
    public boolean reaches(String server) {
        return peers.containsKey(server);
    }

    private static void closeIdle(Peer peer) {
        for (ServerConnection c = peer.idle.poll(); c != null; c = peer.idle.poll()) {
            c.close();
        }
    }

    /** Ends it for good: no attempt is out, and none comes after. */
    public void close() {
        sweeping.cancel(false);
        peers.values().forEach(HttpUpstream::closeIdle);
        peers.clear();
        for (ServerConnection c : open.toArray(new ServerConnection[0])) {
            c.close();
        }
    }

    // ---- attempts ----

    @Override
    public void send(Attempt attempt) {
        Peer peer = peers.get(attempt.server);
        if (peer == null) {
            dispatcher.ended(attempt, Outcome.CONNECT_FAILED, null);
            return;
        }
        ServerConnection rested = doubt.holds() && !attempt.exchange.repeatable ? null : rested(peer);
        if (rested != null) {
            rested.start(attempt);
        } else {
            dial(peer, attempt);
        }
    }

    /** Takes the idle connection that was used last among those that have rested; null where there is none. */
    private ServerConnection rested(Peer peer) {
        long now = clock.now();
        for (Iterator<ServerConnection> idle = peer.idle.iterator(); idle.hasNext();) {
            ServerConnection c = idle.next();
            long rest = now - c.idleSince;
            if (rest >= REST && rest < mostIdle && c.usable()) {
                idle.remove();
                return c;
            }
        }
        return null;
    }

    private void dial(Peer peer, Attempt attempt) {
        if (!budget.servers().take(1) && !(closeOldestIdle() && budget.servers().take(1))) {
            // The node's own want of descriptors: nothing was sent, and the server has no part in it.
            dispatcher.ended(attempt, Outcome.NOT_SENT, null);
            return;
        }
        ChannelFuture dial = bootstrap.connect(peer.address);
        dial.channel().closeFuture().addListener(f -> budget.servers().giveBack(1));
        attempt.carrier = dial;
        dial.addListener(f -> {
            if (!f.isSuccess() || peer.leaves) {
                // Told to drain while the dial was out, a server gets nothing new; nothing of the request has gone to it.
                dial.channel().close();
                dispatcher.ended(attempt, Outcome.CONNECT_FAILED, null);
            } else if (!dispatcher.mayBegin(attempt)) {
                dial.channel().close();
            } else {
                ServerConnection c = new ServerConnection(this, attempt.server, (PollableChannel) dial.channel());
                open.add(c);
                c.start(attempt);
            }
        });
    }

    @Override
    public void giveUp(Attempt attempt) {
        if (attempt.carrier instanceof ChannelFuture dial) {
            dial.channel().close();
        } else if (attempt.carrier instanceof ServerConnection connection) {
            connection.abandon();
        }
    }

    // ---- the pool ----

    void release(ServerConnection c) {
        Peer peer = peers.get(c.server);
        if (peer == null || !c.channel.remoteAddress().equals(peer.address)) {
            c.close();
            return;
        }
        c.idleSince = clock.now();
        peer.idle.addFirst(c);
        if (peer.idle.size() > (doubt.holds() ? MOST_IDLE_IN_DOUBT : mostIdleCount)) {
            peer.idle.pollLast().close();
        }
    }

    void closed(ServerConnection c) {
        open.remove(c);
        Peer peer = peers.get(c.server);
        if (peer != null) {
            peer.idle.remove(c);
        }
    }

    private boolean closeOldestIdle() {
        Peer from = null;
        for (Peer peer : peers.values()) {
            ServerConnection c = peer.idle.peekLast();
            if (c != null && (from == null || c.idleSince < from.idle.peekLast().idleSince)) {
                from = peer;
            }
        }
        if (from != null) {
            from.idle.pollLast().close();
        }
        return from != null;
    }

    private void sweep() {
        long now = clock.now();
        for (Peer peer : peers.values()) {
            while (!peer.idle.isEmpty() && now - peer.idle.peekLast().idleSince >= mostIdle) {
                peer.idle.pollLast().close();
            }
        }
        for (ServerConnection c : open.toArray(new ServerConnection[0])) {
            c.checkProgress(now);
        }
    }
}
