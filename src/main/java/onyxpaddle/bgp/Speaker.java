package onyxpaddle.bgp;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import onyxpaddle.bgp.AnnouncePolicy.PeerUpdate;
import onyxpaddle.bgp.AnnouncePolicy.AddressStatus;
import onyxpaddle.bgp.BgpMessage.Notification;
import onyxpaddle.bgp.BgpMessage.Update;
import onyxpaddle.bgp.Fsm.State;
import onyxpaddle.node.Clock;
import onyxpaddle.node.Log;

/**
 * A BGP speaker: manages the connections and timers of its peers and sends the updates that the policies of its addresses
 * produce. Runs entirely on the event loop; the protocol logic is in {@link Peering} and {@link AnnouncePolicy}.
 */
public final class Speaker {
    /** Interval at which timers are checked; the timers themselves run for seconds. */
    private static final long TICK_MS = 50;
    private static final int READ_SIZE = 2048;

    /**
     * Configuration of a peer.
     *
     * @param address where the peer listens; connections from this host are accepted as the peer's
     * @param local local address to connect from; null lets the system choose
     * @param nextHop4 next hop of IPv4 routes, {@code nextHop6} of IPv6 routes; null if none are sent
     * @param maxPrefixes number of prefixes above which the session is ended
     */
    public record PeerSettings(String name, InetSocketAddress address, InetAddress local, Fsm.Settings fsm, byte[] nextHop4,
            byte[] nextHop6, int maxPrefixes) {
    }

    /** Status of a peer, for the operator's report. */
    public record PeerStatus(String name, State state, int failures, long receivedPrefixes, long updatesSent) {
    }

    final EventLoop loop;
    final Clock clock;
    final ByteBufAllocator allocator;
    private final Map<String, PeerConnections> peers = new LinkedHashMap<>();
    private final Map<String, AnnouncePolicy> addresses = new LinkedHashMap<>();
    private Channel listener;
    private Future<?> tickTask;
    private long nextSeed;
    private boolean stopping;

    public Speaker(EventLoop loop, ByteBufAllocator allocator, Clock clock, long seed) {
        this.loop = loop;
        this.allocator = allocator;
        this.clock = clock;
        this.nextSeed = seed;
        tickTask = loop.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /** Accepts connections from configured peers; others are closed at once. */
    public ChannelFuture listen(InetSocketAddress address) {
        if (listener != null) {
            listener.close();
        }
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 16)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.ALLOCATOR, allocator)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(READ_SIZE))
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel channel) {
                    accepted(channel);
                }
            })
            .bind(address);
        listener = bound.channel();
        return bound;
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Adds a peer and starts its session; {@code failures}: the failure count of the previous process, 0 for none. */
    public void add(PeerSettings settings, int failures) {
        PeerConnections connections = new PeerConnections(this, settings, nextSeed++, failures);
        peers.put(settings.name(), connections);
        connections.start();
    }

    /** Removes a peer and ends its session. */
    public void remove(String name) {
        PeerConnections connections = peers.remove(name);
        if (connections != null) {
            addresses.values().forEach(policy -> policy.sessionDown(name));
            connections.stop(new Notification(ErrorCode.DECONFIGURED));
        }
    }

    /** Adds an address with its policy and announces it to established peers if the policy allows. */
    public void add(String address, AnnouncePolicy policy) {
        addresses.put(address, policy);
        for (PeerConnections connections : peers.values()) {
            if (connections.announcing() != null) {
                send(policy.sessionUp(connections.announcing(), clock.now()));
            }
        }
    }

    /** Removes an address and withdraws its routes. */
    public void removeAddress(String address) {
        AnnouncePolicy policy = addresses.remove(address);
        if (policy != null) {
            send(policy.updateStatus(new AddressStatus(ServiceHealth.Status.DOWN, false, true), clock.now()));
        }
    }

    /** Passes the current status of an address to its policy and sends the resulting updates. */
    public void updateStatus(String address, AddressStatus status) {
        AnnouncePolicy policy = addresses.get(address);
        if (policy == null) {
            return;
        }
        String before = policy.modeName();
        send(policy.updateStatus(status, clock.now()));
        if (!before.equals(policy.modeName())) {
            Log.line("bgp: address " + address + " is " + policy.modeName() + ", was " + before);
        }
    }

    public boolean announces(String address) {
        return addresses.containsKey(address) && addresses.get(address).announced();
    }

    /** The policies by address name. */
    public Map<String, AnnouncePolicy> addresses() {
        return java.util.Collections.unmodifiableMap(addresses);
    }

    public List<PeerStatus> status() {
        List<PeerStatus> all = new ArrayList<>();
        peers.values().forEach(connections -> all.add(connections.status()));
        return all;
    }

    /** Ends all sessions with this NOTIFICATION and calls {@code done} once their connections are closed. */
    public void stop(Notification reason, Runnable done) {
        stopping = true;
        if (listener != null) {
            listener.close();
        }
        peers.values().forEach(connections -> connections.stop(reason));
        awaitClosed(List.copyOf(peers.values()), done);
    }

    private void awaitClosed(List<PeerConnections> open, Runnable done) {
        if (open.stream().allMatch(PeerConnections::closed)) {
            tickTask.cancel(false);
            done.run();
        } else {
            loop.schedule(() -> awaitClosed(open, done), TICK_MS, TimeUnit.MILLISECONDS);
        }
    }

    // ---- used by PeerConnections ----

    ChannelFuture dial(PeerSettings settings, ChannelInitializer<SocketChannel> set) {
        Bootstrap dial = new Bootstrap().group(loop).channel(io.netty.channel.socket.nio.NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(READ_SIZE))
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 5_000)
            .handler(set);
        return settings.local() == null ? dial.connect(settings.address())
            : dial.connect(settings.address(), new InetSocketAddress(settings.local(), 0));
    }

    private void accepted(SocketChannel channel) {
        InetAddress from = channel.remoteAddress().getAddress();
        for (PeerConnections connections : peers.values()) {
            if (!stopping && connections.settings().address().getAddress().equals(from)) {
                connections.accepted(channel);
                return;
            }
        }
        Log.line("bgp: connection from " + from.getHostAddress() + " refused: not a configured peer");
        channel.close();
    }

    void sessionEstablished(AnnouncePolicy.Peer peer) {
        addresses.values().forEach(policy -> send(policy.sessionUp(peer, clock.now())));
    }

    void sessionEnded(String peer) {
        addresses.values().forEach(policy -> policy.sessionDown(peer));
    }

    void refresh(String peer) {
        addresses.values().forEach(policy -> send(policy.refresh(peer)));
    }

    private void send(List<PeerUpdate> updates) {
        for (PeerUpdate peerUpdate : updates) {
            PeerConnections connections = peers.get(peerUpdate.peer());
            if (connections != null) {
                Update update = peerUpdate.update();
                connections.update(update);
            }
        }
    }

    private void tick() {
        long now = clock.now();
        List.copyOf(peers.values()).forEach(connections -> connections.tick(now));
        addresses.values().forEach(policy -> send(policy.timers(now)));
    }
}
