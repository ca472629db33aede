package onyxpaddle.config;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import onyxpaddle.route.Route;

/** A node's configuration, sound: what {@code serve --config} runs by. Spans in nanoseconds, sizes in bytes. */
public record NodeConfig(String name, String tenant, Limits limits, Map<String, Listener> listeners,
        Map<String, RequestClass> classes, Map<String, Pool> pools, List<Route> routes) {
    /** What effect a repeat of a request may have. */
    public enum Effect { SAFE, KEYED, UNSAFE }

    /** {@code memory}: of the heap, for bodies and all else; {@code descriptors}: for all sockets. */
    public record Limits(long memory, int descriptors) {
    }

    /**
     * A listener.
     *
     * @param idle how long a connection may stay open between requests
     * @param outbound for what the application itself calls: it serves on until the inbound ones have drained
     */
    public record Listener(String name, HostPort address, long idle, boolean outbound) {
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

    /** One server of a list. */
    public record Server(String id, HostPort address, double weight, String zone, boolean draining) {
    }

    /**
     * A pool and the one source of its servers: {@code servers}, {@code file} or {@code discovery}.
     *
     * @param keepAlive after which its servers close idle connections
     * @param idle how long this node keeps one to use it again
     * @param inFlight how many requests it holds before it refuses; 0 for no limit
     * @param body the most bytes of a body, both ways
     * @param cold how long a server that has just started is cold; 0 for never
     * @param startCapacity the part of its capacity that a cold server starts with
     */
    public record Pool(String name, List<Server> servers, Path file, HostPort discovery, long connectTimeout,
            long keepAlive, long idle, int attempts, int inFlight, long body, long cold, double startCapacity) {
        /** The same but for its servers. */
        public boolean differsInServersOnly(Pool other) {
            return withoutServers().equals(other.withoutServers());
        }

        private Pool withoutServers() {
            return new Pool(name, List.of(), file, discovery, connectTimeout, keepAlive, idle, attempts, inFlight, body,
                cold, startCapacity);
        }
    }

    /** The classes that a pool's routes name. */
    public List<RequestClass> classesOf(String pool) {
        return routes.stream().filter(r -> r.pool().equals(pool)).map(r -> classes.get(r.requestClass())).distinct()
            .sorted(java.util.Comparator.comparing(RequestClass::name)).toList();
    }
}
