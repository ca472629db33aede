package onyxpaddle.rpc;

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
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import onyxpaddle.BalancerApi.Outcome;
import onyxpaddle.BalancerApi.ServerState;
import onyxpaddle.node.Attempt;
import onyxpaddle.node.Clock;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.NodeEvent;
import onyxpaddle.node.ResourceBudget.PoolShare;
import onyxpaddle.node.ServerList;
import onyxpaddle.node.SocketBuffers;
import onyxpaddle.node.Upstream;
import onyxpaddle.socket.PollableChannel;

/** The connections of a pool to its servers by MessagePack-RPC: a few to each server, each carrying many calls at once. */
public final class RpcUpstream implements Upstream {
    /** The protocol name under which a server list gives the address for MessagePack-RPC. */
    public static final String PROTOCOL = "rpc";
    private static final long SWEEP_INTERVAL_MS = 100;
    private static final long LAST_MSGID = 0xffffffffL;

    /**
     * Settings of a pool.
     *
     * @param maxConnections to one server
     * @param maxCalls in flight on a connection
     * @param sendEnvelope whether servers receive key, tenant and remaining time in an envelope
     * @param maxPayload the most bytes of the parameters of a call, and of a reply
     * @param idleTimeout how long a connection without calls is kept, in nanoseconds
     * @param dialTimeout in nanoseconds
     */
    public record Options(int maxConnections, int maxCalls, boolean sendEnvelope, long maxPayload, long idleTimeout, long dialTimeout) {
    }

    final Clock clock;
    final PoolShare budget;
    final Dispatcher dispatcher;
    final Options options;
    final RpcBridge bridge;
    final RpcDropCounter dropCounter;
    private final Bootstrap bootstrap;
    private final Future<?> sweepTask;
    private final Map<String, Peer> peers = new HashMap<>();
    /** Includes those to servers that are draining or gone, until they are closed. */
    private final Set<RpcConnection> openConnections = new HashSet<>();

    /** A server as this node sees it. */
    static final class Peer {
        final String server;
        final ConnectionSelector selector;
        final List<RpcConnection> connections = new ArrayList<>();
        private InetSocketAddress address;
        private long startedAt;
        private boolean draining;

        private Peer(String server, int maxConnections) {
            this.server = server;
            selector = new ConnectionSelector(maxConnections);
        }
    }

    public RpcUpstream(EventLoop loop, ByteBufAllocator allocator, Clock clock, PoolShare budget, Dispatcher dispatcher,
            Options options, RpcBridge bridge, RpcDropCounter dropCounter) {
        this.clock = clock;
        this.budget = budget;
        this.dispatcher = dispatcher;
        this.options = options;
        this.bridge = bridge;
        this.dropCounter = dropCounter;
        bootstrap = new Bootstrap().group(loop).channelFactory(() -> new PollableChannel(clock))
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, options.dialTimeout() / 1_000_000))
            .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(SocketBuffers.READ_SIZE))
            // Calls passed to the channel cannot be taken back, so little is buffered there.
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(8 * 1024, 16 * 1024))
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    // The RpcConnection adds its handler once it is connected.
                }
            });
        sweepTask = loop.scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    // ---- servers ----

    public void apply(ServerList servers) {
        if (servers.whole()) {
            Set<String> unlisted = new HashSet<>(peers.keySet());
            servers.hosts().forEach(host -> unlisted.remove(host.entry().server()));
            unlisted.forEach(this::remove);
        }
        for (ServerList.Host host : servers.hosts()) {
            String server = host.entry().server();
            InetSocketAddress address = host.address(PROTOCOL);
            if (host.entry().state() == ServerState.GONE || address == null) {
                remove(server);
                continue;
            }
            Peer peer = peers.computeIfAbsent(server, s -> new Peer(s, options.maxConnections()));
            boolean replaced = !address.equals(peer.address) || peer.startedAt != host.entry().startedAt();
            if (replaced || host.entry().state() == ServerState.DRAINING) {
                retire(peer);
            }
            peer.draining = host.entry().state() == ServerState.DRAINING;
            peer.address = address;
            peer.startedAt = host.entry().startedAt();
        }
    }

    private void remove(String server) {
        Peer peer = peers.remove(server);
        if (peer != null) {
            retire(peer);
        }
    }

    private static void retire(Peer peer) {
        List.copyOf(peer.connections).forEach(RpcConnection::retire);
    }

    /** Whether the server can be called by MessagePack-RPC. */
    public boolean reaches(String server) {
        return peers.containsKey(server);
    }

    /** The servers that can be called by MessagePack-RPC. */
    public Set<String> reachedServers() {
        return Collections.unmodifiableSet(peers.keySet());
    }

    /** Closes all connections. No attempt may be in flight, and none may follow. */
    public void close() {
        sweepTask.cancel(false);
        peers.clear();
        Set.copyOf(openConnections).forEach(c -> c.close(NodeEvent.SERVER_NODE_ENDS));
    }

    // ---- attempts ----

    @Override
    public void send(Attempt attempt) {
        Peer peer = peers.get(attempt.server);
        if (peer == null || peer.draining) {
            // It left the list after the attempt was decided.
            dispatcher.events().count(NodeEvent.ATTEMPT_SERVER_LEAVING, attempt.exchange.id);
            dispatcher.ended(attempt, Outcome.CONNECT_FAILED, null);
            return;
        }
        long now = clock.now();
        List<ConnectionSelector.ConnectionState> states = peer.connections.stream().map(c -> c.state(now)).toList();
        int index = peer.selector.select(states);
        if (index == ConnectionSelector.NONE && List.copyOf(peer.connections).stream().filter(c -> c.closeIfExhausted(now)).count() > 0) {
            index = peer.selector.select(peer.connections.stream().map(c -> c.state(now)).toList());
        }
        if (index == ConnectionSelector.NONE) {
            // All connections to the server are full or stalled, so the call never ran.
            dispatcher.ended(attempt, Outcome.FULL, null);
        } else if (index >= 0) {
            peer.connections.get(index).send(attempt);
        } else if (budget.servers().take(1)) {
            dial(peer).send(attempt);
        } else {
            // The node itself has run out of descriptors: nothing was sent, and the server must not be blamed.
            dispatcher.events().count(NodeEvent.ATTEMPT_NO_DESCRIPTOR, attempt.exchange.id);
            dispatcher.ended(attempt, Outcome.NOT_SENT, null);
        }
    }

    /** Sends a call that was not begun, when it is known that its caller is still there. */
    void sendOnceCallerIsKnown(Attempt attempt) {
        dispatcher.admission().whenCurrent(attempt, () -> {
            if (dispatcher.admission().mayBegin(attempt)) {
                send(attempt);
            }
        });
    }

    private RpcConnection dial(Peer peer) {
        ChannelFuture dial = bootstrap.connect(peer.address);
        dial.channel().closeFuture().addListener(f -> budget.servers().giveBack(1));
        RpcConnection connection = new RpcConnection(this, peer, dial.channel(), new CallTable<>(options.maxCalls(), LAST_MSGID));
        peer.connections.add(connection);
        openConnections.add(connection);
        dial.addListener(f -> {
            if (f.isSuccess()) {
                connection.onConnected();
            } else {
                connection.close(NodeEvent.SERVER_CLOSED);
                connection.onConnectFailed();
            }
        });
        return connection;
    }

    @Override
    public void giveUp(Attempt attempt) {
        if (attempt.carrier instanceof RpcConnection.Call call) {
            call.giveUp();
        }
    }

    void onClosed(RpcConnection connection) {
        openConnections.remove(connection);
        connection.peer.connections.remove(connection);
    }

    private void sweep() {
        long now = clock.now();
        for (RpcConnection connection : openConnections.toArray(new RpcConnection[0])) {
            connection.sweep(now);
        }
    }
}
