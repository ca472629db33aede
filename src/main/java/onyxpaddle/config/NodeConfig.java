package onyxpaddle.config;

import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import onyxpaddle.route.Procedure;
import onyxpaddle.route.Route;

/**
 * A node's configuration, sound: what {@code serve --config} runs by. Spans in nanoseconds, sizes in bytes.
 *
 * @param admin where operators call; null for no door
 * @param handover the folder in which processes of this node meet; null where none takes another's place
 * @param bgp what is announced; null for nothing
 */
public record NodeConfig(String name, String tenant, Limits limits, HostPort admin, Path handover, BgpConfig bgp, Map<String, Listener> listeners,
        Map<String, RequestClass> classes, Map<String, Pool> pools, List<Route> routes,
        List<Procedure> procedures) {
    /** What effect a repeat of a request may have. */
    public enum Effect { SAFE, KEYED, UNSAFE }

    /** {@code memory}: of the heap, for bodies and all else; {@code descriptors}: for all sockets. */
    public record Limits(long memory, int descriptors) {
    }

    /**
     * A listener.
     *
     * @param idle how long a connection may stay open between requests
     * @param rpc callers speak MessagePack-RPC, {@code openCalls} at once on a connection at most; else HTTP
     * @param outbound for what the application itself calls: it serves on until the inbound ones have drained
     */
    public record Listener(String name, HostPort address, long idle, boolean outbound, boolean rpc, int openCalls) {
        /** Whether a listener that stands may go on as this one. */
        public boolean sameEndpoint(Listener other) {
            return address.equals(other.address) && rpc == other.rpc;
        }
    }

    /**
     * A class of requests.
     *
     * @param memory how long servers remember a key, for keyed ones; 0 otherwise
     * @param retry whether a request that may have run is tried again; never for unsafe ones
     */
    public record RequestClass(String name, Effect effect, long aim, long deadline, double worth, double lateWorth,
            long memory, boolean retry) {
    }

    /** One server of a list: {@code address} for HTTP and {@code rpc} for MessagePack-RPC, one of which may be null. */
    public record Server(String id, HostPort address, double weight, String zone, boolean draining, HostPort rpc) {
        /** One that speaks HTTP alone. */
        public Server(String id, HostPort address, double weight, String zone, boolean draining) {
            this(id, address, weight, zone, draining, null);
        }

        /** Where it is reached, by either protocol. */
        public List<HostPort> addresses() {
            return address == null ? List.of(rpc) : rpc == null ? List.of(address) : List.of(address, rpc);
        }

        /** Its addresses, for people. */
        public String displayAddresses() {
            return address == null ? rpc + " (rpc)" : rpc == null ? address.toString() : address + " and " + rpc + " (rpc)";
        }
    }

    /**
     * How a pool's servers are called by MessagePack-RPC.
     *
     * @param connections the most to one server
     * @param calls the most at once on a connection
     * @param envelope whether servers are told of key, tenant and time left
     */
    public record Rpc(int connections, int calls, boolean envelope) {
        public static final Rpc DEFAULT = new Rpc(4, 256, false);
    }

    /**
     * A pool and the one source of its servers: {@code servers}, {@code file} or {@code discovery}.
     *
     * @param keepAlive after which its servers close idle connections
     * @param idle how long this node keeps one to use it again
     * @param inFlight how many requests it holds before it refuses; 0 for no limit
     * @param body the most bytes of a body, both ways
     * @param held the most bytes of a request's body that are held until it is whole; no more than {@code body}
     * @param cold how long a server that has just started is cold; 0 for never
     * @param startCapacity the part of its capacity that a cold server starts with
     */
    public record Pool(String name, List<Server> servers, Path file, HostPort discovery, long connectTimeout,
            long keepAlive, long idle, int attempts, int inFlight, long body, long held, long cold, double startCapacity, Rpc rpc) {
        /** The same but for its servers. */
        public boolean equalsExceptServers(Pool other) {
            return withoutServers().equals(other.withoutServers());
        }

        /** The same with a fixed list of servers. */
        public Pool withServers(List<Server> fixed) {
            return new Pool(name, fixed, null, null, connectTimeout, keepAlive, idle, attempts, inFlight, body, held, cold,
                startCapacity, rpc);
        }

        private Pool withoutServers() {
            return new Pool(name, List.of(), file, discovery, connectTimeout, keepAlive, idle, attempts, inFlight, body,
                held, cold, startCapacity, rpc);
        }
    }

    /** The same with another address for operators, as for a second process beside the first. */
    public NodeConfig withAdmin(HostPort other) {
        return new NodeConfig(name, tenant, limits, other, handover, bgp, listeners, classes, pools, routes, procedures);
    }

    /** The classes that a pool's routes and procedures name. */
    public List<RequestClass> classesOf(String pool) {
        return Stream.concat(routes.stream().filter(r -> r.pool().equals(pool)).map(Route::requestClass),
            procedures.stream().filter(p -> p.pool().equals(pool)).map(Procedure::requestClass)).map(classes::get).distinct()
            .sorted(Comparator.comparing(RequestClass::name)).toList();
    }

    /** Whether bodies of the pool's requests must be held whole, as they are, or may be, MessagePack. */
    public boolean buffersWholeBodies(String pool) {
        return hasProcedures(pool) || routes.stream().anyMatch(r -> r.pool().equals(pool) && r.procedure() != null);
    }

    /** Whether any procedure leads to the pool. */
    public boolean hasProcedures(String pool) {
        return procedures.stream().anyMatch(p -> p.pool().equals(pool));
    }
}
