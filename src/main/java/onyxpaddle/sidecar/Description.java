package onyxpaddle.sidecar;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import onyxpaddle.config.HostPort;
import onyxpaddle.config.NodeConfig.Limits;
import onyxpaddle.config.NodeConfig.Pool;
import onyxpaddle.config.NodeConfig.RequestClass;
import onyxpaddle.config.View;

/**
 * An application as its people describe it. What stands in no file is derived.
 *
 * @param own the pool that is the application itself
 * @param others the class of requests for all other paths; null where they are turned away
 */
record Description(Path file, View at, String name, String tenant, int port, HostPort inbound, Limits limits, Pool own,
        Map<String, Served> serves, RequestClass others, Map<String, Call> calls) {
    /** A class and which requests it is. */
    record Served(RequestClass requestClass, List<String> paths, Set<String> methods) {
    }

    /**
     * Something that the application calls.
     *
     * @param application whether it is an application on this machine, by its name
     */
    record Call(String name, View at, int port, Pool pool, boolean application, Map<String, Served> classes,
            RequestClass others) {
    }
}
