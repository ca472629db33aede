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
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.Log;
import onyxpaddle.node.SocketBuffers;
import onyxpaddle.node.RequestCounts;

/**
 * A process from its start to its end, whatever it serves: the event loop, the operators' door, the node's state, the
 * socket by which one process takes another's place, and the planned end. What it serves is its {@link Work}. All but
 * {@link #start}, {@link #drain} and {@link #stop} happens on the loop.
 */
final class Lifecycle {
    private static final long READY_STEP_MS = 10;
    /**
     * A signal passes through so many threads of the JVM before it is heard here: the one that takes signals, the one that this
     * starts to exit, and the hook's. On a node short of processor time each waits for a turn, as the loop does now. Guards against
     * an end that goes by when it heard and takes what SIGKILL finds; it does harm where one turn just then was long by chance:
     * the longest requests are refused that much sooner.
     */
    private static final int THREADS_TO_HEAR = 3;

    /** What a node serves. */
    interface Work {
        /** Starts all but the listeners. */
        void build();

        /** Listens and takes connections; fails where an address is taken. */
        CompletableFuture<Void> listen();

        /** Whether requests can be served, were it to listen. */
        boolean ready();

        /** The pools by name, as they are now. */
        Map<String, Dispatcher> pools();

        /** Pools of an earlier configuration that still have requests out. */
        List<Dispatcher> retiredPools();

        /** What is bgpReport by BGP, as JSON; null where nothing is. */
        String bgpReport();

        /** What the process has counted since its start. */
        RequestCounts tally();

        /**
         * Answers what is taken, and calls {@code done} when nothing is left.
         *
         * @param heard when the process heard that it ends, by the node's clock
         * @param late how long before, at the most, it was told, in nanoseconds
         * @param replaced another process listens
         */
        void end(long heard, long late, boolean replaced, Runnable done);

        /** Closes all at once. */
        void close();
    }

    /**
     * What a node is told of its life.
     *
     * @param name the same for all processes of a node
     * @param admin where operators call; null for no door
     * @param folder where processes of the node meet; null where none takes another's place
     * @param longestEnd how long a planned end may take, in seconds
     */
    record Options(String name, InetSocketAddress admin, String folder, long longestEnd) {
    }

    final EventLoop loop;
    final LoopClock clock = new LoopClock();
    final ByteBufAllocator allocator = SocketBuffers.allocator();
    /** Of the node: what operators drain. */
    final NodeState state = new NodeState();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, clock.instrument(NioIoHandler.newFactory()));
    private final CompletableFuture<Void> serving = new CompletableFuture<>();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final Work work;
    private Options terms = new Options("", null, null, 0);
    private AdminServer door;
    private HandoverSocket handover;
    private long reloads;
    private long failedReloads;

    Lifecycle(Work work) {
        this.work = work;
        loop = group.next();
    }

    // ---- start ----

    /** Returns once it listens; fails, with nothing left behind, where it can't. */
    void start(Options told) throws IOException {
        terms = told;
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
        if (terms.admin() != null) {
            door = new AdminServer(loop, allocator, new Operations());
            door.listen(terms.admin()).addListener(f -> {
                if (!f.isSuccess()) {
                    serving.completeExceptionally(new IOException("cannot listen on " + terms.admin() + " (admin): "
                        + f.cause().getMessage(), f.cause()));
                }
            });
        }
        handover = HandoverSocket.in(terms.folder(), terms.name(), loop);
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
    private void follow(boolean present, Map<String, BalancerSnapshot> known) {
        if (known != null) {
            int servers = 0;
            for (Map.Entry<String, Dispatcher> pool : work.pools().entrySet()) {
                BalancerSnapshot snapshot = known.get(pool.getKey());
                if (snapshot != null) {
                    pool.getValue().restore(snapshot);
                    servers += snapshot.servers().size();
                }
            }
            Log.line("handover: goes on from what is known of " + servers + " servers");
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
            loop.schedule(this::listenWhenReady, READY_STEP_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void listen() {
        work.listen().whenComplete((nothing, failure) -> {
            if (failure != null) {
                serving.completeExceptionally(failure);
                return;
            }
            if (handover != null) {
                handover.listen(() -> work.pools().entrySet().stream()
                    .collect(Collectors.toMap(Map.Entry::getKey, pool -> pool.getValue().snapshot())));
            }
            serving.complete(null);
        });
    }

    /** Whether it takes connections. */
    boolean listens() {
        return serving.isDone() && !serving.isCompletedExceptionally();
    }

    /** Whether several processes of this node may listen at one address. */
    boolean shares() {
        return terms.folder() != null;
    }

    /** Where operators call; for a node that was given an address for it. */
    InetSocketAddress adminAddress() {
        return door.address();
    }

    /** A new configuration is in force, or changed nothing for its faults. */
    void reloaded(boolean taken) {
        if (taken) {
            reloads++;
        } else {
            failedReloads++;
        }
    }

    // ---- what operators ask for ----

    private final class Operations implements AdminOperations {
        @Override
        public boolean ready() {
            return listens() && state.acceptsWork() && work.ready();
        }

        @Override
        public String figures() {
            return MetricsExposition.of(work.tally(), work.pools().values(), work.retiredPools(), reloads, failedReloads);
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
        public boolean site(String name, boolean hold) {
            boolean done = false;
            for (Dispatcher pool : work.pools().values()) {
                done |= pool.setSiteHold(name, hold);
            }
            return done;
        }

        @Override
        public boolean drain() {
            Log.line("an operator empties the node");
            return state.drain(clock.now());
        }

        @Override
        public boolean takeOut(String server, boolean out) {
            boolean known = false;
            for (Dispatcher pool : work.pools().values()) {
                known |= pool.takeOut(server, out);
            }
            Log.line("an operator " + (out ? "takes out" : "puts back") + " server " + server + (known ? "" : ", which is not known"));
            return known;
        }

        @Override
        public boolean undrain() {
            Log.line("an operator puts the node back to work");
            return state.undrain(clock.now());
        }
    }

    // ---- end ----

    /** Ends as planned: returns when all that was taken is answered. */
    void drain() {
        // Whoever told it to end counts from before this, whatever the loop is busy with.
        long heard = clock.now();
        loop.execute(() -> {
            if (!listens()) {
                // Nothing was taken, so nothing is owed.
                ended.countDown();
                return;
            }
            boolean replaced = handover != null && handover.succeeded();
            Log.line(replaced ? "ending, as another process serves" : "ending");
            long turn = Math.max(clock.now() - heard, clock.lag());
            work.end(heard, THREADS_TO_HEAR * turn, replaced, ended::countDown);
        });
        try {
            ended.await(terms.longestEnd(), TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void closeAll() {
        work.close();
        if (door != null) {
            door.close();
        }
        if (handover != null) {
            handover.close();
        }
    }

    /**
     * Ends at once. Listeners are closed before their loop ends: the JDK puts the close of a registered one off to the next
     * select, and a loop that ends makes none, so that the system would go on taking connections for nobody.
     */
    void stop() {
        try {
            loop.submit(this::closeAll).syncUninterruptibly();
            loop.schedule(() -> { }, 1, TimeUnit.MILLISECONDS).syncUninterruptibly();
        } catch (RejectedExecutionException e) {
            // It has ended already.
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
