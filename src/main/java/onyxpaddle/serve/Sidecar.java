package onyxpaddle.serve;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import onyxpaddle.config.BgpConfig;
import onyxpaddle.config.Fault;
import onyxpaddle.config.Faults;
import onyxpaddle.config.HostPort;
import onyxpaddle.config.MachineLimits;
import onyxpaddle.config.NodeConfig;
import onyxpaddle.config.NodeConfig.Listener;
import onyxpaddle.config.NodeConfigReader;
import onyxpaddle.bridge.HttpOverRpc;
import onyxpaddle.drain.NodeState;
import onyxpaddle.front.ListeningFront.SharedResources;
import onyxpaddle.http.HttpFront;
import onyxpaddle.http.PlainRequestDialect;
import onyxpaddle.http.PlainRequestDialect.Target;
import onyxpaddle.http.RequestDialect;
import onyxpaddle.node.Addresses;
import onyxpaddle.node.ResourceBudget;
import onyxpaddle.node.Clock;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.FatalErrors;
import onyxpaddle.node.Front;
import onyxpaddle.node.Log;
import onyxpaddle.node.RequestCounts;
import onyxpaddle.route.ProcedureTable;
import onyxpaddle.route.RouteTable;
import onyxpaddle.rpc.RpcCallRouter;
import onyxpaddle.rpc.RpcDropCounter;
import onyxpaddle.rpc.RpcFront;

/**
 * A node with a configuration file of listeners, routes and pools, which a reload adds and removes. A change is atomic: new listeners
 * are bound first, and nothing else changes before all are bound. Requests accepted earlier keep the routes and pools that they were
 * accepted with, which are closed once these requests have ended.
 */
public final class Sidecar implements Lifecycle.Work {
    private static final int EXIT_CONFIG = 78;
    private static final long CLOSE_RETIRED_MS = 50;
    private static final long MAX_SHUTDOWN_S = 60;
    private static final int MAX_FAULTS_LOGGED = 20;

    private final Lifecycle lifecycle = new Lifecycle(this);
    private final EventLoop loop = lifecycle.loop;
    private final Clock clock = lifecycle.clock;
    private final ByteBufAllocator allocator = lifecycle.allocator;
    private final SecureRandom seeds = new SecureRandom();
    private final String idPrefix = Long.toHexString(seeds.nextLong()) + "-";
    private final ScheduledExecutorService files = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "list-files");
        thread.setDaemon(true);
        return thread;
    });
    private final ResourceBudget budget;
    /** The state of the inbound listeners, and that of the outbound ones, for the application's own calls, which shut down later. */
    private final NodeState inbound = lifecycle.state;
    private final NodeState outbound = new NodeState();
    /** Counts of the whole process, so that they outlive pools that a reload replaces. */
    private final RequestCounts tally = new RequestCounts(List.of(), lifecycle.events);
    private final Map<String, RunningPool> pools = new LinkedHashMap<>();
    private final Map<String, BoundListener> boundListeners = new LinkedHashMap<>();
    private final List<RunningPool> retiredPools = new ArrayList<>();
    private final List<Front> retiredFronts = new ArrayList<>();
    private final NodeConfig first;
    private NodeConfig config;
    /** Null until a configuration has a BGP section. */
    private BgpAnnouncer bgpAnnouncer;
    private Future<?> closeRetiredTask;
    private long requests;
    /** The change being applied, and the newest one waiting for it. */
    private Change current;
    private Change next;

    /** A bound listener; {@code outbound}: the side it was opened on. */
    private record BoundListener(Listener listener, Front front, InetSocketAddress address, boolean outbound) {
    }

    private record Change(NodeConfig config, CompletableFuture<String> done) {
    }

    private Sidecar(NodeConfig first) {
        this.first = first;
        long heap = Math.min(first.limits().memory(), Runtime.getRuntime().maxMemory());
        budget = new ResourceBudget(first.limits().descriptors(), heap);
    }

    /** Runs a node until the process is terminated; {@code admin} overrides the file's admin address, null for no override. */
    public static void main(Path file, HostPort admin) {
        FatalErrors.endProcessOnUncaughtErrors();
        Faults faults = new Faults();
        NodeConfig first = NodeConfigReader.file(file, MachineLimits.ofThisMachine(), faults);
        if (first == null) {
            faults.list().forEach(System.err::println);
            System.exit(EXIT_CONFIG);
        }
        try {
            Sidecar node = start(admin == null ? first : first.withAdmin(admin));
            SighupHandler.install(() -> node.reload(file));
            Runtime.getRuntime().addShutdownHook(new Thread(node::drain, "drain"));
        } catch (Exception e) {
            System.err.println("lupinmount: cannot start: " + e.getMessage());
            System.exit(1);
        }
    }

    /** Starts a node; fails if an address is in use. */
    public static Sidecar start(NodeConfig first) throws Exception {
        Sidecar node = new Sidecar(first);
        HostPort admin = first.admin();
        Path folder = first.handover();
        node.lifecycle.start(new Lifecycle.Options(first.name(), admin == null ? null : Addresses.of(admin.host(), admin.port()),
            folder == null ? null : folder.toString(), MAX_SHUTDOWN_S));
        return node;
    }

    /** Starts pools before listeners: next to another serving process, this one listens only once its pools have servers. */
    @Override
    public void build() {
        commitPools(first);
    }

    @Override
    public CompletableFuture<Void> listen() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        change(first).thenAccept(failure -> {
            if (failure == null) {
                done.complete(null);
            } else {
                done.completeExceptionally(new java.io.IOException(failure));
            }
        });
        return done;
    }

    @Override
    public Map<String, Dispatcher> pools() {
        Map<String, Dispatcher> dispatchers = new LinkedHashMap<>();
        pools.forEach((name, pool) -> dispatchers.put(name, pool.dispatcher));
        return dispatchers;
    }

    @Override
    public List<Dispatcher> retiredPools() {
        return retiredPools.stream().map(pool -> pool.dispatcher).toList();
    }

    @Override
    public String bgpReport() {
        return bgpAnnouncer == null ? null : bgpAnnouncer.report();
    }

    @Override
    public RequestCounts tally() {
        return tally;
    }

    // ---- configuration changes ----

    EventLoop loop() {
        return loop;
    }

    /** Rereads the file, off the event loop. An invalid file changes nothing, and its faults are logged. */
    void reload(Path file) {
        Faults faults = new Faults();
        NodeConfig read = NodeConfigReader.file(file, MachineLimits.ofThisMachine(), faults);
        if (read == null) {
            Log.line("reload: nothing is changed, as the file is at fault:");
            faults.list().stream().limit(MAX_FAULTS_LOGGED).map(Fault::toString).forEach(Log::line);
            loop.execute(() -> lifecycle.reloaded(false));
            return;
        }
        change(read).thenAccept(failure -> {
            lifecycle.reloaded(failure == null);
            Log.line(failure == null ? "reload: done" : "reload: nothing is changed: " + failure);
        });
    }

    /** Counts a change that was not made by {@link #reload}. */
    void reloaded(boolean applied) {
        loop.execute(() -> lifecycle.reloaded(applied));
    }

    /**
     * Switches to a configuration. The result is null once it is in force, or the reason why nothing was changed. Of the changes
     * requested while one is being applied only the newest is applied; the skipped ones complete with its result.
     */
    public CompletableFuture<String> change(NodeConfig to) {
        Change change = new Change(to, new CompletableFuture<>());
        loop.execute(() -> {
            if (next != null) {
                CompletableFuture<String> skipped = next.done();
                change.done().thenAccept(skipped::complete);
            }
            next = change;
            applyNext();
        });
        return change.done();
    }

    private void applyNext() {
        if (current != null || next == null) {
            return;
        }
        current = next;
        next = null;
        List<BoundListener> opened = new ArrayList<>();
        List<io.netty.util.concurrent.Future<?>> binding = new ArrayList<>();
        for (Listener listener : current.config().listeners().values()) {
            if (existing(listener) == null) {
                SharedResources context = new SharedResources(loop, allocator, clock, budget, listener.outbound() ? outbound : inbound,
                    lifecycle.events);
                Front front = listener.rpc() ? new RpcFront(context, new RpcDropCounter("listener " + listener.name()))
                    : new HttpFront(context, null, this::ready);
                binding.add(front.listen(Addresses.of(listener.address().host(), listener.address().port()), lifecycle.sharesAddresses()));
                opened.add(new BoundListener(listener, front, null, listener.outbound()));
            }
        }
        awaitBinds(opened, binding, 0, null);
    }

    /** Waits for the binds one after the other, then commits the change, or closes the new listeners if a bind failed. */
    private void awaitBinds(List<BoundListener> opened, List<io.netty.util.concurrent.Future<?>> binding, int index, String failure) {
        if (index < binding.size()) {
            binding.get(index).addListener(f -> {
                String error = f.isSuccess() ? failure : "cannot listen on " + opened.get(index).listener().address() + " ("
                    + opened.get(index).listener().name() + "): " + f.cause().getMessage();
                awaitBinds(opened, binding, index + 1, error);
            });
            return;
        }
        Change change = current;
        if (failure == null) {
            List<BoundListener> ready = new ArrayList<>();
            for (int i = 0; i < opened.size(); i++) {
                BoundListener bound = opened.get(i);
                ready.add(new BoundListener(bound.listener(), bound.front(), bound.front().address(), bound.outbound()));
            }
            commit(change.config(), ready);
        } else {
            opened.forEach(bound -> bound.front().close());
        }
        change.done().complete(failure);
        current = null;
        applyNext();
    }

    private BoundListener existing(Listener listener) {
        BoundListener bound = boundListeners.get(listener.name());
        return bound != null && bound.listener().sameEndpoint(listener) ? bound : null;
    }

    private void commit(NodeConfig to, List<BoundListener> opened) {
        if (config != null && !config.limits().equals(to.limits())) {
            Log.line("reload: a change of `limits` takes effect at the next start; all other changes are applied");
        }
        if (config != null && !java.util.Objects.equals(config.handover(), to.handover())) {
            Log.line("reload: a change of `handover` takes effect at the next start; all other changes are applied");
        }
        config = to;
        commitPools(to);
        Map<String, Target> targets = new HashMap<>();
        pools.forEach((name, pool) -> targets.put(name, pool.target()));
        Map<String, BoundListener> previous = new HashMap<>(boundListeners);
        boundListeners.clear();
        for (Listener listener : to.listeners().values()) {
            BoundListener old = previous.get(listener.name());
            BoundListener bound = old != null && old.listener().sameEndpoint(listener) ? old
                : opened.stream().filter(d -> d.listener().equals(listener)).findFirst().orElseThrow();
            if (bound.front() instanceof HttpFront front) {
                front.use(dialect(to, listener, targets));
            } else {
                ((RpcFront) bound.front()).use(calls(to, listener));
            }
            if (bound == old) {
                previous.remove(listener.name());
            } else {
                bound.front().open();
                Log.line("listener " + listener.name() + " listens on " + bound.address());
            }
            if (bound.outbound() != listener.outbound()) {
                Log.line("reload: listener " + listener.name()
                    + " changes its side at the next start, as its open connections keep the old one");
            }
            boundListeners.put(listener.name(), new BoundListener(listener, bound.front(), bound.address(), bound.outbound()));
        }
        for (BoundListener bound : previous.values()) {
            Log.line("listener " + bound.listener().name() + " on " + bound.address() + " is removed");
            bound.front().retire();
            retiredFronts.add(bound.front());
        }
        updateBgp(to);
        if (closeRetiredTask == null) {
            closeRetiredTask = loop.scheduleWithFixedDelay(this::closeRetired, CLOSE_RETIRED_MS, CLOSE_RETIRED_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void updateBgp(NodeConfig to) {
        if (bgpAnnouncer == null && to.bgp() != null) {
            bgpAnnouncer = new BgpAnnouncer(lifecycle, () -> pools, () -> retiredPools, seeds.nextLong());
        }
        if (bgpAnnouncer != null) {
            bgpAnnouncer.apply(to.bgp() != null ? to.bgp() : new BgpConfig(0, 0, null, Map.of(), Map.of()));
        }
    }

    private void commitPools(NodeConfig to) {
        Map<String, RunningPool> previous = new HashMap<>(pools);
        pools.clear();
        to.pools().forEach((name, pool) -> {
            RunningPool old = previous.get(name);
            if (old != null && old.canServe(pool, to)) {
                old.updateServers(pool);
                previous.remove(name);
                pools.put(name, old);
            } else {
                RunningPool created = new RunningPool(pool, to, seeds.nextLong(),
                    new RunningPool.Context(loop, allocator, clock, budget, files, tally, to.name()));
                created.start();
                pools.put(name, created);
            }
        });
        retiredPools.addAll(previous.values());
    }

    private RequestDialect dialect(NodeConfig to, Listener listener, Map<String, Target> targets) {
        RouteTable table = new RouteTable(to.routes().stream().filter(r -> r.listener().equals(listener.name())).toList());
        return new PlainRequestDialect(table, targets, PoolSettings.classes(to), to.tenant(), listener.idle(),
            () -> idPrefix + Long.toHexString(requests++), HttpOverRpc::acceptsBody);
    }

    private RpcCallRouter calls(NodeConfig to, Listener listener) {
        Map<String, RpcCallRouter.Target> targets = new HashMap<>();
        pools.forEach((name, pool) -> targets.put(name, pool.rpcTarget()));
        ProcedureTable table = new ProcedureTable(to.procedures().stream()
            .filter(p -> p.listener().equals(listener.name())).toList());
        return new RpcCallRouter(table, targets, PoolSettings.callClasses(to), to.tenant(), listener.idle(), listener.openCalls(),
            () -> idPrefix + Long.toHexString(requests++));
    }

    /** Closes retired fronts without open connections, and retired pools that no front uses any more. */
    private void closeRetired() {
        retiredFronts.removeIf(front -> {
            if (front.empty()) {
                front.close();
            }
            return front.empty();
        });
        for (Iterator<RunningPool> i = retiredPools.iterator(); i.hasNext();) {
            RunningPool pool = i.next();
            // A retired front still accepts requests by its old routes, so all retired pools stay until it is closed.
            if (retiredFronts.isEmpty() && pool.dispatcher.idle()
                    && boundListeners.values().stream().noneMatch(d -> d.front().uses(pool.dispatcher))) {
                pool.stop();
                i.remove();
            }
        }
    }

    // ---- queries ----

    @Override
    public boolean ready() {
        return pools.values().stream().allMatch(RunningPool::ready);
    }

    /** The address that a listener is bound to; null if there is no such listener. */
    public InetSocketAddress address(String listener) {
        try {
            return loop.submit(() -> boundListeners.containsKey(listener) ? boundListeners.get(listener).address() : null).get();
        } catch (InterruptedException | java.util.concurrent.ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    /** How many retired pools and fronts are not closed yet; for tests. */
    int retiringCount() throws Exception {
        return loop.submit(() -> retiredPools.size() + retiredFronts.size()).get();
    }

    // ---- shutdown ----

    /** Shuts down gracefully: returns when all accepted requests are answered. */
    public void drain() {
        lifecycle.drain();
    }

    /**
     * The outbound side shuts down after the inbound one, as the application still makes calls to answer requests that it has
     * accepted. If another process listens at the same addresses, both sides shut down together, as the application's calls can go there.
     */
    @Override
    public void end(long noticedAt, long maxDelay, boolean replaced, Runnable ended) {
        Runnable done = bgpAnnouncer == null ? ended : () -> bgpAnnouncer.stop(ended);
        if (replaced) {
            int[] sidesLeft = {2};
            Runnable sideDone = () -> {
                if (--sidesLeft[0] == 0) {
                    done.run();
                }
            };
            endSide(noticedAt, maxDelay, false, true, sideDone);
            endSide(noticedAt, maxDelay, true, true, sideDone);
        } else {
            // The outbound side shuts down once no inbound caller is left, and its time counts from then.
            endSide(noticedAt, maxDelay, false, false, () -> endSide(clock.now(), 0, true, false, done));
        }
    }

    /** Shuts down the listeners of one side, the inbound one including retired listeners; then runs {@code then}, once. */
    private void endSide(long since, long maxDelay, boolean outbound, boolean replaced, Runnable then) {
        Set<Front> open = new HashSet<>();
        for (BoundListener bound : boundListeners.values()) {
            if (bound.outbound() == outbound) {
                open.add(bound.front());
            }
        }
        if (!outbound) {
            open.addAll(retiredFronts);
        }
        (outbound ? this.outbound : inbound).end(since, replaced,
            open.stream().mapToLong(Front::maxCallerTimeout).max().orElse(0), maxDelay);
        if (open.isEmpty()) {
            then.run();
            return;
        }
        for (Front front : List.copyOf(open)) {
            front.end(() -> {
                if (open.remove(front) && open.isEmpty()) {
                    then.run();
                }
            });
        }
    }

    @Override
    public void close() {
        if (closeRetiredTask != null) {
            closeRetiredTask.cancel(false);
        }
        boundListeners.values().forEach(bound -> bound.front().close());
        retiredFronts.forEach(Front::close);
        pools.values().forEach(RunningPool::stop);
        retiredPools.forEach(RunningPool::stop);
        files.shutdownNow();
    }

    InetSocketAddress adminAddress() {
        return lifecycle.adminAddress();
    }

    /** Stops immediately. */
    public void stop() {
        lifecycle.stop();
    }
}
