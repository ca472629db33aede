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

/** What becomes of one request under a configuration, and why, as lines `what: value`. */
final class Explanation {
    private Explanation() {
    }

    /**
     * Explains it; the URL's port chooses the listener, and without one the listener {@code inbound}, or the first.
     *
     * @param headers by lower-case names
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
            lines.put("answer", Route.METHODS.contains(method) ? "404 at once: no route holds"
                : "501 at once: the node routes no " + method);
        } else {
            taken(lines, config, route, path, url, headers);
        }
        for (Route other : routes) {
            if (other != route) {
                String miss = RouteTable.mismatch(other, host, path, method, header);
                lines.put("not " + other.name(), miss != null ? miss : "holds too, but " + route.name() + " ("
                    + route.conditions() + ") goes before " + other.conditions());
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
            lines.put("answer", !method.equals("CALL") ? "none: callers here speak MessagePack-RPC; ask with CALL rpc://HOST:PORT/NAME"
                : "the error no-method at once: no procedure holds for `" + name + "`");
            return;
        }
        RequestClass c = config.classes().get(found.requestClass());
        Pool pool = config.pools().get(found.pool());
        lines.put("procedure", found.name() + " (" + found.pattern() + ")");
        lines.put("pool", pool.name() + ": " + servers(pool));
        lines.put("mapped", found.path() == null ? "to no path: to servers of MessagePack-RPC only"
            : "to POST " + found.mapped(name) + " at servers of HTTP only");
        lines.put("class", c.name());
        lines.put("effect", c.effect().name().toLowerCase(Locale.ROOT)
            + (c.effect() == Effect.KEYED ? ", unsafe without a key in its envelope" : ""));
        lines.put("deadline", Units.formatSpan(c.deadline()) + ", or `expires` of its envelope if that is sooner");
        lines.put("aim", Units.formatSpan(c.aim()));
        lines.put("attempts", "at most " + pool.attempts() + (c.retry() ? "" : ", a further one only if all before never ran"));
        lines.put("largest parameters", Units.formatSize(pool.body()));
        for (Procedure other : all) {
            if (other != found) {
                lines.put("not " + other.name(), new ProcedureTable(List.of(other)).find(name) == null
                    ? "is of " + other.pattern() : "holds too, but " + found.pattern() + " is longer");
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

    private static void taken(Map<String, String> lines, NodeConfig config, Route route, String path, URI url,
            Map<String, String> headers) {
        RequestClass c = config.classes().get(route.requestClass());
        Pool pool = config.pools().get(route.pool());
        boolean unkeyed = c.effect() == Effect.KEYED && !headers.containsKey("idempotency-key");
        lines.put("route", route.name() + " (" + route.conditions() + ")");
        lines.put("pool", pool.name() + ": " + servers(pool));
        lines.put("goes on as", route.rewrittenPath(path) + (url.getRawQuery() == null ? "" : "?" + url.getRawQuery()));
        lines.put("class", c.name());
        lines.put("effect", unkeyed ? "unsafe, as it is keyed and has no Idempotency-Key"
            : c.effect().name().toLowerCase(Locale.ROOT));
        lines.put("deadline", Units.formatSpan(c.deadline()) + (headers.containsKey("x-expires-in")
            ? ", or X-Expires-In if that is sooner" : ""));
        lines.put("aim", Units.formatSpan(c.aim()));
        boolean again = c.retry() && !unkeyed;
        lines.put("attempts", "at most " + pool.attempts() + (again ? "" : ", a further one only if all before never ran"));
        lines.put("refused", pool.inFlight() == 0 ? "never for what is in flight"
            : "503 at once with " + pool.inFlight() + " in flight");
        lines.put("largest body", Units.formatSize(pool.body()));
    }

    private static String servers(Pool pool) {
        return pool.file() != null ? "the servers in " + pool.file()
            : pool.discovery() != null ? "what discovery at " + pool.discovery() + " names"
            : String.join(", ", pool.servers().stream().map(s -> s.displayAddresses()).toList());
    }
}
