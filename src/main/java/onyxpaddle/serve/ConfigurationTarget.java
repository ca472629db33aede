package onyxpaddle.serve;

import java.util.concurrent.CompletableFuture;
import onyxpaddle.config.NodeConfig;

/** What runs by the configurations that come: a node, or in measurements one without a data path. */
public interface ConfigurationTarget {
    /**
     * Moves to a configuration that was checked; called on the thread of {@link DistributedConfiguration}, one at a time.
     *
     * @return done with null once it is in force, or with the reason why nothing was changed
     */
    CompletableFuture<String> apply(NodeConfig config);
}
