package onyxpaddle.serve;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import onyxpaddle.BalancerApi.BalancerSnapshot;
import onyxpaddle.admin.AdminOperations;
import onyxpaddle.admin.AdminServer;
import onyxpaddle.admin.MetricsExposition;
import onyxpaddle.admin.ServerReport;
import onyxpaddle.admin.SiteReport;
import onyxpaddle.drain.NodeState;
import onyxpaddle.front.LoopClock;
import onyxpaddle.handover.HandoverSocket;
import onyxpaddle.handover.RunMessage;
import onyxpaddle.handover.RunRegister;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.FatalErrors;
import onyxpaddle.node.Log;
import onyxpaddle.node.NodeEvents;
import onyxpaddle.node.RunListener;
import onyxpaddle.node.SocketBuffers;
import onyxpaddle.node.RequestCounts;
import onyxpaddle.socket.NodeEventLoop;

/**
 * The life cycle of a node's process, independent of what it serves: the event loop, the admin server, the node's state, the
 * handover socket by which one process replaces another, and the graceful shutdown. What it serves is its {@link Work}. All methods
 * except {@link #start}, {@link #drain} and {@link #stop} run on the event loop.
 */
final class Lifecycle {
    private static final long READY_POLL_MS = 10;
    /**
     * Number of JVM threads that a signal passes through before {@link #drain} runs: the signal dispatcher, the thread that it starts
     * to exit, and the shutdown hook. On a node short of CPU time each of them waits to be scheduled for about as long as the event
     * loop does now. Guards against a shutdown that counts from the time of the hook and accepts requests that SIGKILL then
     * interrupts. Drawback: if that one delay was long by chance, the requests with the longest deadlines are refused that much sooner.
     */
    private static final int SIGNAL_THREADS = 3;

    /** What a node serves. */
    interface Work {
        /** Starts everything except the listeners. */
        void build();

        /** Listens and accepts connections; fails if an address is in use. */
        CompletableFuture<Void> listen();

        /** Whether requests can be served, apart from whether it listens. */
        boolean ready();

        /** Whether it serves without any listed server, so that requests are refused. */
        default boolean withoutServers() {
            return false;
        }

        /** The current pools by name. */
        Map<String, Dispatcher> pools();

        /** Pools of earlier configurations that still have requests in flight. */
        List<Dispatcher> retiredPools();

        /** BGP peers and announced addresses as JSON; null without BGP. */
        String bgpReport();

        /** Counts since the start of the process. */
        RequestCounts tally();

        /**
         * Shuts down gracefully: answers accepted requests and calls {@code done} when none is left.
         *
         * @param noticedAt when this process noticed the shutdown signal, by the node's clock
         * @param maxDelay upper bound of the time from the signal to {@code noticedAt}, in nanoseconds
         * @param replaced whether another process listens at the same addresses
         */
        void end(long noticedAt, long maxDelay, boolean replaced, Runnable done);

        /** Closes everything immediately. */
        void close();
    }

    /**
     * @param name the node's name, the same for all its processes
     * @param admin the address of the admin server; null for none
     * @param folder the folder of the handover socket; null for no handover
     * @param maxShutdownSeconds the maximum duration of a graceful shutdown, in seconds
     */
    record Options(String name, InetSocketAddress admin, String folder, long maxShutdownSeconds) {
    }

    final EventLoop loop;
    /** Counts of the process, with the ids of requests in the log if the environment asks for it. */
    final NodeEvents events = new NodeEvents("1".equals(System.getenv("LUPINMOUNT_LOG_REQUESTS")));
    final LoopClock clock = new LoopClock(events);
    final ByteBufAllocator allocator = SocketBuffers.allocator();
    final NodeState state = new NodeState();
    private final MultiThreadIoEventLoopGroup group = NodeEventLoop.group(clock.handlerFactory());
    private final CompletableFuture<Void> serving = new CompletableFuture<>();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final Work work;
    private Options options = new Options("", null, null, 0);
    private AdminServer adminServer;
    private HandoverSocket handover;
    private long reloads;
    private long failedReloads;
    private volatile boolean stopping;

    Lifecycle(Work work) {
        this.work = work;
        loop = group.next();
    }

    // ---- start ----

    /** Returns once it listens; if it cannot, releases all resources and throws. */
    void start(Options given) throws IOException {
        options = given;
        loop.terminationFuture().addListener(f -> {
            if (!stopping) {
                FatalErrors.exit("the event loop has ended");
            }
        });
        try {
            loop.submit(this::build).sync();
            serving.join();
        } catch (CompletionException e) {
            stop();
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } catch (InterruptedException e) {
            stop();
            throw new IOException("interrupted", e);
        } catch (RuntimeException e) {
            stop();
            throw e;
        }
    }

    private void build() {
        work.build();
        if (options.admin() != null) {
            adminServer = new AdminServer(loop, allocator, new NodeOperations());
            adminServer.listen(options.admin()).addListener(f -> {
                if (!f.isSuccess()) {
                    serving.completeExceptionally(new IOException("cannot listen on " + options.admin() + " (admin): "
                        + f.cause().getMessage(), f.cause()));
                }
            });
        }
        handover = HandoverSocket.in(options.folder(), options.name(), loop, new RunsOfPools());
        if (handover == null) {
            listen();
        } else {
            handover.requestState(this::listenAfterHandover);
        }
    }

    /**
     * Listens once it is known whether another process of this node is serving. Next to such a process it waits until this one is
     * ready: connections that the kernel assigned to it before would have to wait.
     */
    private void listenAfterHandover(boolean present, Map<String, BalancerSnapshot> states) {
        if (states != null) {
            int servers = 0;
            for (Map.Entry<String, Dispatcher> pool : work.pools().entrySet()) {
                BalancerSnapshot snapshot = states.get(pool.getKey());
                if (snapshot != null) {
                    pool.getValue().restore(snapshot);
                    servers += snapshot.servers().size();
                }
            }
            Log.line("handover: restored the state of " + servers + " servers");
        }
        if (present) {
            listenWhenReady();
        } else {
            listen();
        }
    }

    private void listenWhenReady() {
        if (work.ready()) {
            listen();
        } else {
            loop.schedule(this::listenWhenReady, READY_POLL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void listen() {
        work.listen().whenComplete((nothing, failure) -> {
            if (failure != null) {
                serving.completeExceptionally(failure);
                return;
            }
            if (handover != null) {
                work.pools().forEach((name, pool) -> pool.onceOnly().setListener(new RunTeller(name)));
                handover.listen(() -> work.pools().entrySet().stream()
                    .collect(Collectors.toMap(Map.Entry::getKey, pool -> pool.getValue().snapshot())));
            }
            serving.complete(null);
        });
    }

    /** Tells the other processes of this node of the requests of one pool. */
    private final class RunTeller implements RunListener {
        private final String pool;

        RunTeller(String pool) {
            this.pool = pool;
        }

        @Override
        public void mayHaveRun(String id) {
            handover.tell(new RunMessage(RunMessage.Kind.MAY_HAVE_RUN, pool, id));
        }

        @Override
        public void neverRan(String id) {
            handover.tell(new RunMessage(RunMessage.Kind.NEVER_RAN, pool, id));
        }
    }

    /** What this process knows of requests that must run once, and learns of the other processes of this node. */
    private final class RunsOfPools implements RunRegister {
        @Override
        public List<RunMessage> current() {
            return work.pools().entrySet().stream().flatMap(pool -> pool.getValue().onceOnly().ids().stream()
                .map(id -> new RunMessage(RunMessage.Kind.MAY_HAVE_RUN, pool.getKey(), id))).toList();
        }

        @Override
        public void received(RunMessage message) {
            Dispatcher pool = work.pools().get(message.pool());
            if (pool != null && message.kind() == RunMessage.Kind.MAY_HAVE_RUN) {
                pool.onceOnly().mayHaveRunElsewhere(message.id());
            } else if (pool != null) {
                pool.onceOnly().neverRanElsewhere(message.id());
            }
        }
    }

    boolean listens() {
        return serving.isDone() && !serving.isCompletedExceptionally();
    }

    /** Whether several processes of this node may listen at one address. */
    boolean sharesAddresses() {
        return options.folder() != null;
    }

    /** The bound address of the admin server; only valid if one is configured. */
    InetSocketAddress adminAddress() {
        return adminServer.address();
    }

    /** Counts a new configuration as applied or as refused. */
    void reloaded(boolean applied) {
        if (applied) {
            reloads++;
        } else {
            failedReloads++;
        }
    }

    // ---- admin operations ----

    private final class NodeOperations implements AdminOperations {
        @Override
        public boolean ready() {
            return listens() && state.acceptsWork() && work.ready();
        }

        @Override
        public boolean withoutServers() {
            return work.withoutServers();
        }

        @Override
        public String metrics() {
            return MetricsExposition.of(clock.now(), work.tally(), work.pools().values(), work.retiredPools(), reloads, failedReloads);
        }

        @Override
        public String servers() {
            return ServerReport.of(work.pools());
        }

        @Override
        public String bgp() {
            return work.bgpReport();
        }

        @Override
        public String sites() {
            return SiteReport.of(work.pools());
        }

        @Override
        public boolean setSiteHeld(String name, boolean hold) {
            boolean changed = false;
            for (Dispatcher pool : work.pools().values()) {
                changed |= pool.setSiteHold(name, hold);
            }
            return changed;
        }

        @Override
        public boolean drain() {
            Log.line("an operator drains the node");
            return state.drain(clock.now());
        }

        @Override
        public boolean setServerDisabled(String server, boolean disabled) {
            boolean known = false;
            for (Dispatcher pool : work.pools().values()) {
                known |= pool.takeOut(server, disabled);
            }
            Log.line("an operator " + (disabled ? "disables" : "enables") + " server " + server + (known ? "" : ", which is not known"));
            return known;
        }

        @Override
        public boolean undrain() {
            Log.line("an operator ends the drain of the node");
            return state.undrain(clock.now());
        }
    }

    // ---- shutdown ----

    /** Shuts down gracefully: returns when all accepted requests are answered. */
    void drain() {
        // Taken before the task is queued: the time until SIGKILL runs whatever the event loop is busy with.
        long noticedAt = clock.now();
        loop.execute(() -> {
            if (!listens()) {
                // No request was accepted, so there is none to answer.
                ended.countDown();
                return;
            }
            boolean replaced = handover != null && handover.hasSuccessor();
            Log.line(replaced ? "ending, as another process serves" : "ending");
            long schedulingDelay = Math.max(clock.now() - noticedAt, clock.lag());
            work.end(noticedAt, SIGNAL_THREADS * schedulingDelay, replaced, ended::countDown);
        });
        try {
            ended.await(options.maxShutdownSeconds(), TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void closeAll() {
        work.close();
        if (adminServer != null) {
            adminServer.close();
        }
        if (handover != null) {
            handover.close();
        }
    }

    /**
     * Stops immediately. Listeners are closed before their event loop ends: the JDK defers the close of a registered channel to the
     * next select, which a terminated loop never makes, so the kernel would go on accepting connections that nobody serves.
     */
    void stop() {
        stopping = true;
        try {
            loop.submit(this::closeAll).syncUninterruptibly();
            loop.schedule(() -> { }, 1, TimeUnit.MILLISECONDS).syncUninterruptibly();
        } catch (RejectedExecutionException e) {
            // The event loop has already terminated.
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
