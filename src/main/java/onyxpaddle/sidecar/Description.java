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
 * The description of an application by its developers, from which the configuration of its node is generated.
 *
 * @param inbound the address for HTTP callers, {@code inboundRpc} the one for MessagePack-RPC callers; one of the two may be null
 * @param admin the address of the admin endpoint, null for none; {@code handover}: the path of the handover socket, null for none
 * @param own the pool of the application itself
 * @param others the class of requests for all other paths; null if they are refused
 */
record Description(Path file, ConfigView at, String name, String tenant, Ports ports, HostPort inbound, HostPort inboundRpc,
        HostPort admin, Path handover, Limits limits, Pool own, Map<String, Served> serves, RequestClass others, Map<String, Call> calls) {
    /** Ports on 127.0.0.1, one for each protocol; 0 for none. */
    record Ports(int http, int rpc) {
    }

    /** A class and the requests that belong to it. */
    record Served(RequestClass requestClass, List<String> paths, Set<String> methods, List<String> procedures) {
    }

    /**
     * A service that the application calls.
     *
     * @param application whether the service is an application on this machine, looked up by name
     */
    record Call(String name, ConfigView at, Ports ports, Pool pool, boolean application, Map<String, Served> classes,
            RequestClass others) {
    }
}
