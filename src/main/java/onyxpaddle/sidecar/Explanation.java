package onyxpaddle.sidecar;

import java.net.URI;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.UnaryOperator;
import onyxpaddle.config.NodeConfig;
import onyxpaddle.config.NodeConfig.Effect;
import onyxpaddle.config.NodeConfig.Listener;
import onyxpaddle.config.NodeConfig.Pool;
import onyxpaddle.config.NodeConfig.RequestClass;
import onyxpaddle.config.Units;
import onyxpaddle.route.Procedure;
import onyxpaddle.route.ProcedureTable;
import onyxpaddle.route.Route;
import onyxpaddle.route.RouteTable;

/** Explains how a node with a given configuration handles one request, as lines `property: value`. */
final class Explanation {
    private Explanation() {
    }

    /**
     * Explains a request. The URL's port selects the listener; without a port it is the listener {@code inbound}, or else the first.
     *
     * @param headers keyed by lower-case name
     */
    static Map<String, String> of(NodeConfig config, String method, URI url, Map<String, String> headers) {
        Map<String, String> lines = new LinkedHashMap<>();
        Listener listener = listener(config, url);
        if (listener == null) {
            lines.put("answer", "none: no listener is on port " + url.getPort());
            return lines;
        }
        lines.put("listener", listener.name() + " on " + listener.address());
        if (listener.rpc()) {
            call(lines, config, listener, method, url);
            return lines;
        }
        String host = headers.getOrDefault("host", url.getHost());
        String path = url.getRawPath() == null || url.getRawPath().isEmpty() ? "/" : url.getRawPath();
        UnaryOperator<String> header = headers::get;
        List<Route> routes = config.routes().stream().filter(r -> r.listener().equals(listener.name())).toList();
        Route route = new RouteTable(routes).find(host, path, method, header);
        if (route == null) {
            lines.put("answer", Route.METHODS.contains(method) ? "404 at once: no route matches"
                : "501 at once: the node does not route the method " + method);
        } else {
            matched(lines, config, route, path, url, headers);
        }
        for (Route other : routes) {
            if (other != route) {
                String miss = RouteTable.mismatch(other, host, path, method, header);
                lines.put("not " + other.name(), miss != null ? miss : "matches too, but " + route.name() + " ("
                    + route.conditions() + ") takes precedence over " + other.conditions());
            }
        }
        return lines;
    }

    /** A call by MessagePack-RPC, {@code CALL rpc://HOST:PORT/PROCEDURE}. */
    private static void call(Map<String, String> lines, NodeConfig config, Listener listener, String method, URI url) {
        String name = url.getPath() == null ? "" : url.getPath().replaceFirst("^/", "");
        List<Procedure> all = config.procedures().stream().filter(p -> p.listener().equals(listener.name())).toList();
        Procedure found = new ProcedureTable(all).find(name);
        if (!method.equals("CALL") || found == null) {
            lines.put("answer", !method.equals("CALL") ? "none: a MessagePack-RPC listener; use CALL rpc://HOST:PORT/NAME"
                : "the error no-method at once: no procedure matches `" + name + "`");
            return;
        }
        RequestClass c = config.classes().get(found.requestClass());
        Pool pool = config.pools().get(found.pool());
        lines.put("procedure", found.name() + " (" + found.pattern() + ")");
        lines.put("pool", pool.name() + ": " + servers(pool));
        lines.put("mapped", found.path() == null ? "to no path: MessagePack-RPC servers only"
            : "to POST " + found.mapped(name) + " for HTTP-only servers");
        lines.put("class", c.name());
        lines.put("effect", c.effect().name().toLowerCase(Locale.ROOT) + (c.effect() != Effect.KEYED ? ""
            : ", unsafe without a key in its envelope" + withheldKeys(pool)));
        lines.put("deadline", Units.formatSpan(c.deadline()) + ", or `expires` of its envelope if that is sooner");
        lines.put("aim", Units.formatSpan(c.aim()));
        lines.put("attempts", "at most " + pool.attempts() + (c.retry() ? "" : ", a further one only if no earlier one was executed"));
        lines.put("largest parameters", Units.formatSize(pool.body()));
        for (Procedure other : all) {
            if (other != found) {
                lines.put("not " + other.name(), new ProcedureTable(List.of(other)).find(name) == null
                    ? "matches only " + other.pattern() : "matches too, but " + found.pattern() + " is longer");
            }
        }
    }

    private static Listener listener(NodeConfig config, URI url) {
        if (url.getPort() >= 0) {
            return config.listeners().values().stream().filter(l -> l.address().port() == url.getPort()).findFirst()
                .orElse(null);
        }
        return config.listeners().getOrDefault("inbound", config.listeners().values().iterator().next());
    }

    private static void matched(Map<String, String> lines, NodeConfig config, Route route, String path, URI url,
            Map<String, String> headers) {
        RequestClass c = config.classes().get(route.requestClass());
        Pool pool = config.pools().get(route.pool());
        boolean unkeyed = c.effect() == Effect.KEYED && !headers.containsKey("idempotency-key");
        lines.put("route", route.name() + " (" + route.conditions() + ")");
        lines.put("pool", pool.name() + ": " + servers(pool));
        lines.put("goes on as", route.rewrittenPath(path) + (url.getRawQuery() == null ? "" : "?" + url.getRawQuery()));
        lines.put("class", c.name());
        lines.put("effect", unkeyed ? "unsafe, as it is keyed and has no Idempotency-Key"
            : c.effect().name().toLowerCase(Locale.ROOT)
                + (c.effect() == Effect.KEYED && route.procedure() != null ? withheldKeys(pool) : ""));
        lines.put("deadline", Units.formatSpan(c.deadline()) + (headers.containsKey("x-expires-in")
            ? ", or X-Expires-In if that is sooner" : ""));
        lines.put("aim", Units.formatSpan(c.aim()));
        boolean retried = c.retry() && !unkeyed;
        lines.put("attempts", "at most " + pool.attempts() + (retried ? "" : ", a further one only if no earlier one was executed"));
        lines.put("refused", pool.inFlight() == 0 ? "never because of requests in flight"
            : "503 at once with " + pool.inFlight() + " in flight");
        lines.put("largest body", Units.formatSize(pool.body()));
    }

    /** When keys have no effect in this pool; empty if they always have one. */
    private static String withheldKeys(Pool pool) {
        boolean fixed = pool.file() == null && pool.discovery() == null;
        boolean reachedByRpc = !fixed || pool.servers().stream().anyMatch(server -> server.rpc() != null);
        return pool.rpc().envelope() || !reachedByRpc ? ""
            : ", unsafe while a server may get it by MessagePack-RPC, which tells it no key (`rpc.envelope: false`)";
    }

    private static String servers(Pool pool) {
        return pool.file() != null ? "the servers in " + pool.file()
            : pool.discovery() != null ? "the servers from discovery at " + pool.discovery()
            : String.join(", ", pool.servers().stream().map(s -> s.displayAddresses()).toList());
    }
}
