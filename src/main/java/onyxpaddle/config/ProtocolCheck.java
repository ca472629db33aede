package onyxpaddle.config;

import java.util.List;
import onyxpaddle.config.NodeConfig.Pool;
import onyxpaddle.config.NodeConfig.Server;
import onyxpaddle.route.Procedure;
import onyxpaddle.route.Route;

/** Finds servers that lack the protocol of a route or procedure to their pool, where no mapping to the other protocol is configured. */
final class ProtocolCheck {
    private ProtocolCheck() {
    }

    /** {@code known}: the pool's servers as far as they are configured, in the file itself or in a list file. */
    static void check(NodeConfig config, Pool pool, ConfigView at, List<Server> known, Faults faults) {
        Route http = config.routes().stream().filter(r -> r.pool().equals(pool.name()) && r.procedure() == null).findFirst()
            .orElse(null);
        Procedure rpc = config.procedures().stream().filter(p -> p.pool().equals(pool.name()) && p.path() == null)
            .findFirst().orElse(null);
        String key = pool.file() != null ? "file" : "servers";
        for (Server server : known) {
            if (http != null && server.address() == null) {
                faults.add(at.place(key), at.path(key), "the server " + server.displayAddresses() + " does not speak HTTP, as the route `"
                    + http.name() + "` does", "its `address`, or a `procedure` for that route");
            }
            if (rpc != null && server.rpc() == null) {
                faults.add(at.place(key), at.path(key), "the server " + server.displayAddresses()
                    + " does not speak MessagePack-RPC, as the procedure `" + rpc.name() + "` does",
                    "its `rpc` address, or a `path` for that procedure");
            }
        }
        if (rpc != null && pool.discovery() != null) {
            faults.add(at.place("discovery"), at.path("discovery"), "discovery lists only HTTP addresses, and the procedure `"
                + rpc.name() + "` has no path", "a `path` for that procedure, or `servers` or `file`");
        }
    }
}
