package onyxpaddle.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.UnaryOperator;

/**
 * The routes of one listener. Among the routes whose conditions all hold, one wins by this order of precedence:
 *
 * <ol>
 * <li>a host named in full, then the longest {@code *.} pattern, then no host;
 * <li>the longest path;
 * <li>methods named over none;
 * <li>more headers over fewer.
 * </ol>
 *
 * The order in which routes are written decides nothing. Two routes that could tie are ambiguous, which
 * {@link RouteConflicts} finds before a table is used. A request for which none holds goes nowhere.
 */
public final class RouteTable {
    private static final String ANY = "";
    private static final Comparator<Route> PRECEDENCE = Comparator.<Route>comparingInt(r -> r.methods().isEmpty() ? 1 : 0)
        .thenComparingInt(r -> -r.headers().size());

    /** By host pattern and path; each list in order of precedence. */
    private final Map<String, Map<String, List<Route>>> byHost = new HashMap<>();
    private final List<Route> all;

    public RouteTable(List<Route> routes) {
        all = List.copyOf(routes);
        for (Route route : routes) {
            byHost.computeIfAbsent(route.host() == null ? ANY : route.host(), h -> new HashMap<>())
                .computeIfAbsent(route.path(), p -> new ArrayList<>()).add(route);
        }
        byHost.values().forEach(paths -> paths.values().forEach(list -> list.sort(PRECEDENCE)));
    }

    public List<Route> routes() {
        return all;
    }

    /**
     * The route for a request; null where none holds.
     *
     * @param host without port, null where there is none
     * @param path without query
     * @param header gives the value of the header by that lower-case name, or null
     */
    public Route find(String host, String path, String method, UnaryOperator<String> header) {
        if (host != null && !host.isEmpty() && (byHost.size() > 1 || !byHost.containsKey(ANY))) {
            String name = host.toLowerCase(Locale.ROOT);
            Route exact = under(byHost.get(name), path, method, header);
            if (exact != null) {
                return exact;
            }
            for (int dot = name.indexOf('.'); dot >= 0; dot = name.indexOf('.', dot + 1)) {
                Route below = under(byHost.get("*" + name.substring(dot)), path, method, header);
                if (below != null) {
                    return below;
                }
            }
        }
        return under(byHost.get(ANY), path, method, header);
    }

    private static Route under(Map<String, List<Route>> paths, String path, String method,
            UnaryOperator<String> header) {
        if (paths == null) {
            return null;
        }
        for (int end = path.length(); end > 0; end = path.lastIndexOf('/', end - 1)) {
            Route found = first(paths.get(path.substring(0, end)), method, header);
            if (found != null) {
                return found;
            }
        }
        return path.equals("/") ? null : first(paths.get("/"), method, header);
    }

    private static Route first(List<Route> routes, String method, UnaryOperator<String> header) {
        if (routes != null) {
            for (Route route : routes) {
                if ((route.methods().isEmpty() || route.methods().contains(method)) && headersHold(route, header)) {
                    return route;
                }
            }
        }
        return null;
    }

    private static boolean headersHold(Route route, UnaryOperator<String> header) {
        for (Map.Entry<String, String> wanted : route.headers().entrySet()) {
            if (!wanted.getValue().equals(header.apply(wanted.getKey()))) {
                return false;
            }
        }
        return true;
    }

    /** Why a route of this table does not hold for a request; null where it does, also if another one wins. */
    public static String mismatch(Route route, String host, String path, String method, UnaryOperator<String> header) {
        if (route.host() != null && !hostHolds(route.host(), host)) {
            return "host is not " + route.host();
        }
        if (!route.holdsForPath(path)) {
            return "path is not " + route.path() + " or below";
        }
        if (!route.methods().isEmpty() && !route.methods().contains(method)) {
            return "method is not " + String.join(" or ", new java.util.TreeSet<>(route.methods()));
        }
        return headersHold(route, header) ? null : "headers are not " + new java.util.TreeMap<>(route.headers());
    }

    private static boolean hostHolds(String pattern, String host) {
        String name = host == null ? "" : host.toLowerCase(Locale.ROOT);
        return pattern.startsWith("*.") ? name.length() > pattern.length() - 1 && name.endsWith(pattern.substring(1))
            : name.equals(pattern);
    }
}
