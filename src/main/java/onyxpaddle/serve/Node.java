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
import onyxpaddle.node.ResourceBudget;
import onyxpaddle.node.ResourceBudget.PoolShare;
import onyxpaddle.node.Clock;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.Log;
import onyxpaddle.node.ServerList;
import onyxpaddle.node.RequestCounts;

/** The platform's node: one listener, one pool whose servers discovery tells. */
public final class Node implements Lifecycle.Work {
    /** How long a node that hears nothing of discovery waits before it works by the list it was started with. */
    private static final long WAIT_FOR_LIST = 1_000_000_000L;
    /** The planned end takes no longer than this; by then every deadline has long passed. */
    private static final long LONGEST_DRAIN_S = 10;
    /** Part of the servers' idle limit after which an idle connection is not used any more. */
    private static final double IDLE_SHARE = 0.7;
    /**
     * And in any case after so long. Each open connection takes some hundredth of a server's capacity there, a handshake
     * costs it 2 to 3 ms: one that rests for longer than this costs more than the next would.
     */
    private static final long LONGEST_IDLE = 400_000_000L;
    /** Connections to a server that are kept; each costs the server some of its capacity. */
    private static final int MOST_IDLE = 16;
    /**
     * SIGKILL waits for the longest deadline, but for no longer than this and 0.7 s. Guards against an end that goes by deadlines of
     * 4 s and takes, until it is killed, what it can't answer any more; callers who wait for longer are refused at once soon after SIGTERM.
     */
    private static final long LONGEST_WAITED_FOR = 3_000_000_000L;
    private static final int EXIT_CONFIG = 78;

    private final Lifecycle life = new Lifecycle(this);
    private final Clock clock = life.clock;
    private final long startedAt = clock.now();
    private final RequestCounts tally = new RequestCounts(List.of());
    private Dispatcher dispatcher;
    private HttpUpstream servers;
    private Discovery discovery;
    private HttpFront clients;
    private PlatformConfig config;
    private boolean anyServer;
    private boolean heard;

    /** The file about the loss of sites; null where there is none. */
    private final String sites;

    private Node(String sites) {
        this.sites = sites;
    }

    /** Runs a node as the environment says, until it is told to stop. */
    public static void main() {
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

    /** {@code folder}: where this node's processes meet, null for none. */
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
        life.start(new Lifecycle.Options(first.name(), first.admin(), folder, LONGEST_DRAIN_S));
    }

    @Override
    public void build() {
        EventLoop loop = life.loop;
        ResourceBudget budget = new ResourceBudget(config.sockets(), Runtime.getRuntime().maxMemory());
        tally.know(PoolSettings.classNames(config.settings()));
        dispatcher = new Dispatcher(clock, loop, new RatioBalancer(config.settings(), config.seed()), config.settings().limits(),
            tally);
        PoolShare share = budget.pool();
        servers = new HttpUpstream(loop, life.allocator, clock, share, dispatcher, new PlatformUpstreamDialect(),
            Math.min(LONGEST_IDLE, (long) (IDLE_SHARE * config.keepalive())), config.settings().limits().connectTimeout(), MOST_IDLE);
        if (sites != null && !sites.isEmpty()) {
            // Off on the platform, where none of it is loaded.
            dispatcher.setSiteGate(SiteGates.of(sites, config.settings(), config.seed()));
        }
        discovery = discovery();
        dispatcher.connect(servers, () -> discovery.subscribe());
        clients = new HttpFront(new SharedResources(loop, life.allocator, clock, budget, life.state),
            new PlatformRequestDialect(config.settings().classes(), dispatcher, share.bytes()), this::ready);
        apply(config.known(), ListKind.CACHED);
        discovery.start();
    }

    /** Always shared: the first process can't know whether there will be a second. */
    @Override
    public CompletableFuture<Void> listen() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        clients.listen(config.listen(), true).addListener(f -> {
            if (f.isSuccess()) {
                clients.open();
                Log.line("node " + config.name() + " listens on " + clients.address());
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
        return new Discovery(life.loop, life.allocator, config.discovery(), config.settings().mustAskMembership(),
            config.known().seq(), anyServer || !config.known().hosts().isEmpty(), roster -> {
                heard = true;
                apply(roster, roster.whole() ? ListKind.ALL : ListKind.CHANGES);
            }, () -> dispatcher.membership(ListKind.REFUSED, List.of()));
    }

    /**
     * Reads the configuration again, off the event loop, and moves to the discovery that it names. The servers held
     * stay until the new one tells its whole list; the old one is let go of at once, so that nothing it still sends
     * can undo that. A file that makes no sense changes nothing. Everything else in it holds from a start only.
     */
    void reload(Map<String, String> environment) {
        try {
            PlatformConfig next = PlatformConfig.reload(environment);
            life.loop.execute(() -> move(next));
        } catch (PlatformConfig.InvalidConfigException e) {
            Log.line("SIGHUP: the configuration stays as it was: " + e.getMessage());
            life.loop.execute(() -> life.reloaded(false));
        }
    }

    private void move(PlatformConfig next) {
        life.reloaded(true);
        if (discovery == null || next.discovery().equals(config.discovery())) {
            return;
        }
        Log.line("SIGHUP: discovery is at " + next.discovery() + " now");
        config = next;
        discovery.stop();
        discovery = discovery();
        discovery.startAnew();
    }

    private void apply(ServerList roster, ListKind kind) {
        anyServer |= !roster.hosts().isEmpty();
        servers.apply(roster);
        dispatcher.membership(kind, roster.entries());
    }

    /** Requests can be served once a server is known; the list at the start may be old, so news is waited for. */
    @Override
    public boolean ready() {
        return anyServer && (heard || clock.now() - startedAt > WAIT_FOR_LIST);
    }

    EventLoop loop() {
        return life.loop;
    }

    InetSocketAddress address() {
        return clients.address();
    }

    InetSocketAddress adminAddress() {
        return life.adminAddress();
    }

    @Override
    public void end(long heard, long late, boolean replaced, Runnable done) {
        life.state.end(heard, replaced, Math.min(LONGEST_WAITED_FOR, clients.maxCallerTimeout()), late);
        clients.end(done);
    }

    @Override
    public void close() {
        if (life.listens()) {
            clients.close();
        }
        if (discovery != null) {
            discovery.stop();
        }
    }

    /** Ends as planned: returns when all that was taken is answered. */
    void drain() {
        life.drain();
    }

    /** Ends at once. */
    void stop() {
        life.stop();
    }
}
