package onyxpaddle.serve;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import onyxpaddle.BalancerApi.ListKind;
import onyxpaddle.RatioBalancer;
import onyxpaddle.front.ListeningFront.SharedResources;
import onyxpaddle.http.HttpFront;
import onyxpaddle.http.HttpUpstream;
import onyxpaddle.http.PlatformUpstreamDialect;
import onyxpaddle.http.PlatformRequestDialect;
import onyxpaddle.membership.Discovery;
import onyxpaddle.membership.ServerTable;
import onyxpaddle.node.MemoryLimit;
import onyxpaddle.node.ResourceBudget;
import onyxpaddle.node.ResourceBudget.PoolShare;
import onyxpaddle.node.Clock;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.FatalErrors;
import onyxpaddle.node.Log;
import onyxpaddle.node.ServerList;
import onyxpaddle.node.RequestCounts;

/** A node on the platform: one listener and one pool, whose servers come from discovery. */
public final class Node implements Lifecycle.Work {
    /** How long a node without an answer from discovery waits before it serves by the list it was started with. */
    private static final long MIB = 1L << 20;
    private static final long LIST_TIMEOUT = 1_000_000_000L;
    /** Maximum duration of a graceful shutdown; every deadline has long passed by then. */
    private static final long MAX_SHUTDOWN_S = 10;
    /** Fraction of the servers' idle timeout after which an idle connection is not reused. */
    private static final double IDLE_SHARE = 0.7;
    /**
     * Upper bound of that time. On the platform each open connection takes about a hundredth of a server's capacity, and a handshake
     * costs it 2 to 3 ms: a connection that is idle for longer than this costs more than a new one.
     */
    private static final long MAX_IDLE = 400_000_000L;
    /** Maximum number of idle connections per server; each costs the server some of its capacity. */
    private static final int MAX_IDLE_CONNECTIONS = 16;
    /**
     * The platform sends SIGKILL once the longest deadline has passed after SIGTERM, but no later than this and 0.7 s. Guards against
     * a shutdown that counts on deadlines of 4 s and, until it is killed, accepts requests that it can no longer answer. Callers that
     * wait for longer are refused immediately, soon after SIGTERM.
     */
    private static final long MAX_DEADLINE_BEFORE_KILL = 3_000_000_000L;
    private static final int EXIT_CONFIG = 78;

    private final Lifecycle lifecycle = new Lifecycle(this);
    private final Clock clock = lifecycle.clock;
    private final long startedAt = clock.now();
    private final RequestCounts tally = new RequestCounts(List.of(), lifecycle.events);
    private Dispatcher dispatcher;
    private HttpUpstream upstream;
    private Discovery discovery;
    private ServerTable servers;
    private HttpFront front;
    private PlatformConfig config;
    private boolean listReceived;
    private boolean loggedWithoutServers;

    /** The file about the loss of sites; null for none. */
    private final String sites;

    private Node(String sites) {
        this.sites = sites;
    }

    /** Runs a node configured by the environment, until the process is terminated. */
    public static void main() {
        FatalErrors.endProcessOnUncaughtErrors();
        try {
            Node node = new Node(System.getenv("LUPINMOUNT_SITES"));
            SighupHandler.install(() -> node.reload(System.getenv()));
            PlatformConfig config = PlatformConfig.load(System.getenv());
            Runtime.getRuntime().addShutdownHook(new Thread(node::drain, "drain"));
            node.run(config, System.getenv("TMPDIR"));
        } catch (PlatformConfig.InvalidConfigException e) {
            System.err.println("weldlink: " + e.getMessage());
            System.exit(EXIT_CONFIG);
        } catch (Exception e) {
            System.err.println("weldlink: cannot start: " + e);
            Runtime.getRuntime().halt(1);
        }
    }

    static Node start(PlatformConfig config) throws Exception {
        return start(config, null);
    }

    /** {@code folder}: the folder of the handover socket, null for no handover. */
    static Node start(PlatformConfig config, String folder) throws Exception {
        return start(config, folder, null);
    }

    /** {@code sites}: the file about the loss of sites, null for none. */
    static Node start(PlatformConfig config, String folder, String sites) throws Exception {
        Node node = new Node(sites);
        node.run(config, folder);
        return node;
    }

    private void run(PlatformConfig first, String folder) throws IOException {
        config = first;
        lifecycle.start(new Lifecycle.Options(first.name(), first.admin(), folder, MAX_SHUTDOWN_S));
    }

    private void logIfShortOfMemory() {
        MemoryLimit memory = new MemoryLimit(config.memoryBytes(), Runtime.getRuntime().maxMemory());
        if (memory.isShort()) {
            Log.line("limits.memory_mb is " + config.memoryBytes() / MIB + ", and this process may need " + memory.wholeBytes() / MIB
                + ": with many peers it may be killed");
        }
    }

    @Override
    public void build() {
        EventLoop loop = lifecycle.loop;
        logIfShortOfMemory();
        ResourceBudget budget = new ResourceBudget(config.sockets(), Runtime.getRuntime().maxMemory());
        tally.know(PoolSettings.classNames(config.settings()));
        dispatcher = new Dispatcher(clock, loop, new RatioBalancer(config.settings(), config.seed()), config.settings().limits(),
            tally);
        PoolShare share = budget.pool();
        upstream = new HttpUpstream(loop, lifecycle.allocator, clock, share, dispatcher, new PlatformUpstreamDialect(),
            Math.min(MAX_IDLE, (long) (IDLE_SHARE * config.keepalive())), config.settings().limits().connectTimeout(),
            MAX_IDLE_CONNECTIONS);
        if (sites != null && !sites.isEmpty()) {
            // Not used on the platform, where these classes are never loaded.
            dispatcher.setSiteGate(SiteGates.of(sites, config.settings(), config.seed()));
        }
        servers = new ServerTable(config.known());
        discovery = discovery();
        dispatcher.connect(upstream, () -> discovery.subscribe());
        front = new HttpFront(new SharedResources(loop, lifecycle.allocator, clock, budget, lifecycle.state, lifecycle.events),
            new PlatformRequestDialect(config.settings().classes(), dispatcher, share.bytes()), this::ready);
        apply(config.known(), ListKind.CACHED);
        discovery.start();
    }

    /** The address is always shared: the first process cannot know whether there will be a second. */
    @Override
    public CompletableFuture<Void> listen() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        front.listen(config.listen(), true).addListener(f -> {
            if (f.isSuccess()) {
                front.open();
                Log.line("node " + config.name() + " listens on " + front.address());
                done.complete(null);
            } else {
                done.completeExceptionally(f.cause());
            }
        });
        return done;
    }

    @Override
    public Map<String, Dispatcher> pools() {
        return Map.of("", dispatcher);
    }

    @Override
    public List<Dispatcher> retiredPools() {
        return List.of();
    }

    @Override
    public String bgpReport() {
        return null;
    }

    @Override
    public RequestCounts tally() {
        return tally;
    }

    private Discovery discovery() {
        return new Discovery(lifecycle.loop, lifecycle.allocator, config.discovery(), config.settings().mustAskMembership(), servers,
            dispatcher.listStatus(), new DiscoveryListener());
    }

    private final class DiscoveryListener implements Discovery.Listener {
        @Override
        public void received(ServerList list, boolean current) {
            listReceived = true;
            // A list that only takes servers out of use is not yet discovery's word on those that a previous process doubted.
            apply(list, !current ? ListKind.CACHED : list.whole() ? ListKind.ALL : ListKind.CHANGES);
        }

        @Override
        public void refused() {
            dispatcher.membership(ListKind.REFUSED, List.of());
        }
    }

    /**
     * Rereads the configuration, off the event loop, and switches to the discovery address in it. The known servers stay until the
     * new discovery answers; the old one is disconnected immediately, so that a late answer cannot override that
     * list. An invalid file changes nothing. All other settings take effect at the next start only.
     */
    void reload(Map<String, String> environment) {
        try {
            PlatformConfig next = PlatformConfig.reload(environment);
            lifecycle.loop.execute(() -> applyReload(next));
        } catch (PlatformConfig.InvalidConfigException e) {
            Log.line("SIGHUP: the configuration is invalid and stays unchanged: " + e.getMessage());
            lifecycle.loop.execute(() -> lifecycle.reloaded(false));
        }
    }

    private void applyReload(PlatformConfig next) {
        lifecycle.reloaded(true);
        if (discovery == null || next.discovery().equals(config.discovery())) {
            return;
        }
        Log.line("SIGHUP: discovery is at " + next.discovery() + " now");
        config = next;
        discovery.stop();
        discovery = discovery();
        discovery.restart();
    }

    private void apply(ServerList roster, ListKind kind) {
        upstream.apply(roster);
        dispatcher.membership(kind, roster.entries());
        boolean without = withoutServers();
        if (without != loggedWithoutServers) {
            loggedWithoutServers = without;
            Log.line(without ? "no server is listed: requests wait for one and are refused" : "servers are listed");
        }
    }

    /**
     * Ready once discovery has answered, with servers or without: then requests get their answers. The list of the start may be outdated,
     * so with servers in it discovery gets some time to answer first.
     */
    @Override
    public boolean ready() {
        return listReceived || !withoutServers() && clock.now() - startedAt > LIST_TIMEOUT;
    }

    @Override
    public boolean withoutServers() {
        return servers.isEmpty();
    }

    EventLoop loop() {
        return lifecycle.loop;
    }

    InetSocketAddress address() {
        return front.address();
    }

    InetSocketAddress adminAddress() {
        return lifecycle.adminAddress();
    }

    @Override
    public void end(long noticedAt, long maxDelay, boolean replaced, Runnable done) {
        lifecycle.state.end(noticedAt, replaced, Math.min(MAX_DEADLINE_BEFORE_KILL, front.maxCallerTimeout()), maxDelay);
        front.end(done);
    }

    @Override
    public void close() {
        if (lifecycle.listens()) {
            front.close();
        }
        if (discovery != null) {
            discovery.stop();
        }
    }

    /** Shuts down gracefully: returns when all accepted requests are answered. */
    void drain() {
        lifecycle.drain();
    }

    /** Stops immediately. */
    void stop() {
        lifecycle.stop();
    }
}
