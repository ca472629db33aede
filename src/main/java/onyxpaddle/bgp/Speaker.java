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
import onyxpaddle.bgp.AnnouncePolicy.Order;
import onyxpaddle.bgp.AnnouncePolicy.AddressStatus;
import onyxpaddle.bgp.BgpMessage.Notification;
import onyxpaddle.bgp.BgpMessage.Update;
import onyxpaddle.bgp.Fsm.State;
import onyxpaddle.node.Clock;
import onyxpaddle.node.Log;

/**
 * The speaker: its peers' connections, their timers, and the updates that the policies of its addresses order. Everything
 * happens on the event loop; what is decided is decided in {@link Peering} and {@link AnnouncePolicy}.
 */
public final class Speaker {
    /** Timers are looked at so often: they are seconds long. */
    private static final long TICK_MS = 50;
    private static final int READ_SIZE = 2048;

    /**
     * A peer as it is configured.
     *
     * @param at where it listens, and from which address it may dial
     * @param local the own address towards it; null for whatever the system takes
     * @param nextHop4 for IPv4 routes to it, {@code nextHop6} for IPv6; null where none are sent
     * @param mostPrefixes that it may announce before its session is ended
     */
    public record PeerSettings(String name, InetSocketAddress at, InetAddress local, Fsm.Settings fsm, byte[] nextHop4, byte[] nextHop6,
            int mostPrefixes) {
    }

    /** How a peer stands, for on-call staff. */
    public record PeerStatus(String name, State state, int failures, long receivedPrefixes, long updatesSent) {
    }

    final EventLoop loop;
    final Clock clock;
    final ByteBufAllocator allocator;
    private final Map<String, PeerLink> peers = new LinkedHashMap<>();
    private final Map<String, AnnouncePolicy> addresses = new LinkedHashMap<>();
    private Channel listener;
    private Future<?> ticking;
    private long seeds;
    private boolean stopping;

    public Speaker(EventLoop loop, ByteBufAllocator allocator, Clock clock, long seed) {
        this.loop = loop;
        this.allocator = allocator;
        this.clock = clock;
        this.seeds = seed;
        ticking = loop.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /** Takes connections of configured peers; others are closed at once. */
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

    /** A further peer, whose session is begun; {@code failures}: what it was damped by in the process before, 0 for nothing. */
    public void add(PeerSettings terms, int failures) {
        PeerLink link = new PeerLink(this, terms, seeds++, failures);
        peers.put(terms.name(), link);
        link.start();
    }

    /** A peer goes from the configuration. */
    public void remove(String name) {
        PeerLink link = peers.remove(name);
        if (link != null) {
            addresses.values().forEach(policy -> policy.down(name));
            link.stop(new Notification(ErrorCode.DECONFIGURED));
        }
    }

    /** A further address, which stands as it is told from now on. */
    public void add(String address, AnnouncePolicy policy) {
        addresses.put(address, policy);
        for (PeerLink link : peers.values()) {
            if (link.announcing() != null) {
                carryOut(policy.up(link.announcing(), clock.now()));
            }
        }
    }

    /** An address goes from the configuration: it is withdrawn. */
    public void removeAddress(String address) {
        AnnouncePolicy policy = addresses.remove(address);
        if (policy != null) {
            carryOut(policy.stands(new AddressStatus(ServiceHealth.Status.DOWN, false, true), clock.now()));
        }
    }

    /** How an address stands now. */
    public void updateStatus(String address, AddressStatus standing) {
        AnnouncePolicy policy = addresses.get(address);
        if (policy == null) {
            return;
        }
        String before = policy.modeName();
        carryOut(policy.stands(standing, clock.now()));
        if (!before.equals(policy.modeName())) {
            Log.line("bgp: address " + address + " is " + policy.modeName() + ", was " + before);
        }
    }

    public boolean announces(String address) {
        return addresses.containsKey(address) && addresses.get(address).announced();
    }

    /** Its addresses by name. */
    public Map<String, AnnouncePolicy> addresses() {
        return java.util.Collections.unmodifiableMap(addresses);
    }

    public List<PeerStatus> status() {
        List<PeerStatus> all = new ArrayList<>();
        peers.values().forEach(link -> all.add(link.status()));
        return all;
    }

    /** Ends all sessions in order, with this reason, and calls {@code done} once their connections are closed. */
    public void stop(Notification reason, Runnable done) {
        stopping = true;
        if (listener != null) {
            listener.close();
        }
        peers.values().forEach(link -> link.stop(reason));
        awaitClosed(List.copyOf(peers.values()), done);
    }

    private void awaitClosed(List<PeerLink> links, Runnable done) {
        if (links.stream().allMatch(PeerLink::closed)) {
            ticking.cancel(false);
            done.run();
        } else {
            loop.schedule(() -> awaitClosed(links, done), TICK_MS, TimeUnit.MILLISECONDS);
        }
    }

    // ---- for its links ----

    ChannelFuture dial(PeerSettings terms, ChannelInitializer<SocketChannel> set) {
        Bootstrap dial = new Bootstrap().group(loop).channel(io.netty.channel.socket.nio.NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(READ_SIZE))
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 5_000)
            .handler(set);
        return terms.local() == null ? dial.connect(terms.at()) : dial.connect(terms.at(), new InetSocketAddress(terms.local(), 0));
    }

    private void accepted(SocketChannel channel) {
        InetAddress from = channel.remoteAddress().getAddress();
        for (PeerLink link : peers.values()) {
            if (!stopping && link.terms().at().getAddress().equals(from)) {
                link.accepted(channel);
                return;
            }
        }
        Log.line("bgp: " + from.getHostAddress() + " is no peer");
        channel.close();
    }

    void established(AnnouncePolicy.Peer peer) {
        addresses.values().forEach(policy -> carryOut(policy.up(peer, clock.now())));
    }

    void ended(String peer) {
        addresses.values().forEach(policy -> policy.down(peer));
    }

    void refresh(String peer) {
        addresses.values().forEach(policy -> carryOut(policy.refresh(peer)));
    }

    private void carryOut(List<Order> orders) {
        for (Order order : orders) {
            PeerLink link = peers.get(order.peer());
            if (link != null) {
                Update update = order.update();
                link.update(update);
            }
        }
    }

    private void tick() {
        long now = clock.now();
        List.copyOf(peers.values()).forEach(link -> link.tick(now));
        addresses.values().forEach(policy -> carryOut(policy.timers(now)));
    }
}
