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
import onyxpaddle.node.ResourceBudget.PoolShare;
import onyxpaddle.node.Clock;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.ServerList;
import onyxpaddle.node.SocketBuffers;
import onyxpaddle.node.Upstream;
import onyxpaddle.socket.PollableChannel;

/** A pool's connections to its servers by MessagePack-RPC: a few to each, with many calls at once. */
public final class RpcUpstream implements Upstream {
    /** By which a list of servers tells the address that speaks it. */
    public static final String PROTOCOL = "rpc";
    private static final long SWEEP_MS = 100;
    private static final long LAST_ID = 0xffffffffL;

    /**
     * What a pool allows.
     *
     * @param connections to one server
     * @param calls at once on a connection
     * @param envelope servers are told of key, tenant and time left in an envelope
     * @param payload the most bytes of a call's parameters, and of a reply
     * @param idle how long a connection without calls is kept, in nanoseconds
     * @param dialTimeout in nanoseconds
     */
    public record Options(int connections, int calls, boolean envelope, long payload, long idle, long dialTimeout) {
    }

    final Clock clock;
    final PoolShare budget;
    final Dispatcher dispatcher;
    final Options terms;
    final RpcBridge bridge;
    final RpcDropCounter counts;
    private final Bootstrap bootstrap;
    private final Future<?> sweeping;
    private final Map<String, Peer> peers = new HashMap<>();
    /** Those of servers that are gone or drain, too, until they have closed. */
    private final Set<RpcConnection> open = new HashSet<>();

    /** A server as this node reaches it. */
    static final class Peer {
        final String server;
        final ConnectionSelector choice;
        final List<RpcConnection> connections = new ArrayList<>();
        private InetSocketAddress address;
        private long startedAt;

        private Peer(String server, int mostConnections) {
            this.server = server;
            choice = new ConnectionSelector(mostConnections);
        }
    }

    public RpcUpstream(EventLoop loop, ByteBufAllocator allocator, Clock clock, PoolShare budget, Dispatcher dispatcher,
            Options terms, RpcBridge bridge, RpcDropCounter counts) {
        this.clock = clock;
        this.budget = budget;
        this.dispatcher = dispatcher;
        this.terms = terms;
        this.bridge = bridge;
        this.counts = counts;
        bootstrap = new Bootstrap().group(loop).channel(PollableChannel.class)
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, terms.dialTimeout() / 1_000_000))
            .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(SocketBuffers.READ_SIZE))
            // What is handed over can't be taken back, so little is handed over ahead.
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(8 * 1024, 16 * 1024))
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    // Its handler comes with the RpcConnection.
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
            InetSocketAddress address = host.address(PROTOCOL);
            if (host.entry().state() == ServerState.GONE || address == null) {
                remove(server);
                continue;
            }
            Peer peer = peers.computeIfAbsent(server, s -> new Peer(s, terms.connections()));
            boolean other = !address.equals(peer.address) || peer.startedAt != host.entry().startedAt();
            if (other || host.entry().state() == ServerState.DRAINING) {
                retire(peer);
            }
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

    /** Whether the server can be called by this protocol. */
    public boolean reaches(String server) {
        return peers.containsKey(server);
    }

    /** Ends it for good: no attempt is out, and none comes after. */
    public void close() {
        sweeping.cancel(false);
        peers.clear();
        Set.copyOf(open).forEach(RpcConnection::close);
    }

    // ---- attempts ----

    @Override
    public void send(Attempt attempt) {
        Peer peer = peers.get(attempt.server);
        if (peer == null) {
            dispatcher.ended(attempt, Outcome.CONNECT_FAILED, null);
            return;
        }
        long now = clock.now();
        List<ConnectionSelector.Seen> seen = peer.connections.stream().map(c -> c.seen(now)).toList();
        int index = peer.choice.choose(seen);
        if (index == ConnectionSelector.NONE && List.copyOf(peer.connections).stream().filter(c -> c.closeIfSpent(now)).count() > 0) {
            index = peer.choice.choose(peer.connections.stream().map(c -> c.seen(now)).toList());
        }
        if (index == ConnectionSelector.NONE) {
            // All its connections are full or stall: it has no room for this call, which never ran.
            dispatcher.ended(attempt, Outcome.FULL, null);
        } else if (index >= 0) {
            peer.connections.get(index).send(attempt);
        } else if (budget.servers().take(1)) {
            dial(peer).send(attempt);
        } else {
            // The node's own want of descriptors: nothing was sent, and the server has no part in it.
            dispatcher.ended(attempt, Outcome.NOT_SENT, null);
        }
    }

    private RpcConnection dial(Peer peer) {
        ChannelFuture dial = bootstrap.connect(peer.address);
        dial.channel().closeFuture().addListener(f -> budget.servers().giveBack(1));
        RpcConnection c = new RpcConnection(this, peer, dial.channel(), new CallTable<>(terms.calls(), LAST_ID));
        peer.connections.add(c);
        open.add(c);
        dial.addListener(f -> {
            if (f.isSuccess()) {
                c.connected();
            } else {
                c.close();
                c.failed();
            }
        });
        return c;
    }

    @Override
    public void giveUp(Attempt attempt) {
        if (attempt.carrier instanceof RpcConnection.Call call) {
            call.giveUp();
        }
    }

    void closed(RpcConnection c) {
        open.remove(c);
        c.peer.connections.remove(c);
    }

    private void sweep() {
        long now = clock.now();
        for (RpcConnection c : open.toArray(new RpcConnection[0])) {
            c.sweep(now);
        }
    }
}
