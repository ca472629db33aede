package onyxpaddle.serve;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import onyxpaddle.config.Fault;
import onyxpaddle.config.Faults;
import onyxpaddle.config.MachineLimits;
import onyxpaddle.config.NodeConfig;
import onyxpaddle.config.NodeConfig.Listener;
import onyxpaddle.config.NodeConfigReader;
import onyxpaddle.bridge.HttpOverRpc;
import onyxpaddle.drain.NodeState;
import onyxpaddle.front.ListeningFront.Surroundings;
import onyxpaddle.http.HttpFront;
import onyxpaddle.http.PlainRequests;
import onyxpaddle.http.PlainRequests.Target;
import onyxpaddle.http.RequestDialect;
import onyxpaddle.node.Addresses;
import onyxpaddle.node.Budget;
import onyxpaddle.node.Clock;
import onyxpaddle.node.Front;
import onyxpaddle.node.Log;
import onyxpaddle.node.Sockets;
import onyxpaddle.route.ProcedureTable;
import onyxpaddle.route.RouteTable;
import onyxpaddle.rpc.RpcCalls;
import onyxpaddle.rpc.RpcCounts;
import onyxpaddle.rpc.RpcFront;

/**
 * A node by a configuration of its own: listeners, routes and pools, which come and go as the file changes. A change is
 * all or nothing: listeners that are new are bound first, and only when all are does anything else move. What was
 * taken before goes on by the routes and pools it was taken by; they end when it has.
 */
public final class Sidecar {
    private static final int EXIT_CONFIG = 78;
    private static final long REAP_MS = 50;
    private static final long LONGEST_DRAIN_S = 60;
    private static final int MOST_FAULTS_LOGGED = 20;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Clock clock = new Clock();
    private final ByteBufAllocator allocator = Sockets.allocator();
    private final SecureRandom seeds = new SecureRandom();
    private final String idPrefix = Long.toHexString(seeds.nextLong()) + "-";
    private final ScheduledExecutorService files = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "list-files");
        thread.setDaemon(true);
        return thread;
    });
    private final Budget budget;
    /** Of the listeners for others; and of those for what the application itself calls, which end after them. */
    private final NodeState inbound = new NodeState();
    private final NodeState outbound = new NodeState();
    private final Map<String, PoolUnit> pools = new LinkedHashMap<>();
    private final Map<String, Door> doors = new LinkedHashMap<>();
    private final List<PoolUnit> leavingPools = new ArrayList<>();
    private final List<Front> leavingFronts = new ArrayList<>();
    private NodeConfig config;
    private Future<?> reaping;
    private long requests;
    /** The change that is under way, and the newest that waits for it. */
    private Change current;
    private Change next;

    /** A listener as it runs; {@code outbound}: the side it was opened on. */
    private record Door(Listener listener, Front front, InetSocketAddress bound, boolean outbound) {
    }

    private record Change(NodeConfig config, CompletableFuture<String> done) {
    }

    private Sidecar(NodeConfig first) {
        long heap = Math.min(first.limits().memory(), Runtime.getRuntime().maxMemory());
        budget = new Budget(first.limits().descriptors(), heap);
    }

    /** Runs a node by the file, until it is told to stop. */
    public static void main(Path file) {
        Faults faults = new Faults();
        NodeConfig first = NodeConfigReader.file(file, MachineLimits.here(), faults);
        if (first == null) {
            faults.list().forEach(System.err::println);
            System.exit(EXIT_CONFIG);
        }
        try {
            Sidecar node = start(first);
            Hangup.runs(() -> node.reload(file));
            Runtime.getRuntime().addShutdownHook(new Thread(node::drain, "drain"));
        } catch (Exception e) {
            System.err.println("lupinmount: cannot start: " + e.getMessage());
            System.exit(1);
        }
    }

    /** Starts a node; fails where an address is taken. */
    public static Sidecar start(NodeConfig first) throws Exception {
        Sidecar node = new Sidecar(first);
        String failure = node.change(first).get();
        if (failure != null) {
            node.stop();
            throw new java.io.IOException(failure);
        }
        return node;
    }

    // ---- change ----

    /** Reads the file again, off the event loop; a faulty one changes nothing and is told in full. */
    void reload(Path file) {
        Faults faults = new Faults();
        NodeConfig read = NodeConfigReader.file(file, MachineLimits.here(), faults);
        if (read == null) {
            Log.line("reload: nothing is changed, as the file is at fault:");
            faults.list().stream().limit(MOST_FAULTS_LOGGED).map(Fault::toString).forEach(Log::line);
            return;
        }
        change(read).thenAccept(failure -> Log.line(failure == null ? "reload: done"
            : "reload: nothing is changed: " + failure));
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
                Surroundings around = new Surroundings(loop, allocator, clock, budget, listener.outbound() ? outbound : inbound);
                Front front = listener.rpc() ? new RpcFront(around, new RpcCounts("listener " + listener.name()))
                    : new HttpFront(around, null, this::ready);
                binding.add(front.listen(Addresses.of(listener.address().host(), listener.address().port()), false));
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
        if (reaping == null) {
            reaping = loop.scheduleWithFixedDelay(this::reap, REAP_MS, REAP_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void commitPools(NodeConfig to) {
        Map<String, PoolUnit> before = new HashMap<>(pools);
        pools.clear();
        to.pools().forEach((name, pool) -> {
            PoolUnit old = before.get(name);
            if (old != null && old.serves(pool, to)) {
                old.servers(pool);
                before.remove(name);
                pools.put(name, old);
            } else {
                PoolUnit unit = new PoolUnit(pool, to, seeds.nextLong(),
                    new PoolUnit.Surroundings(loop, allocator, clock, budget, files, to.name()));
                unit.start();
                pools.put(name, unit);
            }
        });
        leavingPools.addAll(before.values());
    }

    private RequestDialect dialect(NodeConfig to, Listener listener, Map<String, Target> targets) {
        RouteTable table = new RouteTable(to.routes().stream().filter(r -> r.listener().equals(listener.name())).toList());
        return new PlainRequests(table, targets, PoolSettings.classes(to), to.tenant(), listener.idle(),
            () -> idPrefix + Long.toHexString(requests++), HttpOverRpc::sound);
    }

    private RpcCalls calls(NodeConfig to, Listener listener) {
        Map<String, RpcCalls.Target> targets = new HashMap<>();
        pools.forEach((name, pool) -> targets.put(name, pool.callTarget()));
        ProcedureTable table = new ProcedureTable(to.procedures().stream()
            .filter(p -> p.listener().equals(listener.name())).toList());
        return new RpcCalls(table, targets, PoolSettings.callClasses(to), to.tenant(), listener.idle(), listener.openCalls(),
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
        for (Iterator<PoolUnit> i = leavingPools.iterator(); i.hasNext();) {
            PoolUnit pool = i.next();
            // A retired front still reads by the routes it had, so all its pools stay for as long as it does.
            if (leavingFronts.isEmpty() && pool.dispatcher.idle()
                    && doors.values().stream().noneMatch(d -> d.front().uses(pool.dispatcher))) {
                pool.stop();
                i.remove();
            }
        }
    }

    // ---- what is asked of it ----

    private boolean ready() {
        return pools.values().stream().allMatch(PoolUnit::ready);
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
    int leaving() throws Exception {
        return loop.submit(() -> leavingPools.size() + leavingFronts.size()).get();
    }

    // ---- end ----

    /**
     * Ends as planned: returns when all that was taken is answered. The outbound side drains after the inbound one, as
     * the application needs what it calls to answer what it has taken.
     */
    public void drain() {
        Log.line("draining");
        CountDownLatch left = new CountDownLatch(1);
        loop.execute(() -> drain(false, () -> drain(true, left::countDown)));
        try {
            left.await(LONGEST_DRAIN_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Drains the listeners of one side, then goes on, once. */
    private void drain(boolean outbound, Runnable then) {
        Set<Front> open = new HashSet<>();
        for (Door door : doors.values()) {
            if (door.outbound() == outbound) {
                open.add(door.front());
            }
        }
        if (open.isEmpty()) {
            then.run();
            return;
        }
        (outbound ? this.outbound : inbound).end(clock.now(), false,
            open.stream().mapToLong(Front::longestPatience).max().orElse(0));
        for (Front front : List.copyOf(open)) {
            front.end(() -> {
                if (open.remove(front) && open.isEmpty()) {
                    then.run();
                }
            });
        }
    }

    /** Ends at once. */
    public void stop() {
        files.shutdownNow();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
