package onyxpaddle.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Finds routes between which nothing decides, and routes that can never win. */
public final class RouteConflicts {
    /** {@code ambiguous}: the two tie on some request; otherwise {@code other} takes all that would be {@code route}'s. */
    public record Conflict(Route route, Route other, boolean ambiguous) {
    }

    private RouteConflicts() {
    }

    /** The conflicts among routes of any listeners, each by the route that stands later. */
    public static List<Conflict> find(List<Route> routes) {
        List<Conflict> conflicts = new ArrayList<>();
        Map<String, List<Route>> byListener = new HashMap<>();
        routes.forEach(r -> byListener.computeIfAbsent(r.listener(), l -> new ArrayList<>()).add(r));
        for (List<Route> own : byListener.values()) {
            Set<Route> tied = new HashSet<>();
            for (int i = 0; i < own.size(); i++) {
                for (int j = 0; j < i; j++) {
                    if (tie(own.get(i), own.get(j))) {
                        conflicts.add(new Conflict(own.get(i), own.get(j), true));
                        tied.add(own.get(i));
                        tied.add(own.get(j));
                        break;
                    }
                }
            }
            RouteTable table = new RouteTable(own);
            for (Route route : own) {
                Route winner = tied.contains(route) ? null : shadow(table, route);
                if (winner != null) {
                    conflicts.add(new Conflict(route, winner, false));
                }
            }
        }
        return conflicts;
    }

    /** Whether some request meets the conditions of both and the order of precedence does not tell them apart. */
    private static boolean tie(Route a, Route b) {
        boolean sameHost = a.host() == null ? b.host() == null : a.host().equals(b.host());
        if (!sameHost || !a.path().equals(b.path()) || a.methods().isEmpty() != b.methods().isEmpty()
                || a.headers().size() != b.headers().size()) {
            return false;
        }
        boolean methodsMeet = a.methods().isEmpty() || a.methods().stream().anyMatch(b.methods()::contains);
        boolean headersMeet = a.headers().entrySet().stream()
            .allMatch(h -> b.headers().getOrDefault(h.getKey(), h.getValue()).equals(h.getValue()));
        return methodsMeet && headersMeet;
    }

    /**
     * The route that takes what would be this one's, or null. A route wins something if it wins one of the requests
     * that meet its conditions and, as far as they leave that open, nobody else's.
     */
    private static Route shadow(RouteTable table, Route route) {
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
