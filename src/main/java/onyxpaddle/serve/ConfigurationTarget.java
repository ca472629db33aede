package onyxpaddle.serve;

import java.util.concurrent.CompletableFuture;
import onyxpaddle.config.NodeConfig;

/** What configurations are applied to: a node, or in measurements a stub without a data path. */
public interface ConfigurationTarget {
    /**
     * Switches to a validated configuration. Called on the worker thread of {@link DistributedConfiguration}, one call at a time.
     *
     * @return completes with null once the configuration is in force, or with the reason why nothing was changed
     */
    CompletableFuture<String> apply(NodeConfig config);
}
