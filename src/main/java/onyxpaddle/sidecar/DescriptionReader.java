package onyxpaddle.sidecar;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Stream;
import onyxpaddle.config.Faults;
import onyxpaddle.config.HostPort;
import onyxpaddle.config.MachineLimits;
import onyxpaddle.config.NodeConfig.Effect;
import onyxpaddle.config.NodeConfig.Limits;
import onyxpaddle.config.NodeConfig.Pool;
import onyxpaddle.config.NodeConfig.RequestClass;
import onyxpaddle.config.NodeConfig.Server;
import onyxpaddle.config.NodeConfigReader;
import onyxpaddle.config.Place;
import onyxpaddle.config.ServerListReader;
import onyxpaddle.config.Schema.Kind;
import onyxpaddle.config.SchemaValidator;
import onyxpaddle.config.Value;
import onyxpaddle.config.ConfigView;
import onyxpaddle.route.Route;
import onyxpaddle.sidecar.Description.Call;
import onyxpaddle.sidecar.Description.Ports;
import onyxpaddle.sidecar.Description.Served;

/** Reads and validates a single description; {@link CrossDescriptionCheck} checks descriptions against each other. */
final class DescriptionReader {
    private final ConfigView root;
    private final Path file;
    private final Faults faults;
    private final Limits limits;

    private DescriptionReader(ConfigView root, Path file, Faults faults) {
        this.root = root;
        this.file = file;
        this.faults = faults;
        this.limits = NodeConfigReader.limits(root.section("limits"));
    }

    /** The result is complete only if no faults were added. */
    static Description read(Value value, Path file, MachineLimits machine, Faults faults) {
        SchemaValidator.check(value, DescriptionShape.ALL, faults);
        return new DescriptionReader(new ConfigView(value), file, faults).read(machine);
    }

    private Description read(MachineLimits machine) {
        ConfigView bounds = root.section("limits");
        machine.check(bounds, limits, faults);
        Ports ports = new Ports(root.port("port"), root.port("rpc-port"));
        HostPort inbound = inbound("inbound", "port", "HTTP");
        HostPort inboundRpc = inbound("inbound-rpc", "rpc-port", "MessagePack-RPC");
        if (!root.has("port") && !root.has("rpc-port")) {
            faults.add(root.place(), "", "the application has no port", "`port:` for HTTP, `rpc-port:` for MessagePack-RPC, or both");
        }
        if (!root.has("serves") && !root.has("default")) {
            faults.add(root.place(), "", "the application serves no requests", "`serves:` with its classes, or `default:`");
        }
        List<Server> ownServers = ports.http() == 0 && ports.rpc() == 0 ? List.of()
            : List.of(new Server("application", loopback(ports.http()), 1, "", false, loopback(ports.rpc())));
        Pool own = NodeConfigReader.poolSettings("application", bounds, ownServers, null, null, limits, faults);
        Map<String, Served> serves = served(root, "serves", root.section("default"), root.has("default"));
        checkProtocols(root, "serves", "port", "rpc-port");
        checkHeldBodies(root, "serves", bounds, own);
        Map<String, Call> calls = new LinkedHashMap<>();
        root.named("calls").forEach((name, view) -> calls.put(name, call(name, view, inbound, inboundRpc)));
        HostPort admin = NodeConfigReader.admin(root, faults);
        Path handover = NodeConfigReader.handover(root, file.toAbsolutePath().getParent(), faults);
        return new Description(file, root, root.text("application", Kind.LABEL, ""), root.text("tenant", Kind.NAME, null),
            ports, inbound, inboundRpc, admin, handover, limits, own, serves, others(root), calls);
    }

    private static HostPort loopback(int port) {
        return port == 0 ? null : new HostPort("127.0.0.1", port);
    }

    /** The inbound address for one protocol; it and the application's port for that protocol are given both or neither. */
    private HostPort inbound(String key, String port, String protocol) {
        HostPort inbound = root.address(key);
        if (inbound != null && inbound.port() == 0) {
            faults.add(root.place(key), key, "callers cannot connect to port 0", "a port from 1 to 65535");
        }
        if (root.has(key) != root.has(port)) {
            String present = root.has(key) ? key : port;
            faults.add(root.place(present), present, "`" + present + "` without `" + (root.has(key) ? port : key) + "`",
                "both, if callers use " + protocol + ", or neither");
        }
        return inbound;
    }

    /** Checks that each class can be reached by a protocol, and that each protocol that a class uses has a port. */
    private void checkProtocols(ConfigView at, String key, String http, String rpc) {
        at.named(key).forEach((name, view) -> {
            if (view.isSection() && !view.has("paths") && !view.has("procedures")) {
                faults.add(view.place(), view.path(), "no request can match this class", "`paths:` for HTTP, `procedures:` for "
                    + "MessagePack-RPC, or both");
            }
            checkPort(at, view, "paths", http);
            checkPort(at, view, "procedures", rpc);
        });
        if (at.has("default") && !at.has(http) && at.has(rpc)) {
            faults.add(at.place("default"), at.path("default"), "applies to HTTP paths, but there is no `" + http + "`",
                "`procedures: [\"*\"]` in a class, or `" + http + ":`");
        }
    }

    private void checkPort(ConfigView at, ConfigView view, String what, String port) {
        if (view.has(what) && !at.has(port) && (at.has("port") || at.has("rpc-port"))) {
            faults.add(view.place(what), view.path(what), "`" + what + "` without `" + port + "`",
                "`" + port + ":`, or no `" + what + "`");
        }
    }

    /** Reads the classes under a key and reports conflicts between their paths. */
    private Map<String, Served> served(ConfigView at, String key, ConfigView others, boolean hasOthers) {
        Map<String, Served> served = new LinkedHashMap<>();
        List<Route> routes = new ArrayList<>();
        Map<Route, ConfigView> places = new HashMap<>();
        Map<String, Place> taken = new HashMap<>();
        at.named(key).forEach((name, view) -> {
            RequestClass requestClass = NodeConfigReader.requestClass(name, view, faults);
            List<String> paths = view.texts("paths", Kind.PATH);
            Set<String> methods = new HashSet<>(view.texts("methods", Kind.METHOD));
            served.put(name, new Served(requestClass, paths, methods, procedures(view, taken)));
            for (ConfigView path : view.items("paths")) {
                String text = path.self(Kind.PATH);
                if (text != null) {
                    Route route = new Route(name + " " + text, "in", null, text, methods, Map.of(), "p", name, null);
                    if (places.put(route, path) != null) {
                        faults.add(path.place(), path.path(), "duplicate path", "each path once");
                    } else {
                        routes.add(route);
                    }
                }
            }
        });
        if (hasOthers && routes.stream().noneMatch(r -> r.path().equals("/") && r.methods().isEmpty())) {
            Route fallback = new Route("default", "in", null, "/", Set.of(), Map.of(), "p", "default", null);
            places.put(fallback, others);
            routes.add(fallback);
        } else if (hasOthers) {
            faults.add(others.place(), others.path(), "a class already matches all paths (`/`)", "remove one of the two");
        }
        NodeConfigReader.checkConflicts(routes, places, faults);
        return served;
    }

    private List<String> procedures(ConfigView view, Map<String, Place> taken) {
        List<String> procedures = new ArrayList<>();
        for (ConfigView item : view.items("procedures")) {
            String text = item.self(Kind.PROCEDURE);
            Place first = text == null ? null : taken.putIfAbsent(text, item.place());
            if (first != null) {
                faults.add(item.place(), item.path(), "duplicate `" + text + "`, first at line " + first.line(),
                    "each procedure once");
            } else if (text != null) {
                procedures.add(text);
            }
        }
        return procedures;
    }

    private RequestClass others(ConfigView at) {
        ConfigView view = at.section("default");
        long deadline = view.span("deadline", -1);
        if (!at.has("default") || deadline < 0) {
            return null;
        }
        long aim = view.span("aim", deadline);
        if (aim > deadline) {
            faults.add(view.place("aim"), view.path("aim"), "the aim is later than the deadline",
                "an aim no later than the deadline");
        }
        return new RequestClass("other", Effect.UNSAFE, aim, deadline, view.number("worth", 1),
            view.number("late-worth", 0), 0, false);
    }

    private Call call(String name, ConfigView view, HostPort inbound, HostPort inboundRpc) {
        int sources = (view.has("servers") ? 1 : 0) + (view.has("file") ? 1 : 0) + (view.has("discovery") ? 1 : 0);
        if (sources > 1) {
            faults.add(view.place(), view.path(), "servers from " + sources + " sources",
                "one of `servers`, `file` and `discovery`");
        }
        if (!view.has("classes") && !view.has("default")) {
            faults.add(view.place(), view.path(), "no request can use this call", "`classes:`, or `default:`");
        }
        List<Server> servers = ServerListReader.read(view, "servers", faults);
        Path list = NodeConfigReader.listFilePath(view, file.toAbsolutePath().getParent(), faults);
        List<Server> known = servers;
        if (list != null) {
            List<Server> listed = ServerListReader.named(view, list, faults);
            known = listed == null ? List.of() : listed;
        }
        if (!view.has("port") && !view.has("rpc-port")) {
            faults.add(view.place(), view.path(), "the call has no local port",
                "`port:` for HTTP, `rpc-port:` for MessagePack-RPC, or both");
        }
        checkProtocols(view, "classes", "port", "rpc-port");
        String key = list == null ? "servers" : "file";
        checkLoops(view, key, known, inbound, inboundRpc);
        checkServerProtocols(view, key, known);
        Pool pool = NodeConfigReader.poolSettings(name, view, servers, list, view.address("discovery"), limits, faults);
        checkHeldBodies(view, "classes", view, pool);
        return new Call(name, view, new Ports(view.port("port"), view.port("rpc-port")), pool, sources == 0,
            served(view, "classes", view.section("default"), view.has("default")), others(view));
    }

    /** Bodies for a pool that any procedure leads to are buffered completely, so the largest body must fit. */
    private void checkHeldBodies(ConfigView view, String classes, ConfigView bounds, Pool pool) {
        if (view.named(classes).values().stream().anyMatch(c -> c.has("procedures"))) {
            NodeConfigReader.checkWholeBodiesFit(bounds, pool, limits, faults);
        }
    }

    /** Checks that each server has an address for every protocol that the classes of the call use. */
    private void checkServerProtocols(ConfigView view, String key, List<Server> servers) {
        boolean http = view.has("default") || view.named("classes").values().stream().anyMatch(c -> c.has("paths"));
        boolean rpc = view.named("classes").values().stream().anyMatch(c -> c.has("procedures"));
        for (Server server : servers) {
            if (http && server.address() == null || rpc && server.rpc() == null) {
                faults.add(view.place(key), view.path(key), "the server " + server.displayAddresses() + " has no "
                    + (http && server.address() == null ? "HTTP" : "MessagePack-RPC") + " address, which a class here needs",
                    http && server.address() == null ? "its `address`" : "its `rpc` address");
            }
        }
        if (rpc && view.has("discovery")) {
            faults.add(view.place("discovery"), view.path("discovery"), "discovery gives HTTP addresses only, but a class here "
                + "has `procedures`", "`servers` or `file`, with `rpc` addresses");
        }
    }

    private static boolean hasLoopbackPort(Server server, int port) {
        return port != 0 && server.addresses().stream().anyMatch(a -> a.reaches(new HostPort("127.0.0.1", port)));
    }

    private void checkLoops(ConfigView view, String key, List<Server> servers, HostPort... inbound) {
        for (Server server : servers) {
            boolean own = server.addresses().stream().anyMatch(a -> Stream.of(inbound).filter(Objects::nonNull)
                .anyMatch(a::reaches));
            for (ConfigView call : root.named("calls").values()) {
                own |= hasLoopbackPort(server, call.port("port")) || hasLoopbackPort(server, call.port("rpc-port"));
            }
            if (own) {
                faults.add(view.place(key), view.path(key), "the server " + server.displayAddresses()
                    + " is this application's own node: calls would loop",
                    "the address of the servers themselves");
            }
        }
    }
}
