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
import onyxpaddle.node.Front;
import onyxpaddle.node.Log;
import onyxpaddle.node.RequestCounts;
import onyxpaddle.route.ProcedureTable;
import onyxpaddle.route.RouteTable;
import onyxpaddle.rpc.RpcCallRouter;
import onyxpaddle.rpc.RpcDropCounter;
import onyxpaddle.rpc.RpcFront;

/**
 * A node by a configuration of its own: listeners, routes and pools, which come and go as the file changes. A change is
 * all or nothing: listeners that are new are bound first, and only when all are does anything else move. What was
 * taken before goes on by the routes and pools it was taken by; they end when it has.
 */
public final class Sidecar implements Lifecycle.Work {
    private static final int EXIT_CONFIG = 78;
    private static final long REAP_MS = 50;
    private static final long LONGEST_DRAIN_S = 60;
    private static final int MOST_FAULTS_LOGGED = 20;

    private final Lifecycle life = new Lifecycle(this);
    private final EventLoop loop = life.loop;
    private final Clock clock = life.clock;
    private final ByteBufAllocator allocator = life.allocator;
    private final SecureRandom seeds = new SecureRandom();
    private final String idPrefix = Long.toHexString(seeds.nextLong()) + "-";
    private final ScheduledExecutorService files = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "list-files");
        thread.setDaemon(true);
        return thread;
    });
    private final ResourceBudget budget;
    /** Of the listeners for others; and of those for what the application itself calls, which end after them. */
    private final NodeState inbound = life.state;
    private final NodeState outbound = new NodeState();
    /** Of the process: a pool that a reload replaces takes no count along. */
    private final RequestCounts tally = new RequestCounts(List.of());
    private final Map<String, RunningPool> pools = new LinkedHashMap<>();
    private final Map<String, Door> doors = new LinkedHashMap<>();
    private final List<RunningPool> leavingPools = new ArrayList<>();
    private final List<Front> leavingFronts = new ArrayList<>();
    private final NodeConfig first;
    private NodeConfig config;
    /** Null as long as nothing is to be bgpReport. */
    private BgpAnnouncer announcing;
    private Future<?> reaping;
    private long requests;
    /** The change that is under way, and the newest that waits for it. */
    private Change current;
    private Change next;

    /** A listener as it install; {@code outbound}: the side it was opened on. */
    private record Door(Listener listener, Front front, InetSocketAddress bound, boolean outbound) {
    }

    private record Change(NodeConfig config, CompletableFuture<String> done) {
    }

    private Sidecar(NodeConfig first) {
        this.first = first;
        long heap = Math.min(first.limits().memory(), Runtime.getRuntime().maxMemory());
        budget = new ResourceBudget(first.limits().descriptors(), heap);
    }

    /** Runs a node by the file, until it is told to stop; {@code admin}: in place of the file's, null for that. */
    public static void main(Path file, HostPort admin) {
        Faults faults = new Faults();
        NodeConfig first = NodeConfigReader.file(file, MachineLimits.here(), faults);
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

    /** Starts a node; fails where an address is taken. */
    public static Sidecar start(NodeConfig first) throws Exception {
        Sidecar node = new Sidecar(first);
        HostPort admin = first.admin();
        Path folder = first.handover();
        node.life.start(new Lifecycle.Options(first.name(), admin == null ? null : Addresses.of(admin.host(), admin.port()),
            folder == null ? null : folder.toString(), LONGEST_DRAIN_S));
        return node;
    }

    /** Pools learn their servers before there is a listener: where another process serves, this one listens once it can. */
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
        return leavingPools.stream().map(pool -> pool.dispatcher).toList();
    }

    @Override
    public String bgpReport() {
        return announcing == null ? null : announcing.report();
    }

    @Override
    public RequestCounts tally() {
        return tally;
    }

    // ---- change ----

    EventLoop loop() {
        return loop;
    }

    /** Reads the file again, off the event loop; a faulty one changes nothing and is told in full. */
    void reload(Path file) {
        Faults faults = new Faults();
        NodeConfig read = NodeConfigReader.file(file, MachineLimits.here(), faults);
        if (read == null) {
            Log.line("reload: nothing is changed, as the file is at fault:");
            faults.list().stream().limit(MOST_FAULTS_LOGGED).map(Fault::toString).forEach(Log::line);
            loop.execute(() -> life.reloaded(false));
            return;
        }
        change(read).thenAccept(failure -> {
            life.reloaded(failure == null);
            Log.line(failure == null ? "reload: done" : "reload: nothing is changed: " + failure);
        });
    }

    /** Counts a change that came by another way than {@link #reload}. */
    void reloaded(boolean taken) {
        loop.execute(() -> life.reloaded(taken));
    }

    /**
     * Moves to a configuration. What comes is null once it is in force, or why nothing was changed. Of several that
     * come while one is under way, the newest alone is followed up; the others are done when it is.
     */
    public CompletableFuture<String> change(NodeConfig to) {
        Change change = new Change(to, new CompletableFuture<>());
        loop.execute(() -> {
            if (next != null) {
                CompletableFuture<String> passed = next.done();
                change.done().thenAccept(passed::complete);
            }
            next = change;
            proceed();
        });
        return change.done();
    }

    private void proceed() {
        if (current != null || next == null) {
            return;
        }
        current = next;
        next = null;
        List<Door> fresh = new ArrayList<>();
        List<io.netty.util.concurrent.Future<?>> binding = new ArrayList<>();
        for (Listener listener : current.config().listeners().values()) {
            if (standing(listener) == null) {
                SharedResources around = new SharedResources(loop, allocator, clock, budget, listener.outbound() ? outbound : inbound);
                Front front = listener.rpc() ? new RpcFront(around, new RpcDropCounter("listener " + listener.name()))
                    : new HttpFront(around, null, this::ready);
                binding.add(front.listen(Addresses.of(listener.address().host(), listener.address().port()), life.shares()));
                fresh.add(new Door(listener, front, null, listener.outbound()));
            }
        }
        bound(fresh, binding, 0, null);
    }

    /** Waits for one bind after the other, then goes on, or takes back those that went well. */
    private void bound(List<Door> fresh, List<io.netty.util.concurrent.Future<?>> binding, int index, String failure) {
        if (index < binding.size()) {
            binding.get(index).addListener(f -> {
                String wrong = f.isSuccess() ? failure : "cannot listen on " + fresh.get(index).listener().address() + " ("
                    + fresh.get(index).listener().name() + "): " + f.cause().getMessage();
                bound(fresh, binding, index + 1, wrong);
            });
            return;
        }
        Change change = current;
        if (failure == null) {
            List<Door> ready = new ArrayList<>();
            for (int i = 0; i < fresh.size(); i++) {
                Door door = fresh.get(i);
                ready.add(new Door(door.listener(), door.front(), door.front().address(), door.outbound()));
            }
            commit(change.config(), ready);
        } else {
            fresh.forEach(door -> door.front().close());
        }
        change.done().complete(failure);
        current = null;
        proceed();
    }

    private Door standing(Listener listener) {
        Door door = doors.get(listener.name());
        return door != null && door.listener().sameDoor(listener) ? door : null;
    }

    private void commit(NodeConfig to, List<Door> fresh) {
        if (config != null && !config.limits().equals(to.limits())) {
            Log.line("reload: `limits` hold from a start only; all else is taken");
        }
        if (config != null && !java.util.Objects.equals(config.handover(), to.handover())) {
            Log.line("reload: `handover` holds from a start only; all else is taken");
        }
        config = to;
        commitPools(to);
        Map<String, Target> targets = new HashMap<>();
        pools.forEach((name, pool) -> targets.put(name, pool.target()));
        Map<String, Door> before = new HashMap<>(doors);
        doors.clear();
        for (Listener listener : to.listeners().values()) {
            Door old = before.get(listener.name());
            Door door = old != null && old.listener().sameDoor(listener) ? old
                : fresh.stream().filter(d -> d.listener().equals(listener)).findFirst().orElseThrow();
            if (door.front() instanceof HttpFront front) {
                front.use(dialect(to, listener, targets));
            } else {
                ((RpcFront) door.front()).use(calls(to, listener));
            }
            if (door == old) {
                before.remove(listener.name());
            } else {
                door.front().open();
                Log.line("listener " + listener.name() + " is on " + door.bound());
            }
            if (door.outbound() != listener.outbound()) {
                Log.line("reload: listener " + listener.name() + " stays on its side until a start, as its connections do");
            }
            doors.put(listener.name(), new Door(listener, door.front(), door.bound(), door.outbound()));
        }
        for (Door door : before.values()) {
            Log.line("listener " + door.listener().name() + " on " + door.bound() + " ends");
            door.front().retire();
            leavingFronts.add(door.front());
        }
        announce(to);
        if (reaping == null) {
            reaping = loop.scheduleWithFixedDelay(this::reap, REAP_MS, REAP_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void announce(NodeConfig to) {
        if (announcing == null && to.bgp() != null) {
            announcing = new BgpAnnouncer(life, () -> pools, () -> leavingPools, seeds.nextLong());
        }
        if (announcing != null) {
            announcing.use(to.bgp() != null ? to.bgp() : new BgpConfig(0, 0, null, Map.of(), Map.of()));
        }
    }

    private void commitPools(NodeConfig to) {
        Map<String, RunningPool> before = new HashMap<>(pools);
        pools.clear();
        to.pools().forEach((name, pool) -> {
            RunningPool old = before.get(name);
            if (old != null && old.serves(pool, to)) {
                old.servers(pool);
                before.remove(name);
                pools.put(name, old);
            } else {
                RunningPool unit = new RunningPool(pool, to, seeds.nextLong(),
                    new RunningPool.SharedResources(loop, allocator, clock, budget, files, tally, to.name()));
                unit.start();
                pools.put(name, unit);
            }
        });
        leavingPools.addAll(before.values());
    }

    private RequestDialect dialect(NodeConfig to, Listener listener, Map<String, Target> targets) {
        RouteTable table = new RouteTable(to.routes().stream().filter(r -> r.listener().equals(listener.name())).toList());
        return new PlainRequestDialect(table, targets, PoolSettings.classes(to), to.tenant(), listener.idle(),
            () -> idPrefix + Long.toHexString(requests++), HttpOverRpc::acceptsBody);
    }

    private RpcCallRouter calls(NodeConfig to, Listener listener) {
        Map<String, RpcCallRouter.Target> targets = new HashMap<>();
        pools.forEach((name, pool) -> targets.put(name, pool.callTarget()));
        ProcedureTable table = new ProcedureTable(to.procedures().stream()
            .filter(p -> p.listener().equals(listener.name())).toList());
        return new RpcCallRouter(table, targets, PoolSettings.callClasses(to), to.tenant(), listener.idle(), listener.openCalls(),
            () -> idPrefix + Long.toHexString(requests++));
    }

    /** Lets go of the fronts and pools that nothing needs any more. */
    private void reap() {
        leavingFronts.removeIf(front -> {
            if (front.empty()) {
                front.close();
            }
            return front.empty();
        });
        for (Iterator<RunningPool> i = leavingPools.iterator(); i.hasNext();) {
            RunningPool pool = i.next();
            // A retired front still reads by the routes it had, so all its pools stay for as long as it does.
            if (leavingFronts.isEmpty() && pool.dispatcher.idle()
                    && doors.values().stream().noneMatch(d -> d.front().uses(pool.dispatcher))) {
                pool.stop();
                i.remove();
            }
        }
    }

    // ---- what is asked of it ----

    @Override
    public boolean ready() {
        return pools.values().stream().allMatch(RunningPool::ready);
    }

    /** Where a listener is bound; null where there is no such listener. */
    public InetSocketAddress address(String listener) {
        try {
            return loop.submit(() -> doors.containsKey(listener) ? doors.get(listener).bound() : null).get();
        } catch (InterruptedException | java.util.concurrent.ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    /** How many pools and fronts still end, for tests. */
    int retiringCount() throws Exception {
        return loop.submit(() -> leavingPools.size() + leavingFronts.size()).get();
    }

    // ---- end ----

    /** Ends as planned: returns when all that was taken is answered. */
    public void drain() {
        life.drain();
    }

    /**
     * The outbound side ends after the inbound one, as the application needs what it calls to answer what it has taken.
     * Beside a process that listens in this one's place both end at once: the application's calls have another way.
     */
    @Override
    public void end(long heard, long late, boolean replaced, Runnable ended) {
        Runnable done = announcing == null ? ended : () -> announcing.end(ended);
        if (replaced) {
            int[] sides = {2};
            Runnable side = () -> {
                if (--sides[0] == 0) {
                    done.run();
                }
            };
            endSide(heard, late, false, true, side);
            endSide(heard, late, true, true, side);
        } else {
            // The application's own side ends once no caller of others is left, and counts from then.
            endSide(heard, late, false, false, () -> endSide(clock.now(), 0, true, false, done));
        }
    }

    /** Ends the listeners of one side, and those of an earlier configuration with the inbound one; then goes on, once. */
    private void endSide(long since, long late, boolean outbound, boolean replaced, Runnable then) {
        Set<Front> open = new HashSet<>();
        for (Door door : doors.values()) {
            if (door.outbound() == outbound) {
                open.add(door.front());
            }
        }
        if (!outbound) {
            open.addAll(leavingFronts);
        }
        (outbound ? this.outbound : inbound).end(since, replaced,
            open.stream().mapToLong(Front::maxCallerTimeout).max().orElse(0), late);
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
        if (reaping != null) {
            reaping.cancel(false);
        }
        doors.values().forEach(door -> door.front().close());
        leavingFronts.forEach(Front::close);
        pools.values().forEach(RunningPool::stop);
        leavingPools.forEach(RunningPool::stop);
        files.shutdownNow();
    }

    InetSocketAddress adminAddress() {
        return life.adminAddress();
    }

    /** Ends at once. */
    public void stop() {
        life.stop();
    }
}
