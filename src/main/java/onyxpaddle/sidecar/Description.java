package onyxpaddle.sidecar;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import onyxpaddle.config.HostPort;
import onyxpaddle.config.NodeConfig.Limits;
import onyxpaddle.config.NodeConfig.Pool;
import onyxpaddle.config.NodeConfig.RequestClass;
import onyxpaddle.config.ConfigView;

/**
 * An application as its people describe it. What stands in no file is derived.
 *
 * @param inbound where callers connect by HTTP, {@code inboundRpc} by MessagePack-RPC; one of the two may be null
 * @param admin where operators call, null for nowhere; {@code handover}: where its processes meet, null for nowhere
 * @param own the pool that is the application itself
 * @param others the class of requests for all other paths; null where they are turned away
 */
record Description(Path file, ConfigView at, String name, String tenant, Ports ports, HostPort inbound, HostPort inboundRpc,
        HostPort admin, Path handover, Limits limits, Pool own, Map<String, Served> serves, RequestClass others, Map<String, Call> calls) {
    /** Ports on 127.0.0.1, one for each protocol; 0 for none. */
    record Ports(int http, int rpc) {
    }

    /** A class and which requests it is. */
    record Served(RequestClass requestClass, List<String> paths, Set<String> methods, List<String> procedures) {
    }

    /**
     * Something that the application calls.
     *
     * @param application whether it is an application on this machine, by its name
     */
    record Call(String name, ConfigView at, Ports ports, Pool pool, boolean application, Map<String, Served> classes,
            RequestClass others) {
    }
}
