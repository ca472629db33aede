package onyxpaddle.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Finds ambiguous and shadowed routes. */
public final class RouteConflicts {
    /** {@code ambiguous}: some request matches both with equal precedence; otherwise {@code other} shadows {@code route}. */
    public record Conflict(Route route, Route other, boolean ambiguous) {
    }

    private RouteConflicts() {
    }

    /** All conflicts between routes of the same listener. Each ambiguity is reported at the later route. */
    public static List<Conflict> find(List<Route> routes) {
        List<Conflict> conflicts = new ArrayList<>();
        Map<String, List<Route>> byListener = new HashMap<>();
        routes.forEach(r -> byListener.computeIfAbsent(r.listener(), l -> new ArrayList<>()).add(r));
        for (List<Route> routesOfListener : byListener.values()) {
            Set<Route> ambiguous = new HashSet<>();
            for (int i = 0; i < routesOfListener.size(); i++) {
                for (int j = 0; j < i; j++) {
                    if (isAmbiguous(routesOfListener.get(i), routesOfListener.get(j))) {
                        conflicts.add(new Conflict(routesOfListener.get(i), routesOfListener.get(j), true));
                        ambiguous.add(routesOfListener.get(i));
                        ambiguous.add(routesOfListener.get(j));
                        break;
                    }
                }
            }
            RouteTable table = new RouteTable(routesOfListener);
            for (Route route : routesOfListener) {
                Route winner = ambiguous.contains(route) ? null : shadowingRoute(table, route);
                if (winner != null) {
                    conflicts.add(new Conflict(route, winner, false));
                }
            }
        }
        return conflicts;
    }

    /** Whether some request meets the conditions of both routes and the order of precedence does not decide between them. */
    private static boolean isAmbiguous(Route a, Route b) {
        boolean sameHost = a.host() == null ? b.host() == null : a.host().equals(b.host());
        if (!sameHost || !a.path().equals(b.path()) || a.methods().isEmpty() != b.methods().isEmpty()
                || a.headers().size() != b.headers().size()) {
            return false;
        }
        boolean methodsOverlap = a.methods().isEmpty() || a.methods().stream().anyMatch(b.methods()::contains);
        boolean headersOverlap = a.headers().entrySet().stream()
            .allMatch(h -> b.headers().getOrDefault(h.getKey(), h.getValue()).equals(h.getValue()));
        return methodsOverlap && headersOverlap;
    }

    /**
     * The route that takes all requests that match the given one, or null if it can win some. That is decided by probing with
     * requests that meet its conditions and leave as many conditions of other routes as possible unmet.
     */
    private static Route shadowingRoute(RouteTable table, Route route) {
        String host = route.host() == null ? null : route.host().replaceFirst("^\\*", "any");
        String below = route.path().equals("/") ? "/any-other" : route.path() + "/any-other";
        Route winner = null;
        for (String method : route.methods().isEmpty() ? Route.METHODS : route.methods()) {
            for (String path : List.of(route.path(), below)) {
                winner = table.find(host, path, method, route.headers()::get);
                if (winner == route) {
                    return null;
                }
            }
        }
        return winner;
    }
}
