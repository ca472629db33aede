package onyxpaddle.scale;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import onyxpaddle.config.Faults;
import onyxpaddle.config.MachineLimits;
import onyxpaddle.config.NodeConfig;
import onyxpaddle.config.SourceFile;
import onyxpaddle.distribution.ConfigurationVersion;
import onyxpaddle.distribution.Subscription;
import onyxpaddle.serve.DistributedConfiguration;

/**
 * A node without the data path that follows the control processes: the program's own watch, table, overlay, check and snapshot on disk. Only
 * what a configuration moves in a node's listeners and pools is left out.
 */
final class ConfiguredNode {
    private final DistributedConfiguration configuration;
    private volatile long appliedAt;

    /** Starts at once; {@code worker}: runs one task at a time; {@code state}: where it keeps what is in force. */
    ConfiguredNode(NodePlan plan, String service, List<InetSocketAddress> replicas, EventLoop loop, ByteBufAllocator allocator, Executor worker,
            Path state) {
        Faults faults = new Faults();
        DistributedConfiguration.Origin origin = new DistributedConfiguration.Origin(new Subscription(plan.name(), service),
            SourceFile.parse(plan.name() + ".yaml", plan.yaml("127.0.0.1:9", null), faults), Path.of("."), MachineLimits.UNKNOWN, state);
        if (faults.any()) {
            throw new IllegalStateException(faults.list().toString());
        }
        configuration = new DistributedConfiguration(origin, new DistributedConfiguration.Control(loop, allocator, replicas), worker, this::apply);
        configuration.start();
    }

    private CompletableFuture<String> apply(NodeConfig config) {
        appliedAt = System.nanoTime();
        return CompletableFuture.completedFuture(null);
    }

    /** The newest version whose entries are in force. */
    ConfigurationVersion inForce() {
        return configuration.currentStatus().inForce();
    }

    /** When the last configuration was applied, by the machine's monotonic clock. */
    long appliedAt() {
        return appliedAt;
    }

    void stop() {
        configuration.stop();
    }
}
