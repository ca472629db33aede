package onyxpaddle.scale;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;

/**
 * A list service that counts: the platform's {@code GET /v1/endpoints} with watches, answered as soon as there is news, by one event
 * loop on which all of its state is used. It makes so many whole lists a second and turns further ones away with 503.
 */
final class ListServer implements AutoCloseable {
    private static final int LARGEST_REQUEST = 16 << 10;
    /** Hundreds of nodes dial in the same moment, though each at an address of its own. */
    private static final int BACKLOG = 64;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final SeededFault fault;
    private WholeListLimit limit;
    private final Map<Integer, ListTable> tables = new HashMap<>();
    private final Map<Integer, Set<ListConnection>> waiting = new HashMap<>();
    private final Map<DoorAddress, DoorCounts> doors = new HashMap<>();
    private final Map<DoorAddress, Set<ListConnection>> connections = new HashMap<>();
    private final Set<Integer> cut = new HashSet<>();
    private boolean down;
    /** The system's choice for the first door; used by the harness's thread alone. */
    private int port;
    private RateBins rate = new RateBins(System.nanoTime());
    private long resetAt = System.nanoTime();

    /** {@code wholesPerSecond}: its capacity. */
    ListServer(double wholesPerSecond, SeededFault fault) {
        this.fault = fault;
        this.limit = new WholeListLimit(wholesPerSecond, System.nanoTime());
    }

    /** Opens doors and returns the port that all doors share. */
    int open(int service, List<Integer> nodes) throws Exception {
        for (int node : nodes) {
            DoorAddress door = new DoorAddress(node, service);
            if (!call(() -> doors.containsKey(door))) {
                call(() -> doors.put(door, new DoorCounts(System.nanoTime())));
                bind(door);
            }
        }
        return port;
    }

    private void bind(DoorAddress door) throws Exception {
        Channel bound = bootstrap(door).bind(new InetSocketAddress(door.address(), port)).sync().channel();
        port = ((InetSocketAddress) bound.localAddress()).getPort();
    }

    private ServerBootstrap bootstrap(DoorAddress door) {
        return new ServerBootstrap().group(group).channel(NioServerSocketChannel.class).option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new ByteCounter(doors.get(door)), new HttpServerCodec(),
                        new HttpObjectAggregator(LARGEST_REQUEST), new ListConnection(ListServer.this, door));
                }
            });
    }

    /** Puts lines into a service's list, answers its watches, and returns the version. */
    ListReply.Versioned put(int service, List<ListedServer> lines) throws Exception {
        return call(() -> {
            long version = table(service).put(lines);
            long at = System.nanoTime();
            for (ListConnection connection : List.copyOf(waiting.getOrDefault(service, Set.of()))) {
                connection.news();
            }
            return new ListReply.Versioned(version, at);
        });
    }

    void down(boolean next) throws Exception {
        call(() -> {
            down = next;
            if (down) {
                List<ListConnection> all = new ArrayList<>();
                waiting.values().forEach(all::addAll);
                all.forEach(ListConnection::turnAway);
            }
            return next;
        });
    }

    /** These hear nothing from now on; those that were cut before and are not any more find their old connections broken. */
    void cut(List<Integer> nodes) throws Exception {
        call(() -> {
            Set<Integer> joined = new HashSet<>(cut);
            nodes.forEach(joined::remove);
            cut.clear();
            cut.addAll(nodes);
            connections.forEach((door, open) -> {
                if (joined.contains(door.node())) {
                    List.copyOf(open).forEach(ListConnection::close);
                }
            });
            return joined.size();
        });
    }

    void capacity(double wholesPerSecond) throws Exception {
        call(() -> {
            limit = new WholeListLimit(wholesPerSecond, System.nanoTime());
            return limit;
        });
    }

    void reset() throws Exception {
        call(() -> {
            resetAt = System.nanoTime();
            rate = new RateBins(resetAt);
            doors.values().forEach(counts -> counts.reset(resetAt));
            return resetAt;
        });
    }

    ListReply.Counts read() throws Exception {
        return call(() -> {
            List<ListReply.Door> told = new ArrayList<>();
            doors.forEach((door, counts) -> told.add(counts.told(door.node(), door.service())));
            return new ListReply.Counts((System.nanoTime() - resetAt) / 1e9, rate.mostInASecond(),
                rate.mostInABin(), rate.usualMost(), ProcessCost.resident(ProcessHandle.current().pid()), told);
        });
    }

    private <T> T call(Callable<T> task) throws Exception {
        return loop.inEventLoop() ? task.call() : loop.submit(task).get();
    }

    // ---- for connections, on the loop ----

    ListTable table(int service) {
        return tables.computeIfAbsent(service, s -> new ListTable());
    }

    DoorCounts counts(DoorAddress door) {
        return doors.get(door);
    }

    SeededFault fault() {
        return fault;
    }

    boolean isDown() {
        return down;
    }

    boolean isCut(int node) {
        return cut.contains(node);
    }

    boolean makesWhole() {
        return limit.takes(System.nanoTime());
    }

    void called() {
        rate.count(System.nanoTime());
    }

    void opened(DoorAddress door, ListConnection connection) {
        connections.computeIfAbsent(door, d -> new HashSet<>()).add(connection);
    }

    void closed(DoorAddress door, ListConnection connection) {
        connections.getOrDefault(door, Set.of()).remove(connection);
        waits(door, connection, false);
    }

    void waits(DoorAddress door, ListConnection connection, boolean on) {
        Set<ListConnection> those = waiting.computeIfAbsent(door.service(), s -> new HashSet<>());
        if (on) {
            those.add(connection);
        } else {
            those.remove(connection);
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully();
    }
}
