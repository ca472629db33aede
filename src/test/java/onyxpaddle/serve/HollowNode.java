package onyxpaddle.serve;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import onyxpaddle.config.Faults;
import onyxpaddle.config.MachineLimits;
import onyxpaddle.config.NodeConfig;
import onyxpaddle.config.SourceFile;
import onyxpaddle.config.Value;
import onyxpaddle.distribution.FakeReplica;
import onyxpaddle.distribution.Subscription;
import onyxpaddle.node.SocketBuffers;

/** A node without a data path: it records each configuration that is applied. */
final class HollowNode implements AutoCloseable {
    static final String BASE = """
        version: 1
        name: n1
        listeners:
          in: {address: "127.0.0.1:8080"}
        classes:
          look: {effect: safe, deadline: 5 s}
        pools:
          app: {servers: ["127.0.0.1:7001"], attempts: 2}
        routes:
          - {name: look, listener: in, path: /, pool: app, class: look}
        """;

    final List<NodeConfig> applied = new CopyOnWriteArrayList<>();
    final DistributedConfiguration configuration;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ExecutorService worker = Executors.newSingleThreadExecutor();
    private volatile CompletableFuture<String> pendingOutcome;

    /** @param state the folder of its configuration cache; null for none */
    HollowNode(Path state, FakeReplica... replicas) {
        this(state, Stream.of(replicas).map(FakeReplica::address).toList());
    }

    HollowNode(Path state, List<InetSocketAddress> replicas) {
        this(BASE, state, replicas);
    }

    HollowNode(String base, Path state, List<InetSocketAddress> replicas) {
        configuration = new DistributedConfiguration(
            new DistributedConfiguration.Origin(new Subscription("n1", "booking"), parsed(base), Path.of("."),
                MachineLimits.UNKNOWN, state),
            new DistributedConfiguration.Control(group.next(), SocketBuffers.allocator(), replicas), worker, this::apply);
    }

    static Value parsed(String text) {
        Faults faults = new Faults();
        Value value = SourceFile.parse("node.yaml", text, faults);
        if (faults.any()) {
            throw new IllegalArgumentException(faults.list().toString());
        }
        return value;
    }

    private CompletableFuture<String> apply(NodeConfig config) {
        applied.add(config);
        CompletableFuture<String> outcome = pendingOutcome == null ? CompletableFuture.completedFuture(null) : pendingOutcome;
        pendingOutcome = null;
        return outcome;
    }

    /** The outcome of the next configuration is that of the returned future: null for in force, otherwise the fault. */
    CompletableFuture<String> holdNextOutcome() {
        pendingOutcome = new CompletableFuture<>();
        return pendingOutcome;
    }

    CompletableFuture<Void> start() {
        return configuration.start();
    }

    /** The attempts of the pool `app` in each applied configuration, in order. */
    List<Integer> attempts() {
        return applied.stream().map(config -> config.pools().get("app").attempts()).toList();
    }

    void awaitAttempts(int attempts) throws InterruptedException {
        Loopback.await(() -> {
            List<Integer> all = attempts();
            return !all.isEmpty() && all.get(all.size() - 1) == attempts;
        });
    }

    /** Stops the node and waits for the worker's tasks, so that nothing is written to the cache afterwards. */
    @Override
    public void close() {
        configuration.stop();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        CompletableFuture.runAsync(() -> { }, worker).join();
        worker.shutdown();
    }
}
