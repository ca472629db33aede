package onyxpaddle.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.UnaryOperator;

/**
 * The routes of one listener. Among the routes that match a request, one wins by this order of precedence:
 *
 * <ol>
 * <li>an exact host, then the longest {@code *.} pattern, then no host;
 * <li>the longest path;
 * <li>given methods over none;
 * <li>more headers over fewer.
 * </ol>
 *
 * The order of the routes in the configuration has no effect. Two routes that a request could match with equal precedence are
 * ambiguous; {@link RouteConflicts} rejects them before a table is used. A request that matches none is not routed.
 */
public final class RouteTable {
    private static final String ANY_HOST = "";
    private static final Comparator<Route> PRECEDENCE = Comparator.<Route>comparingInt(r -> r.methods().isEmpty() ? 1 : 0)
        .thenComparingInt(r -> -r.headers().size());

    /** By host pattern and path; each list in order of precedence. */
    private final Map<String, Map<String, List<Route>>> byHost = new HashMap<>();
    private final List<Route> all;

    public RouteTable(List<Route> routes) {
        all = List.copyOf(routes);
        for (Route route : routes) {
            byHost.computeIfAbsent(route.host() == null ? ANY_HOST : route.host(), h -> new HashMap<>())
                .computeIfAbsent(route.path(), p -> new ArrayList<>()).add(route);
        }
        byHost.values().forEach(paths -> paths.values().forEach(list -> list.sort(PRECEDENCE)));
    }

    public List<Route> routes() {
        return all;
    }

    /**
     * The route for a request; null if none matches.
     *
     * @param host without port; null if absent
     * @param path without query
     * @param header returns the value of a header by its lower-case name; null if absent
     */
    public Route find(String host, String path, String method, UnaryOperator<String> header) {
        if (host != null && !host.isEmpty() && (byHost.size() > 1 || !byHost.containsKey(ANY_HOST))) {
            String name = host.toLowerCase(Locale.ROOT);
            Route exact = findByPath(byHost.get(name), path, method, header);
            if (exact != null) {
                return exact;
            }
            for (int dot = name.indexOf('.'); dot >= 0; dot = name.indexOf('.', dot + 1)) {
                Route below = findByPath(byHost.get("*" + name.substring(dot)), path, method, header);
                if (below != null) {
                    return below;
                }
            }
        }
        return findByPath(byHost.get(ANY_HOST), path, method, header);
    }

    private static Route findByPath(Map<String, List<Route>> paths, String path, String method,
            UnaryOperator<String> header) {
        if (paths == null) {
            return null;
        }
        for (int end = path.length(); end > 0; end = path.lastIndexOf('/', end - 1)) {
            Route found = firstMatch(paths.get(path.substring(0, end)), method, header);
            if (found != null) {
                return found;
            }
        }
        return path.equals("/") ? null : firstMatch(paths.get("/"), method, header);
    }

    private static Route firstMatch(List<Route> routes, String method, UnaryOperator<String> header) {
        if (routes != null) {
            for (Route route : routes) {
                if ((route.methods().isEmpty() || route.methods().contains(method)) && headersMatch(route, header)) {
                    return route;
                }
            }
        }
        return null;
    }

    private static boolean headersMatch(Route route, UnaryOperator<String> header) {
        for (Map.Entry<String, String> wanted : route.headers().entrySet()) {
            if (!wanted.getValue().equals(header.apply(wanted.getKey()))) {
                return false;
            }
        }
        return true;
    }

    /** Why a route does not match a request; null if it does match, even if another one takes precedence. */
    public static String mismatch(Route route, String host, String path, String method, UnaryOperator<String> header) {
        if (route.host() != null && !hostMatches(route.host(), host)) {
            return "host is not " + route.host();
        }
        if (!route.matchesPath(path)) {
            return "path is not " + route.path() + " or below";
        }
        if (!route.methods().isEmpty() && !route.methods().contains(method)) {
            return "method is not " + String.join(" or ", new java.util.TreeSet<>(route.methods()));
        }
        return headersMatch(route, header) ? null : "headers are not " + new java.util.TreeMap<>(route.headers());
    }

    private static boolean hostMatches(String pattern, String host) {
        String name = host == null ? "" : host.toLowerCase(Locale.ROOT);
        return pattern.startsWith("*.") ? name.length() > pattern.length() - 1 && name.endsWith(pattern.substring(1))
            : name.equals(pattern);
    }
}
