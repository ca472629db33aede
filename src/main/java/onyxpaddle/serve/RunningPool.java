package onyxpaddle.serve;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import onyxpaddle.BalancerApi.ListKind;
import onyxpaddle.BalancerApi.Settings;
import onyxpaddle.RatioBalancer;
import onyxpaddle.bridge.HttpOverRpc;
import onyxpaddle.bridge.RpcOverHttp;
import onyxpaddle.config.Faults;
import onyxpaddle.config.NodeConfig.Pool;
import onyxpaddle.config.NodeConfig.RequestClass;
import onyxpaddle.config.NodeConfig.Server;
import onyxpaddle.config.NodeConfig;
import onyxpaddle.config.ServerLists;
import onyxpaddle.http.HttpBridge;
import onyxpaddle.http.HttpUpstream;
import onyxpaddle.http.PlainUpstreamDialect;
import onyxpaddle.http.PlainRequestDialect.Target;
import onyxpaddle.membership.Discovery;
import onyxpaddle.membership.ListFile;
import onyxpaddle.node.Addresses;
import onyxpaddle.node.ResourceBudget.PoolShare;
import onyxpaddle.node.ResourceBudget;
import onyxpaddle.node.Clock;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.InFlightLimit;
import onyxpaddle.node.Log;
import onyxpaddle.node.ServerList;
import onyxpaddle.node.RequestCounts;
import onyxpaddle.rpc.RpcCallRouter;
import onyxpaddle.rpc.RpcDropCounter;
import onyxpaddle.rpc.RpcUpstream;

/** A running pool: its servers, the module that decides about them, and where they are learnt from. */
final class RunningPool {
    /**
     * Connections to a server that are kept. Guards against dialling for each request, which leaves the machine without
     * local ports within seconds: a node on one machine may send all its traffic to one server. Does harm where a server
     * takes fewer connections than that; the pool's part of the descriptors bounds them, too.
     */
    private static final int MOST_IDLE = 256;
    private static final long LOOK_MS = 250;

    /** What a pool shares with the rest of the node; {@code files}: the thread that reads list files. */
    record SharedResources(EventLoop loop, ByteBufAllocator allocator, Clock clock, ResourceBudget budget,
            ScheduledExecutorService files, RequestCounts tally, String node) {
    }

    final Dispatcher dispatcher;
    private Pool config;
    private final List<RequestClass> classes;
    private final PoolShare share;
    private final MixedProtocolUpstream upstream;
    private final boolean called;
    private final SharedResources around;
    private Discovery discovery;
    private Future<?> watch;
    private boolean stopped;
    private boolean anyServer;

    RunningPool(Pool pool, NodeConfig node, long seed, SharedResources around) {
        this.config = pool;
        this.classes = node.classesOf(pool.name());
        this.around = around;
        share = around.budget().pool();
        Settings settings = PoolSettings.of(pool, node);
        around.tally().know(PoolSettings.classNames(settings));
        double highest = classes.stream().mapToDouble(RequestClass::worth).max().orElse(1);
        InFlightLimit limit = pool.inFlight() == 0 ? null : new InFlightLimit(pool.inFlight(), highest);
        dispatcher = new Dispatcher(around.clock(), around.loop(), new RatioBalancer(settings, seed), settings.limits(),
            around.tally(), limit);
        called = node.called(pool.name());
        upstream = new MixedProtocolUpstream(dispatcher, new HttpUpstream(around.loop(), around.allocator(), around.clock(), share,
            dispatcher, new PlainUpstreamDialect(around.node()), pool.idle(), pool.connectTimeout(), MOST_IDLE,
            called ? new RpcOverHttp(share.bytes(), pool.body()) : HttpBridge.NONE), () -> rpc(pool));
        dispatcher.connect(upstream, () -> { });
    }

    private RpcUpstream rpc(Pool pool) {
        return new RpcUpstream(around.loop(), around.allocator(), around.clock(), share, dispatcher,
            new RpcUpstream.Options(pool.rpc().connections(), pool.rpc().calls(), pool.rpc().envelope(), pool.body(),
                pool.idle(), pool.connectTimeout()), new HttpOverRpc(share.bytes()), new RpcDropCounter("pool " + pool.name()));
    }

    /** Learns its servers from now on. */
    void start() {
        if (config.file() != null) {
            ListFile file = new ListFile(config.file(), RunningPool::read, this::take);
            watch = around.files().scheduleWithFixedDelay(() -> look(file), LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
            around.files().execute(file::readNow);
        } else if (config.discovery() != null) {
            discovery = new Discovery(around.loop(), around.allocator(),
                Addresses.of(config.discovery().host(), config.discovery().port()), false, 0, false, this::apply, () -> { });
            discovery.startAnew();
        } else {
            apply(PoolSettings.roster(config.servers()));
        }
    }

    private static void look(ListFile file) {
        try {
            file.look();
        } catch (RuntimeException e) {
            Log.failure("reading a list file", e);
        }
    }

    private static Optional<ServerList> read(Path file) {
        Faults faults = new Faults();
        List<Server> servers = ServerLists.file(file, faults);
        faults.list().stream().limit(5).forEach(fault -> Log.line(fault.toString()));
        return Optional.ofNullable(servers).map(PoolSettings::roster);
    }

    /** A list that was read on another thread. */
    private void take(ServerList roster) {
        around.loop().execute(() -> {
            if (!stopped) {
                Log.line("pool " + config.name() + ": the list file names " + roster.hosts().size() + " servers");
                apply(roster);
            }
        });
    }

    private void apply(ServerList roster) {
        anyServer |= !roster.hosts().isEmpty();
        upstream.apply(roster);
        dispatcher.membership(roster.whole() ? ListKind.ALL : ListKind.CHANGES, roster.entries());
    }

    /** Whether it can go on as it is, with at the most other servers, under a new configuration. */
    boolean serves(Pool next, NodeConfig node) {
        return config.differsInServersOnly(next) && called == node.called(next.name()) && classes.equals(node.classesOf(next.name()));
    }

    /** Takes another fixed list, where there is one. */
    void servers(Pool next) {
        if (!next.servers().equals(config.servers())) {
            apply(PoolSettings.roster(next.servers()));
        }
        config = next;
    }

    boolean ready() {
        return anyServer;
    }

    Target target() {
        return new Target(dispatcher, share.bytes(), config.body(), config.held());
    }

    RpcCallRouter.Target callTarget() {
        return new RpcCallRouter.Target(dispatcher, share.bytes(), config.body());
    }

    /** Ends it, once nothing is out any more. */
    void stop() {
        stopped = true;
        if (discovery != null) {
            discovery.stop();
        }
        if (watch != null) {
            watch.cancel(false);
        }
        upstream.close();
        share.leave();
    }
}
