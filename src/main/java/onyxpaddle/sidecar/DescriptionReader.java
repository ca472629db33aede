package onyxpaddle.sidecar;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import onyxpaddle.config.Faults;
import onyxpaddle.config.HostPort;
import onyxpaddle.config.MachineLimits;
import onyxpaddle.config.NodeConfig.Effect;
import onyxpaddle.config.NodeConfig.Limits;
import onyxpaddle.config.NodeConfig.Pool;
import onyxpaddle.config.NodeConfig.RequestClass;
import onyxpaddle.config.NodeConfig.Server;
import onyxpaddle.config.NodeConfigReader;
import onyxpaddle.config.ServerLists;
import onyxpaddle.config.Shape.Kind;
import onyxpaddle.config.ShapeCheck;
import onyxpaddle.config.Value;
import onyxpaddle.config.View;
import onyxpaddle.route.Route;
import onyxpaddle.sidecar.Description.Call;
import onyxpaddle.sidecar.Description.Served;

/** Reads a description and finds all that is wrong with it by itself; see {@link Together} for the rest. */
final class DescriptionReader {
    private final View root;
    private final Path file;
    private final Faults faults;
    private final Limits limits;

    private DescriptionReader(View root, Path file, Faults faults) {
        this.root = root;
        this.file = file;
        this.faults = faults;
        this.limits = NodeConfigReader.limits(root.section("limits"));
    }

    /** What it returns is whole only if there are no faults. */
    static Description read(Value value, Path file, MachineLimits machine, Faults faults) {
        ShapeCheck.check(value, DescriptionShape.ALL, faults);
        return new DescriptionReader(new View(value), file, faults).all(machine);
    }

    private Description all(MachineLimits machine) {
        View bounds = root.section("limits");
        machine.check(bounds, limits, faults);
        int port = root.port("port");
        HostPort inbound = root.address("inbound");
        if (inbound != null && inbound.port() == 0) {
            faults.add(root.place("inbound"), "inbound", "port 0 is none that callers can know", "a port from 1 to 65535");
        }
        if (!root.has("serves") && !root.has("default")) {
            faults.add(root.place(), "", "the application serves nothing", "`serves:` with its classes, or `default:`");
        }
        List<Server> itself = port == 0 ? List.of()
            : List.of(new Server("application", new HostPort("127.0.0.1", port), 1, "", false));
        Pool own = NodeConfigReader.settings("application", bounds, itself, null, null, limits, faults);
        Map<String, Served> serves = served(root, "serves", root.section("default"), root.has("default"));
        Map<String, Call> calls = new LinkedHashMap<>();
        root.named("calls").forEach((name, view) -> calls.put(name, call(name, view, inbound)));
        return new Description(file, root, root.text("application", Kind.LABEL, ""),
            root.text("tenant", Kind.NAME, null), port, inbound, limits, own, serves, others(root), calls);
    }

    /** The classes under a key, and the conflicts between their paths. */
    private Map<String, Served> served(View at, String key, View others, boolean hasOthers) {
        Map<String, Served> served = new LinkedHashMap<>();
        List<Route> routes = new ArrayList<>();
        Map<Route, View> places = new HashMap<>();
        at.named(key).forEach((name, view) -> {
            RequestClass requestClass = NodeConfigReader.requestClass(name, view, faults);
            List<String> paths = view.texts("paths", Kind.PATH);
            Set<String> methods = new HashSet<>(view.texts("methods", Kind.METHOD));
            served.put(name, new Served(requestClass, paths, methods));
            for (View path : view.items("paths")) {
                String text = path.self(Kind.PATH);
                if (text != null) {
                    Route route = new Route(name + " " + text, "in", null, text, methods, Map.of(), "p", name, null);
                    if (places.put(route, path) != null) {
                        faults.add(path.place(), path.path(), "the path stands twice", "each path once");
                    } else {
                        routes.add(route);
                    }
                }
            }
        });
        if (hasOthers && routes.stream().noneMatch(r -> r.path().equals("/") && r.methods().isEmpty())) {
            Route rest = new Route("default", "in", null, "/", Set.of(), Map.of(), "p", "default", null);
            places.put(rest, others);
            routes.add(rest);
        } else if (hasOthers) {
            faults.add(others.place(), others.path(), "a class has all paths (`/`) already", "remove one of the two");
        }
        NodeConfigReader.conflicts(routes, places, faults);
        return served;
    }

    private RequestClass others(View at) {
        View view = at.section("default");
        long deadline = view.span("deadline", -1);
        if (!at.has("default") || deadline < 0) {
            return null;
        }
        long aim = view.span("aim", deadline);
        if (aim > deadline) {
            faults.add(view.place("aim"), view.path("aim"), "the aim lies after the deadline",
                "an aim no later than the deadline");
        }
        return new RequestClass("other", Effect.UNSAFE, aim, deadline, view.number("worth", 1),
            view.number("late-worth", 0), 0, false);
    }

    private Call call(String name, View view, HostPort inbound) {
        int sources = (view.has("servers") ? 1 : 0) + (view.has("file") ? 1 : 0) + (view.has("discovery") ? 1 : 0);
        if (sources > 1) {
            faults.add(view.place(), view.path(), "servers from " + sources + " sources",
                "one of `servers`, `file` and `discovery`");
        }
        if (!view.has("classes") && !view.has("default")) {
            faults.add(view.place(), view.path(), "no request can be made of it", "`classes:`, or `default:`");
        }
        List<Server> servers = ServerLists.read(view, "servers", faults);
        Path list = NodeConfigReader.listFile(view, file.toAbsolutePath().getParent(), faults);
        List<Server> known = servers;
        if (list != null) {
            List<Server> listed = ServerLists.named(view, list, faults);
            known = listed == null ? List.of() : listed;
        }
        circles(view, list == null ? "servers" : "file", known, inbound);
        Pool pool = NodeConfigReader.settings(name, view, servers, list, view.address("discovery"), limits, faults);
        return new Call(name, view, view.port("port"), pool, sources == 0,
            served(view, "classes", view.section("default"), view.has("default")), others(view));
    }

    private static boolean reaches(Server server, int port) {
        return server.addresses().stream().anyMatch(a -> a.reaches(new HostPort("127.0.0.1", port)));
    }

    private void circles(View view, String key, List<Server> servers, HostPort inbound) {
        for (Server server : servers) {
            boolean own = inbound != null && server.addresses().stream().anyMatch(a -> a.reaches(inbound));
            for (View call : root.named("calls").values()) {
                own |= call.port("port") != 0 && reaches(server, call.port("port"));
            }
            if (own) {
                faults.add(view.place(key), view.path(key), "the server " + server.told()
                    + " is this application's own node: calls would go round in a circle",
                    "the address of the servers themselves");
            }
        }
    }
}
