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
import onyxpaddle.config.NodeConfig.Effect;
import onyxpaddle.config.NodeConfig.Pool;
import onyxpaddle.config.NodeConfig.RequestClass;
import onyxpaddle.config.NodeConfig.Server;
import onyxpaddle.config.NodeConfig;
import onyxpaddle.config.ServerListReader;
import onyxpaddle.http.HttpBridge;
import onyxpaddle.http.HttpUpstream;
import onyxpaddle.http.PlainUpstreamDialect;
import onyxpaddle.http.PlainRequestDialect.Target;
import onyxpaddle.membership.Discovery;
import onyxpaddle.membership.ListFile;
import onyxpaddle.membership.ServerTable;
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

/** A pool in operation: its servers, their balancer, and the source of its server list. */
final class RunningPool {
    /**
     * Maximum number of idle connections per server. Guards against a new connection for each request, which exhausts the machine's
     * local ports within seconds, as a node on one machine may send all its traffic to one server. Drawback: too many for a server
     * that accepts fewer connections than that; the pool's share of the file descriptors is a further bound.
     */
    private static final int MAX_IDLE_CONNECTIONS = 256;
    private static final long FILE_POLL_MS = 250;

    /** What a pool shares with the rest of the node; {@code files}: the executor that reads list files. */
    record Context(EventLoop loop, ByteBufAllocator allocator, Clock clock, ResourceBudget budget,
            ScheduledExecutorService files, RequestCounts tally, String node) {
    }

    final Dispatcher dispatcher;
    private Pool config;
    private final List<RequestClass> classes;
    private final PoolShare share;
    private final MixedProtocolUpstream upstream;
    private final boolean servesRpc;
    private final Context context;
    private Discovery discovery;
    private Future<?> filePoll;
    private boolean stopped;
    private boolean hasServers;
    private boolean keysWithheld;

    RunningPool(Pool pool, NodeConfig node, long seed, Context context) {
        this.config = pool;
        this.classes = node.classesOf(pool.name());
        this.context = context;
        share = context.budget().pool();
        Settings settings = PoolSettings.of(pool, node);
        context.tally().know(PoolSettings.classNames(settings));
        double highestWorth = classes.stream().mapToDouble(RequestClass::worth).max().orElse(1);
        InFlightLimit limit = pool.inFlight() == 0 ? null : new InFlightLimit(pool.inFlight(), highestWorth);
        dispatcher = new Dispatcher(context.clock(), context.loop(), new RatioBalancer(settings, seed), settings.limits(),
            context.tally(), limit);
        servesRpc = node.hasProcedures(pool.name());
        upstream = new MixedProtocolUpstream(dispatcher, new HttpUpstream(context.loop(), context.allocator(), context.clock(),
            share, dispatcher, new PlainUpstreamDialect(context.node()), pool.idle(), pool.connectTimeout(), MAX_IDLE_CONNECTIONS,
            servesRpc ? new RpcOverHttp(share.bytes(), pool.body()) : HttpBridge.NONE), pool.rpc().envelope(), () -> rpc(pool));
        dispatcher.connect(upstream, () -> { });
    }

    private RpcUpstream rpc(Pool pool) {
        return new RpcUpstream(context.loop(), context.allocator(), context.clock(), share, dispatcher,
            new RpcUpstream.Options(pool.rpc().connections(), pool.rpc().calls(), pool.rpc().envelope(), pool.body(),
                pool.idle(), pool.connectTimeout()), new HttpOverRpc(share.bytes()), new RpcDropCounter("pool " + pool.name()));
    }

    /** Starts receiving lists of servers. */
    void start() {
        if (config.file() != null) {
            ListFile file = new ListFile(config.file(), RunningPool::read, this::applyFromFile);
            filePoll = context.files().scheduleWithFixedDelay(() -> poll(file), FILE_POLL_MS, FILE_POLL_MS, TimeUnit.MILLISECONDS);
            context.files().execute(file::readNow);
        } else if (config.discovery() != null) {
            discovery = new Discovery(context.loop(), context.allocator(),
                Addresses.of(config.discovery().host(), config.discovery().port()), false,
                new ServerTable(new ServerList(0, true, List.of())), dispatcher.listStatus(), new DiscoveryListener());
            discovery.restart();
        } else {
            apply(PoolSettings.roster(config.servers()));
        }
    }

    private final class DiscoveryListener implements Discovery.Listener {
        @Override
        public void received(ServerList list, boolean current) {
            apply(list);
        }

        @Override
        public void refused() {
            // Discovery is an agent of this node: it calls again by itself.
        }
    }

    private static void poll(ListFile file) {
        try {
            file.poll();
        } catch (RuntimeException e) {
            Log.failure("reading a list file", e);
        }
    }

    private static Optional<ServerList> read(Path file) {
        Faults faults = new Faults();
        List<Server> servers = ServerListReader.file(file, faults);
        faults.list().stream().limit(5).forEach(fault -> Log.line(fault.toString()));
        return Optional.ofNullable(servers).map(PoolSettings::roster);
    }

    /** Called on the thread that reads list files. */
    private void applyFromFile(ServerList roster) {
        context.loop().execute(() -> {
            if (!stopped) {
                Log.line("pool " + config.name() + ": the list file has " + roster.hosts().size() + " servers");
                apply(roster);
            }
        });
    }

    private void apply(ServerList roster) {
        hasServers |= !roster.hosts().isEmpty();
        upstream.apply(roster);
        logWithheldKeys();
        dispatcher.membership(roster.whole() ? ListKind.ALL : ListKind.CHANGES, roster.entries());
    }

    private void logWithheldKeys() {
        boolean withheld = !upstream.tellsAllKeys() && classes.stream().anyMatch(c -> c.effect() == Effect.KEYED);
        if (withheld && !keysWithheld) {
            Log.line("pool " + config.name() + ": servers are not told keys by MessagePack-RPC (`rpc.envelope: false`); keyed requests that may"
                + " go to them that way count as unsafe");
        }
        keysWithheld = withheld;
    }

    /** Whether this pool can be reused under a new configuration, which differs in its servers at most. */
    boolean canServe(Pool next, NodeConfig node) {
        return config.equalsExceptServers(next) && servesRpc == node.hasProcedures(next.name())
            && classes.equals(node.classesOf(next.name()));
    }

    /** Switches to the configuration's fixed list of servers, if it has changed. */
    void updateServers(Pool next) {
        if (!next.servers().equals(config.servers())) {
            apply(PoolSettings.roster(next.servers()));
        }
        config = next;
    }

    boolean ready() {
        return hasServers;
    }

    Target target() {
        return new Target(dispatcher, share.bytes(), config.body(), config.held());
    }

    RpcCallRouter.Target rpcTarget() {
        return new RpcCallRouter.Target(dispatcher, share.bytes(), config.body());
    }

    /** To be called once no request is in flight any more. */
    void stop() {
        stopped = true;
        if (discovery != null) {
            discovery.stop();
        }
        if (filePoll != null) {
            filePoll.cancel(false);
        }
        upstream.close();
        share.leave();
    }
}
