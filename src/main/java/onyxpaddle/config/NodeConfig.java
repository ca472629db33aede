package onyxpaddle.config;

import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import onyxpaddle.route.Procedure;
import onyxpaddle.route.Route;

/**
 * The validated configuration of a node, as used by {@code serve --config}. Spans are in nanoseconds, sizes in bytes.
 *
 * @param admin the address of the admin interface; null if there is none
 * @param handover the directory through which a process of this node hands over to its successor; null if handover is off
 * @param bgp the BGP announcements; null if there are none
 */
public record NodeConfig(String name, String tenant, Limits limits, HostPort admin, Path handover, BgpConfig bgp,
        Map<String, Listener> listeners, Map<String, RequestClass> classes, Map<String, Pool> pools, List<Route> routes,
        List<Procedure> procedures) {
    /** The effect of repeating a request. */
    public enum Effect { SAFE, KEYED, UNSAFE }

    /** {@code memory}: the whole heap, of which bodies are a part; {@code descriptors}: for all sockets. */
    public record Limits(long memory, int descriptors) {
    }

    /**
     * A listener.
     *
     * @param idle how long a connection may stay open between requests
     * @param rpc whether callers speak MessagePack-RPC, with at most {@code openCalls} open calls on a connection; otherwise HTTP
     * @param outbound whether it takes calls of the application itself: it serves until the inbound listeners have drained
     */
    public record Listener(String name, HostPort address, long idle, boolean outbound, boolean rpc, int openCalls) {
        /** Whether a running listener of that configuration can be kept for this one. */
        public boolean sameEndpoint(Listener other) {
            return address.equals(other.address) && rpc == other.rpc;
        }
    }

    /**
     * A class of requests.
     *
     * @param memory how long servers remember an idempotency key; 0 unless the class is keyed
     * @param retry whether a request that may have been executed is tried again; always false for unsafe classes
     */
    public record RequestClass(String name, Effect effect, long aim, long deadline, double worth, double lateWorth,
            long memory, boolean retry) {
    }

    /** A server: {@code address} for HTTP and {@code rpc} for MessagePack-RPC, one of which may be null. */
    public record Server(String id, HostPort address, double weight, String zone, boolean draining, HostPort rpc) {
        /** Creates a server that speaks only HTTP. */
        public Server(String id, HostPort address, double weight, String zone, boolean draining) {
            this(id, address, weight, zone, draining, null);
        }

        /** Returns its addresses for both protocols. */
        public List<HostPort> addresses() {
            return address == null ? List.of(rpc) : rpc == null ? List.of(address) : List.of(address, rpc);
        }

        /** Returns its addresses for messages. */
        public String displayAddresses() {
            return address == null ? rpc + " (rpc)" : rpc == null ? address.toString() : address + " and " + rpc + " (rpc)";
        }
    }

    /**
     * Settings for calls to a pool's servers by MessagePack-RPC.
     *
     * @param connections the maximum number of connections to one server
     * @param calls the maximum number of concurrent calls on a connection
     * @param envelope whether calls carry key, tenant and remaining time in an envelope
     */
    public record Rpc(int connections, int calls, boolean envelope) {
        public static final Rpc DEFAULT = new Rpc(4, 256, false);
    }

    /**
     * A pool, whose servers come from exactly one of {@code servers}, {@code file} and {@code discovery}.
     *
     * @param keepAlive the time after which its servers close idle connections
     * @param idle how long this node keeps an idle connection for reuse
     * @param inFlight the number of unanswered requests above which further ones are refused; 0 for no limit
     * @param body the maximum size of a request or response body
     * @param held the number of bytes of a request body that are buffered for further attempts; at most {@code body}
     * @param cold how long a server is cold after its start; 0 if it never is
     * @param startCapacity the fraction of its capacity that a cold server starts with
     */
    public record Pool(String name, List<Server> servers, Path file, HostPort discovery, long connectTimeout,
            long keepAlive, long idle, int attempts, int inFlight, long body, long held, long cold, double startCapacity, Rpc rpc) {
        /** Whether the pools differ at most in their fixed lists of servers. */
        public boolean equalsExceptServers(Pool other) {
            return withoutServers().equals(other.withoutServers());
        }

        /** Returns a copy with a fixed list of servers. */
        public Pool withServers(List<Server> fixed) {
            return new Pool(name, fixed, null, null, connectTimeout, keepAlive, idle, attempts, inFlight, body, held, cold,
                startCapacity, rpc);
        }

        private Pool withoutServers() {
            return new Pool(name, List.of(), file, discovery, connectTimeout, keepAlive, idle, attempts, inFlight, body,
                held, cold, startCapacity, rpc);
        }
    }

    /** Returns a copy with another admin address, for a second process beside the first. */
    public NodeConfig withAdmin(HostPort address) {
        return new NodeConfig(name, tenant, limits, address, handover, bgp, listeners, classes, pools, routes, procedures);
    }

    /** Returns the request classes that the pool's routes and procedures refer to. */
    public List<RequestClass> classesOf(String pool) {
        return Stream.concat(routes.stream().filter(r -> r.pool().equals(pool)).map(Route::requestClass),
            procedures.stream().filter(p -> p.pool().equals(pool)).map(Procedure::requestClass)).map(classes::get).distinct()
            .sorted(Comparator.comparing(RequestClass::name)).toList();
    }

    /** Whether the pool's requests must be buffered whole, as they are or may become MessagePack. */
    public boolean buffersWholeBodies(String pool) {
        return hasProcedures(pool) || routes.stream().anyMatch(r -> r.pool().equals(pool) && r.procedure() != null);
    }

    /** Whether any procedure is routed to the pool. */
    public boolean hasProcedures(String pool) {
        return procedures.stream().anyMatch(p -> p.pool().equals(pool));
    }
}
