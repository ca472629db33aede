package onyxpaddle.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Collections;
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
import onyxpaddle.node.Log;
import onyxpaddle.node.NodeEvent;
import onyxpaddle.node.ServerList;
import onyxpaddle.node.Upstream;
import onyxpaddle.socket.PollableChannel;

/** A pool's connections to its servers: dials, keeps idle connections for reuse, and closes those that were idle for too long. */
public final class HttpUpstream implements Upstream {
    /**
     * How long a connection is not reused after an answer: surplus data from a server arrives right behind the answer and must
     * not be taken as the answer to the next request. If no connection is reusable, a new one is dialled.
     */
    private static final long REUSE_DELAY_NANOS = 20_000_000L;
    /** While reused connections fail often, most requests get new connections and few idle ones are worth keeping. */
    private static final int MAX_IDLE_WHEN_UNRELIABLE = 2;
    private static final long SWEEP_MS = 250;

    final Clock clock;
    final PoolShare budget;
    final UpstreamDialect dialect;
    final Dispatcher dispatcher;
    final HttpBridge bridge;
    final ReuseFailureRate reuseFailures = new ReuseFailureRate();
    private final Bootstrap bootstrap;
    private final long idleTimeout;
    private final int maxIdlePerServer;
    private final Future<?> sweeping;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Set<ServerConnection> open = new HashSet<>();
    private final DepartureLog departures = new DepartureLog();

    /** One process of a server; another that comes up at its address is another instance. */
    record Instance(InetSocketAddress address, long startedAt) {
    }

    /** A server's present instance and its idle connections. */
    private static final class Peer {
        Instance instance;
        /** It is draining, or no longer listed. */
        boolean leaving;
        /** When the last attempt began; 0 before the first. */
        long lastAttemptAt;
        /** Most recently used first, so that surplus connections reach the idle timeout. */
        final ArrayDeque<ServerConnection> idle = new ArrayDeque<>();
    }

    /**
     * {@code idleTimeout}: how long an idle connection is kept; {@code dialTimeout}: for connecting, both in nanoseconds; {@code
     * maxIdlePerServer}: how many idle connections are kept to each server. To serve a request rate r without dialling takes
     * about r times {@link #REUSE_DELAY_NANOS} of them.
     */
    public HttpUpstream(EventLoop loop, ByteBufAllocator allocator, Clock clock, PoolShare budget,
            Dispatcher dispatcher, UpstreamDialect dialect, long idleTimeout, long dialTimeout,
            int maxIdlePerServer) {
        this(loop, allocator, clock, budget, dispatcher, dialect, idleTimeout, dialTimeout, maxIdlePerServer, HttpBridge.NONE);
    }

    /** With a bridge for requests of another protocol. */
    public HttpUpstream(EventLoop loop, ByteBufAllocator allocator, Clock clock, PoolShare budget,
            Dispatcher dispatcher, UpstreamDialect dialect, long idleTimeout, long dialTimeout,
            int maxIdlePerServer, HttpBridge bridge) {
        this.bridge = bridge;
        this.clock = clock;
        this.budget = budget;
        this.dispatcher = dispatcher;
        this.dialect = dialect;
        this.idleTimeout = idleTimeout;
        this.maxIdlePerServer = maxIdlePerServer;
        bootstrap = new Bootstrap().group(loop).channelFactory(() -> new PollableChannel(clock))
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, dialTimeout / 1_000_000))
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(32 * 1024, 64 * 1024))
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    // ServerConnection adds the handlers once the dial has succeeded.
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
            Instance instance = new Instance(host.address(), host.entry().startedAt());
            boolean replaced = !instance.equals(peer.instance);
            boolean draining = host.entry().state() == ServerState.DRAINING;
            if (replaced || draining) {
                closeIdle(peer);
            }
            if (draining && !peer.leaving) {
                departures.leaving(server, peer.lastAttemptAt);
            }
            peer.leaving = draining;
            peer.instance = instance;
        }
        String departed = departures.nextLine(roster.seq(), clock.now());
        if (!departed.isEmpty()) {
            Log.line(departed);
        }
    }

    private void remove(String server) {
        Peer peer = peers.remove(server);
        if (peer != null) {
            if (!peer.leaving) {
                departures.leaving(server, peer.lastAttemptAt);
            }
            peer.leaving = true;
            closeIdle(peer);
        }
    }

    /** Whether the server has an address for this protocol. */
    public boolean reaches(String server) {
        return peers.containsKey(server);
    }

    /** The servers that can be called by HTTP. */
    public Set<String> reachedServers() {
        return Collections.unmodifiableSet(peers.keySet());
    }

    private static void closeIdle(Peer peer) {
        for (ServerConnection c = peer.idle.poll(); c != null; c = peer.idle.poll()) {
            c.close(NodeEvent.SERVER_LEAVING);
        }
    }

    /** Closes all connections. No attempt may be pending, and none may follow. */
    public void close() {
        sweeping.cancel(false);
        peers.clear();
        for (ServerConnection c : open.toArray(new ServerConnection[0])) {
            c.close(NodeEvent.SERVER_NODE_ENDS);
        }
    }

    // ---- attempts ----

    @Override
    public void send(Attempt attempt) {
        Peer peer = peers.get(attempt.server);
        if (peer == null || peer.leaving) {
            // It left the list after the attempt was decided.
            dispatcher.events().count(NodeEvent.ATTEMPT_SERVER_LEAVING, attempt.exchange.id);
            dispatcher.ended(attempt, Outcome.CONNECT_FAILED, null);
            return;
        }
        ServerConnection reusable = reuseFailures.isHigh() && !attempt.exchange.repeatable ? null : takeReusable(peer);
        if (reusable != null) {
            peer.lastAttemptAt = clock.now();
            reusable.start(attempt);
        } else {
            dial(peer, attempt);
        }
    }

    /** Takes the most recently used idle connection whose reuse delay has passed; null for none. */
    private ServerConnection takeReusable(Peer peer) {
        long now = clock.now();
        for (Iterator<ServerConnection> idle = peer.idle.iterator(); idle.hasNext();) {
            ServerConnection c = idle.next();
            if (now - c.releasedAt >= REUSE_DELAY_NANOS && now - c.idleSince < idleTimeout && c.isUsable()) {
                idle.remove();
                return c;
            }
        }
        return null;
    }

    private void dial(Peer peer, Attempt attempt) {
        if (!budget.servers().take(1) && !(closeOldestIdle() && budget.servers().take(1))) {
            // The node is out of descriptors: nothing was sent, and the server is not at fault.
            dispatcher.events().count(NodeEvent.ATTEMPT_NO_DESCRIPTOR, attempt.exchange.id);
            dispatcher.ended(attempt, Outcome.NOT_SENT, null);
            return;
        }
        Instance instance = peer.instance;
        ChannelFuture dial = bootstrap.connect(instance.address());
        dial.channel().closeFuture().addListener(f -> budget.servers().giveBack(1));
        attempt.carrier = dial;
        dial.addListener(f -> {
            if (f.isSuccess()) {
                dispatcher.admission().whenCurrent(attempt, () -> connected(peer, instance, attempt, (PollableChannel) dial.channel()));
            } else {
                dial.channel().close();
                dispatcher.ended(attempt, Outcome.CONNECT_FAILED, null);
            }
        });
    }

    private void connected(Peer peer, Instance instance, Attempt attempt, PollableChannel channel) {
        boolean leaving = peer.leaving || !instance.equals(peer.instance);
        if (leaving || !channel.isActive()) {
            // If the server began to drain or was replaced during the dial, it gets no new request; nothing was sent to it.
            if (leaving) {
                dispatcher.events().count(NodeEvent.ATTEMPT_SERVER_LEAVING, attempt.exchange.id);
            }
            channel.close();
            dispatcher.ended(attempt, Outcome.CONNECT_FAILED, null);
        } else if (!dispatcher.admission().mayBegin(attempt)) {
            channel.close();
        } else {
            ServerConnection c = new ServerConnection(this, attempt.server, instance, channel);
            open.add(c);
            peer.lastAttemptAt = clock.now();
            c.start(attempt);
        }
    }

    @Override
    public boolean passOn(Attempt attempt) {
        return attempt.carrier instanceof ServerConnection connection && connection.passOn();
    }

    @Override
    public void giveUp(Attempt attempt) {
        if (attempt.carrier instanceof ChannelFuture dial) {
            dial.channel().close();
        } else if (attempt.carrier instanceof ServerConnection connection) {
            connection.abandon();
        }
    }

    // ---- idle connections ----

    void release(ServerConnection c) {
        Peer peer = peers.get(c.server);
        if (peer == null || peer.leaving || !c.instance.equals(peer.instance)) {
            c.close(NodeEvent.SERVER_LEAVING);
            return;
        }
        c.releasedAt = clock.now();
        c.idleSince = c.channel.arrivalBound();
        peer.idle.addFirst(c);
        if (peer.idle.size() > (reuseFailures.isHigh() ? MAX_IDLE_WHEN_UNRELIABLE : maxIdlePerServer)) {
            peer.idle.pollLast().close(NodeEvent.SERVER_SURPLUS);
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
            from.idle.pollLast().close(NodeEvent.SERVER_SURPLUS);
        }
        return from != null;
    }

    private void sweep() {
        long now = clock.now();
        for (Peer peer : peers.values()) {
            while (!peer.idle.isEmpty() && now - peer.idle.peekLast().idleSince >= idleTimeout) {
                peer.idle.pollLast().close(NodeEvent.SERVER_IDLE);
            }
        }
        for (ServerConnection c : open.toArray(new ServerConnection[0])) {
            c.checkProgress(now);
        }
    }
}
