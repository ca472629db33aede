package onyxpaddle.serve;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import onyxpaddle.Balancing.ListKind;
import onyxpaddle.Balancing.Memory;
import onyxpaddle.RatioBalancer;
import onyxpaddle.admin.AdminCalls;
import onyxpaddle.admin.AdminDoor;
import onyxpaddle.admin.Exposition;
import onyxpaddle.drain.NodeState;
import onyxpaddle.front.ListeningFront.Surroundings;
import onyxpaddle.handover.HandoverSocket;
import onyxpaddle.http.HttpFront;
import onyxpaddle.http.HttpUpstream;
import onyxpaddle.http.PlatformAnswers;
import onyxpaddle.http.PlatformRequests;
import onyxpaddle.membership.Discovery;
import onyxpaddle.node.Budget;
import onyxpaddle.node.Budget.PoolShare;
import onyxpaddle.node.Clock;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.Log;
import onyxpaddle.node.Roster;
import onyxpaddle.node.Sockets;

/** The real node: one event loop that reads and writes all sockets and runs the module. */
public final class Node {
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
    private static final int EXIT_CONFIG = 78;
    private static final long READY_STEP_MS = 10;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Clock clock = new Clock();
    private final long startedAt = clock.now();
    private final CountDownLatch drained = new CountDownLatch(1);
    private final NodeState state = new NodeState();
    private final CompletableFuture<InetSocketAddress> serving = new CompletableFuture<>();
    private RatioBalancer module;
    private Dispatcher dispatcher;
    private AdminDoor door;
    private HandoverSocket handover;
    private PoolShare share;
    private HttpUpstream servers;
    private Discovery discovery;
    private HttpFront clients;
    private PlatformConfig config;
    private long reloads;
    private long failedReloads;
    private ByteBufAllocator allocator;
    private boolean anyServer;
    private boolean heard;

    private Node() {
    }

    /** Runs a node as the environment says, until it is told to stop. */
    public static void main() {
        try {
            Node node = new Node();
            Hangup.runs(() -> node.reload(System.getenv()));
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
        Node node = new Node();
        node.run(config, folder);
        return node;
    }

    private void run(PlatformConfig first, String folder) throws Exception {
        try {
            group.next().submit(() -> build(first, folder)).sync();
            serving.get();
        } catch (ExecutionException e) {
            stop();
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } catch (Exception e) {
            stop();
            throw e;
        }
    }

    private void build(PlatformConfig first, String folder) {
        config = first;
        EventLoop loop = group.next();
        allocator = Sockets.allocator();
        Budget budget = new Budget(config.sockets(), Runtime.getRuntime().maxMemory());
        module = new RatioBalancer(config.settings(), config.seed());
        dispatcher = new Dispatcher(clock, loop, module, config.settings().limits(), PoolSettings.tally(config.settings()));
        share = budget.pool();
        servers = new HttpUpstream(loop, allocator, clock, share, dispatcher, new PlatformAnswers(),
            Math.min(LONGEST_IDLE, (long) (IDLE_SHARE * config.keepalive())), config.settings().limits().connectTimeout(), MOST_IDLE);
        discovery = discovery(loop);
        dispatcher.connect(servers, () -> discovery.subscribe());
        clients = new HttpFront(new Surroundings(loop, allocator, clock, budget, state),
            new PlatformRequests(config.settings().classes(), dispatcher, share.bytes()), this::ready);
        apply(config.known(), ListKind.REMEMBERED);
        discovery.start();
        if (config.admin() != null) {
            door = new AdminDoor(loop, allocator, new Operations());
            door.listen(config.admin()).addListener(f -> {
                if (!f.isSuccess()) {
                    serving.completeExceptionally(f.cause());
                }
            });
        }
        handover = HandoverSocket.in(folder, config.name(), loop);
        if (handover == null) {
            listen();
        } else {
            handover.ask(this::follow);
        }
    }

    /**
     * Listens once it is known whether another process of this node serves. Beside one that does, not before this one is
     * ready: what the kernel gave it until then would wait.
     */
    private void follow(boolean present, Memory memory) {
        if (memory != null) {
            module.remember(memory);
            Log.line("handover: goes on from what is known of " + memory.servers().size() + " servers");
        }
        if (present) {
            listenWhenReady();
        } else {
            listen();
        }
    }

    private void listenWhenReady() {
        if (ready()) {
            listen();
        } else {
            group.next().schedule(this::listenWhenReady, READY_STEP_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void listen() {
        clients.listen(config.listen(), true).addListener(f -> {
            if (!f.isSuccess()) {
                serving.completeExceptionally(f.cause());
                return;
            }
            clients.open();
            if (handover != null) {
                handover.listen(() -> module.memory(clock.now()));
            }
            Log.line("node " + config.name() + " listens on " + clients.address());
            serving.complete(clients.address());
        });
    }

    /** What operators ask for. */
    private final class Operations implements AdminCalls {
        @Override
        public boolean ready() {
            return listens() && state.wantsWork() && Node.this.ready();
        }

        @Override
        public String figures() {
            return Exposition.of(List.of(dispatcher), reloads, failedReloads);
        }

        @Override
        public boolean drain() {
            Log.line("an operator empties the node");
            return state.drain(clock.now());
        }

        @Override
        public boolean takeOut(String server, boolean out) {
            boolean known = dispatcher.takeOut(server, out);
            Log.line("an operator " + (out ? "takes out" : "puts back") + " server " + server + (known ? "" : ", which is not known"));
            return known;
        }

        @Override
        public boolean undrain() {
            Log.line("an operator puts the node back to work");
            return state.undrain(clock.now());
        }
    }

    private boolean listens() {
        return serving.isDone() && !serving.isCompletedExceptionally();
    }

    private Discovery discovery(EventLoop loop) {
        return new Discovery(loop, allocator, config.discovery(), config.settings().mustAskMembership(),
            config.known().seq(), roster -> {
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
            group.next().execute(() -> move(next));
        } catch (PlatformConfig.InvalidConfigException e) {
            Log.line("SIGHUP: the configuration stays as it was: " + e.getMessage());
            group.next().execute(() -> failedReloads++);
        }
    }

    private void move(PlatformConfig next) {
        reloads++;
        if (config == null || next.discovery().equals(config.discovery())) {
            return;
        }
        Log.line("SIGHUP: discovery is at " + next.discovery() + " now");
        config = next;
        discovery.stop();
        discovery = discovery(group.next());
        discovery.startAnew();
    }

    private void apply(Roster roster, ListKind kind) {
        anyServer |= !roster.hosts().isEmpty();
        servers.apply(roster);
        dispatcher.membership(kind, roster.entries());
    }

    /** Requests can be served once a server is known; the list at the start may be old, so news is waited for. */
    private boolean ready() {
        return anyServer && (heard || clock.now() - startedAt > WAIT_FOR_LIST);
    }

    InetSocketAddress address() {
        return serving.join();
    }

    /** Where operators call; for a node that was given an address for it. */
    InetSocketAddress adminAddress() {
        return door.address();
    }

    private void closeAll() {
        if (clients != null && listens()) {
            clients.close();
        }
        if (door != null) {
            door.close();
        }
        if (handover != null) {
            handover.close();
        }
        if (discovery != null) {
            discovery.stop();
        }
    }

    /** Ends as planned: returns when all that was taken is answered. */
    void drain() {
        group.next().execute(() -> {
            if (!listens()) {
                // Nothing was taken, so nothing is owed.
                drained.countDown();
                return;
            }
            boolean replaced = handover != null && handover.succeeded();
            Log.line(replaced ? "ending, as another process serves" : "ending");
            state.end(clock.now(), replaced, clients.longestPatience());
            clients.end(drained::countDown);
        });
        try {
            drained.await(LONGEST_DRAIN_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Ends at once. Listeners are closed before their loop ends: the JDK puts the close of a registered one off to the next
     * select, and a loop that ends makes none, so that the system would go on taking connections for nobody.
     */
    void stop() {
        try {
            group.next().submit(this::closeAll).syncUninterruptibly();
            group.next().schedule(() -> { }, 1, TimeUnit.MILLISECONDS).syncUninterruptibly();
        } catch (RejectedExecutionException e) {
            // It has ended already.
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
