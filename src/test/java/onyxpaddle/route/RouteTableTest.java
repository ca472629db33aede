package onyxpaddle.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import onyxpaddle.route.RouteConflicts.Conflict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Precedence among routes, and the detection of conflicting ones. */
class RouteTableTest {
    private static Route route(String name, String host, String path, Set<String> methods, Map<String, String> headers,
            String rewrite) {
        return new Route(name, "in", host, path, methods, headers, "p", "c", rewrite);
    }

    private static Route at(String name, String path) {
        return route(name, null, path, Set.of(), Map.of(), null);
    }

    private static final RouteTable TABLE = new RouteTable(List.of(
        at("root", "/"), at("slots", "/slots"), at("day", "/slots/day/"),
        route("get", null, "/slots", Set.of("GET"), Map.of(), null),
        route("beta", null, "/slots", Set.of("GET"), Map.of("X-Beta", "1"), null),
        route("exact", "records.svc", "/", Set.of(), Map.of(), null),
        route("below", "*.svc", "/", Set.of(), Map.of(), null),
        route("deeper", "*.a.svc", "/", Set.of(), Map.of(), null)));

    @ParameterizedTest
    @CsvSource({
        "'', /, GET, '', root", "'', /other/x, POST, '', root", "'', /slotsx, GET, '', root",
        "'', /slots, POST, '', slots", "'', /slots/, POST, '', slots", "'', /slots/5, GET, '', get",
        "'', /slots, GET, 1, beta", "'', /slots, GET, 2, get", "'', /slots/day, GET, 1, day",
        "'', /slots/day/3, GET, '', day", "'', /slots/daytime, GET, '', get",
        "records.svc, /slots, GET, '', exact", "RECORDS.svc, /, GET, '', exact", "x.svc, /slots, GET, '', below",
        "x.a.svc, /, GET, '', deeper", "a.svc, /, GET, '', below", "svc, /, GET, '', root",
        "other, /slots, PUT, '', slots",
    })
    void precedenceIsHostThenPathThenMethodThenHeaders(String host, String path, String method, String beta,
            String expected) {
        assertEquals(expected, TABLE.find(host, path, method, h -> h.equals("x-beta") ? beta : null).name());
    }

    @Test
    void noMatchGivesNoRoute() {
        RouteTable table = new RouteTable(List.of(route("one", "h", "/a", Set.of("GET"), Map.of(), null)));
        assertNull(table.find("h", "/", "GET", h -> null));
        assertNull(table.find("h", "/ab", "GET", h -> null));
        assertNull(table.find("h", "/a", "POST", h -> null));
        assertNull(table.find(null, "/a", "GET", h -> null));
        assertEquals("method is not GET", RouteTable.mismatch(table.routes().get(0), "h", "/a", "POST", h -> null));
    }

    @ParameterizedTest
    @CsvSource({"/slots, /v2/slots, /slots/5, /v2/slots/5", "/slots, /, /slots, /", "/slots, /, /slots/5, /5",
        "/, /v2, /x, /v2/x", "/, /v2, /, /v2/", "/slots, /v2, /slots, /v2"})
    void rewriteReplacesThePrefix(String path, String rewrite, String requestPath, String expected) {
        assertEquals(expected, route("r", null, path, Set.of(), Map.of(), rewrite).rewrittenPath(requestPath));
    }

    @Test
    void orderInTheConfigurationHasNoEffect() {
        List<Route> routes = new ArrayList<>(TABLE.routes());
        for (int i = 0; i < 50; i++) {
            Collections.shuffle(routes, new Random(i));
            RouteTable shuffled = new RouteTable(routes);
            for (String path : List.of("/", "/slots", "/slots/day/1", "/x")) {
                for (String host : List.of("", "records.svc", "q.svc", "q.a.svc")) {
                    assertSame(TABLE.find(host, path, "GET", h -> "1"), shuffled.find(host, path, "GET", h -> "1"));
                }
            }
        }
    }

    @Test
    void findsAmbiguousAndShadowedRoutes() {
        Route a = at("a", "/x");
        Route same = at("same", "/x/");
        Route get = route("get", null, "/y", Set.of("GET", "HEAD"), Map.of(), null);
        Route head = route("head", null, "/y", Set.of("HEAD", "POST"), Map.of(), null);
        Route red = route("red", null, "/z", Set.of(), Map.of("Colour", "red"), null);
        Route blue = route("blue", null, "/z", Set.of(), Map.of("colour", "blue"), null);
        Route big = route("big", null, "/z", Set.of(), Map.of("Size", "big"), null);
        List<Conflict> found = RouteConflicts.find(List.of(a, same, get, head, red, blue, big));
        assertEquals(List.of("same/a", "head/get", "big/red"), found.stream()
            .map(c -> c.route().name() + "/" + c.other().name()).toList());
        assertTrue(found.stream().allMatch(Conflict::ambiguous));

        Route all = at("all", "/x");
        Route every = route("every", null, "/x", Route.METHODS, Map.of(), null);
        assertEquals(List.of(new Conflict(all, every, false)), RouteConflicts.find(List.of(all, every)));
        Route elsewhere = new Route("all", "out", null, "/x", Set.of(), Map.of(), "p", "c", null);
        assertEquals(List.of(), RouteConflicts.find(List.of(elsewhere, every)));
    }

    /** Compares random tables and requests with a direct implementation of the documented order of precedence. */
    @Property(tries = 500, seed = "20261201")
    void findFollowsTheDocumentedPrecedence(@ForAll long seed) {
        Random random = new Random(seed);
        String[] hosts = {null, "a.b", "*.b", "*.a.b"};
        String[] paths = {"/", "/p", "/p/q", "/pq"};
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            routes.add(route("r" + i, hosts[random.nextInt(4)], paths[random.nextInt(4)],
                random.nextBoolean() ? Set.of() : Set.of("GET"), random.nextBoolean() ? Map.of() : Map.of("h", "1"), null));
            if (!RouteConflicts.find(routes).stream().allMatch(c -> !c.ambiguous())) {
                routes.remove(routes.size() - 1);
            }
        }
        RouteTable table = new RouteTable(routes);
        String host = new String[] {"a.b", "x.a.b", "c", "x.b"}[random.nextInt(4)];
        String path = new String[] {"/", "/p", "/p/q/r", "/pq", "/p/"}[random.nextInt(5)];
        String method = random.nextBoolean() ? "GET" : "PUT";
        String header = random.nextBoolean() ? "1" : null;
        Route best = null;
        for (Route r : routes) {
            if (RouteTable.mismatch(r, host, path, method, h -> header) == null && (best == null || rank(r) > rank(best))) {
                best = r;
            }
        }
        assertSame(best, table.find(host, path, method, h -> header));
    }

    private static long rank(Route r) {
        long host = r.host() == null ? 0 : r.host().startsWith("*") ? r.host().length() : 100;
        return host * 10_000 + r.path().length() * 100 + (r.methods().isEmpty() ? 0 : 10) + r.headers().size();
    }
}
