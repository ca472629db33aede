package onyxpaddle.config;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import onyxpaddle.config.NodeConfig.Effect;
import onyxpaddle.config.NodeConfig.Limits;
import onyxpaddle.config.NodeConfig.Listener;
import onyxpaddle.config.NodeConfig.Pool;
import onyxpaddle.config.NodeConfig.RequestClass;
import onyxpaddle.config.NodeConfig.Rpc;
import onyxpaddle.config.NodeConfig.Server;
import onyxpaddle.route.Procedure;
import onyxpaddle.route.Route;
import onyxpaddle.route.RouteConflicts;
import onyxpaddle.route.RouteConflicts.Conflict;

/** Reads a node's configuration and reports all its faults, syntactic and semantic, in one run. */
public final class NodeConfigReader {
    private static final long MS = 1_000_000L;
    private static final long S = 1_000_000_000L;
    public static final long DEFAULT_CONNECT_TIMEOUT = 250 * MS;
    public static final long DEFAULT_KEEP_ALIVE = 5 * S;
    public static final long DEFAULT_BODY = 1 << 20;
    public static final long DEFAULT_HELD = 1 << 20;
    public static final long DEFAULT_MEMORY = 64L << 20;
    public static final int DEFAULT_DESCRIPTORS = 1024;
    /** Leaves room for the name of a socket in the directory: the path of a Unix socket is limited to some 100 bytes. */
    private static final int MAX_DIRECTORY_BYTES = 80;
    private static final long DEFAULT_CLIENT_IDLE = 60 * S;
    public static final int DEFAULT_OPEN_CALLS = 256;
    /** Fraction of the servers' keep-alive time after which an idle connection is no longer reused. */
    public static final double IDLE_FRACTION = 0.7;

    private final ConfigView root;
    private final Path directory;
    private final Faults faults;
    /** The configured servers of each pool, from the configuration or its list file. */
    private final Map<String, List<Server>> knownServers = new HashMap<>();

    private NodeConfigReader(ConfigView root, Path directory, Faults faults) {
        this.root = root;
        this.directory = directory;
        this.faults = faults;
    }

    /** Reads a file; returns null if it has any fault. */
    public static NodeConfig file(Path file, MachineLimits machine, Faults faults) {
        Faults fileFaults = new Faults();
        Value value = SourceFile.read(file, fileFaults);
        NodeConfig config = value == null ? null : read(value, file.toAbsolutePath().getParent(), machine, fileFaults);
        faults.addAll(fileFaults.list());
        return fileFaults.any() ? null : config;
    }

    /**
     * Reads a parsed configuration. The result is complete only if there are no faults.
     *
     * @param directory the directory that relative file names refer to
     */
    public static NodeConfig read(Value value, Path directory, MachineLimits machine, Faults faults) {
        SchemaValidator.check(value, NodeSchema.NODE, faults);
        return new NodeConfigReader(new ConfigView(value), directory, faults).readAll(machine);
    }

    private NodeConfig readAll(MachineLimits machine) {
        Limits limits = limits(root.section("limits"));
        machine.check(root.section("limits"), limits, faults);
        Map<String, Listener> listeners = listeners();
        Map<String, RequestClass> classes = new LinkedHashMap<>();
        root.named("classes").forEach((name, view) -> {
            RequestClass c = requestClass(name, view, faults);
            if (c != null) {
                classes.put(name, c);
            }
        });
        Map<String, Pool> pools = new LinkedHashMap<>();
        root.named("pools").forEach((name, view) -> pools.put(name, pool(name, view, limits, listeners.values())));
        Map<String, Set<String>> used = new HashMap<>();
        List<Route> routes = routes(used, listeners);
        List<Procedure> procedures = new ProcedureReader(root, faults).read(listeners, used);
        if (!root.has("routes") && !root.has("procedures")) {
            faults.add(root.place(), "", "nothing is routed", "`routes:` for HTTP, `procedures:` for MessagePack-RPC, or both");
        } else {
            reportUnused("listeners", used, "no route uses this listener: it would answer only errors");
            reportUnused("pools", used, "no route leads to this pool");
            reportUnused("classes", used, "no route uses this class");
        }
        NodeConfig config = new NodeConfig(root.text("name", Schema.Kind.NAME, ""), root.text("tenant", Schema.Kind.NAME, null),
            limits, admin(root, faults), handover(root, directory, faults),
            new BgpReader(root, faults).read(pools.keySet()), listeners, classes, pools, routes, procedures);
        pools.forEach((name, pool) -> {
            ConfigView at = root.named("pools").get(name);
            ProtocolCheck.check(config, pool, at, knownServers.get(name), faults);
            if (config.buffersWholeBodies(name)) {
                checkWholeBodiesFit(at, pool, limits, faults);
            }
        });
        return config;
    }

    public static Limits limits(ConfigView view) {
        return new Limits(view.size("memory", DEFAULT_MEMORY), view.count("descriptors", DEFAULT_DESCRIPTORS));
    }

    /** Reads and validates the admin address; null if there is none. */
    public static HostPort admin(ConfigView root, Faults faults) {
        HostPort admin = root.address("admin");
        if (admin != null && admin.any()) {
            faults.add(root.place("admin"), root.path("admin"), "anyone who can reach this machine could drain the node",
                "one address that operators reach, such as 127.0.0.1:" + admin.port());
        }
        return admin;
    }

    /** Reads and validates the handover directory; null if there is none. */
    public static Path handover(ConfigView root, Path directory, Faults faults) {
        String text = root.text("handover", Schema.Kind.TEXT, null);
        if (text == null) {
            return null;
        }
        Path path;
        try {
            path = directory.resolve(text).normalize();
        } catch (InvalidPathException e) {
            faults.add(root.place("handover"), root.path("handover"), "is not a valid directory name", "the name of a directory");
            return null;
        }
        int length = path.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8).length;
        if (length > MAX_DIRECTORY_BYTES) {
            faults.add(root.place("handover"), root.path("handover"), "the directory's name has " + length
                + " bytes, too many for a socket in it", "at most " + MAX_DIRECTORY_BYTES + " bytes");
        } else if (!java.nio.file.Files.isDirectory(path)) {
            faults.add(root.place("handover"), root.path("handover"), "there is no directory " + path, "one that exists");
        }
        return path;
    }

    private Map<String, Listener> listeners() {
        Map<String, Listener> listeners = new LinkedHashMap<>();
        root.named("listeners").forEach((name, view) -> {
            HostPort address = view.address("address");
            if (address == null) {
                return;
            }
            for (Listener other : listeners.values()) {
                if (other.address().conflictsWith(address)) {
                    faults.add(view.place("address"), view.path("address"), address + " conflicts with the listener `"
                        + other.name() + "` (" + other.address() + ")", "a port of its own for each listener");
                }
            }
            HostPort admin = root.address("admin");
            if (admin != null && admin.conflictsWith(address)) {
                faults.add(view.place("address"), view.path("address"), address + " conflicts with the admin address (`admin`: "
                    + admin + ")", "a port of its own for each");
            }
            listeners.put(name, new Listener(name, address, view.span("idle", DEFAULT_CLIENT_IDLE),
                view.word("side", "inbound", "inbound", "outbound").equals("outbound"),
                view.word("protocol", "http", "http", "messagepack-rpc").equals("messagepack-rpc"),
                view.count("open-calls", DEFAULT_OPEN_CALLS)));
        });
        return listeners;
    }

    /** Reads and validates a class; returns null if its effect or deadline is missing. */
    public static RequestClass requestClass(String name, ConfigView view, Faults faults) {
        String word = view.word("effect", null, "safe", "keyed", "unsafe");
        long deadline = view.span("deadline", -1);
        if (word == null || deadline < 0) {
            return null;
        }
        Effect effect = Effect.valueOf(word.toUpperCase(java.util.Locale.ROOT));
        long aim = view.span("aim", deadline);
        if (aim > deadline) {
            faults.add(view.place("aim"), view.path("aim"), "the aim of " + Units.formatSpan(aim)
                + " lies after the deadline of " + Units.formatSpan(deadline), "an aim no later than the deadline");
        }
        long memory = view.span("memory", 0);
        if (effect == Effect.KEYED && memory == 0) {
            faults.add(view.place("memory"), view.path("memory"), "a keyed class needs the time for which servers remember a key",
                "that time, such as `memory: 5 s`, or `effect: unsafe`");
        }
        if (effect != Effect.KEYED && memory > 0) {
            faults.add(view.place("memory"), view.path("memory"), "only keyed classes have a memory, and this one is " + word,
                "`effect: keyed`, or no memory");
        }
        boolean retry = view.flag("retry", effect != Effect.UNSAFE);
        if (retry && effect == Effect.UNSAFE) {
            faults.add(view.place("retry"), view.path("retry"), "an unsafe class cannot be retried",
                "`retry: false`, or `effect: safe` or `keyed` if a repeat does no harm");
        }
        return new RequestClass(name, effect, aim, deadline, view.number("worth", 1), view.number("late-worth", 0),
            memory, retry);
    }

    private Pool pool(String name, ConfigView view, Limits limits, Collection<Listener> listeners) {
        int sources = (view.has("servers") ? 1 : 0) + (view.has("file") ? 1 : 0) + (view.has("discovery") ? 1 : 0);
        if (sources != 1) {
            faults.add(view.place(), view.path(), sources == 0 ? "no servers" : "servers from " + sources + " sources",
                "one of `servers`, `file` and `discovery`");
        }
        List<Server> servers = ServerListReader.read(view, "servers", faults);
        Path file = listFilePath(view, directory, faults);
        List<Server> known = servers;
        if (file != null) {
            List<Server> listed = ServerListReader.named(view, file, faults);
            known = listed == null ? List.of() : listed;
        }
        this.knownServers.put(name, known);
        for (Server server : known) {
            for (Listener listener : listeners) {
                if (server.addresses().stream().anyMatch(a -> a.reaches(listener.address()))) {
                    String key = file != null ? "file" : "servers";
                    faults.add(view.place(key), view.path(key), "the server " + server.displayAddresses()
                        + " is this node's own listener `" + listener.name() + "`: requests would loop",
                        "the address of the servers themselves");
                }
            }
        }
        return poolSettings(name, view, servers, file, view.address("discovery"), limits, faults);
    }

    /** Returns the list file of a section, resolved against {@code directory}; null if it has none. */
    public static Path listFilePath(ConfigView view, Path directory, Faults faults) {
        String text = view.text("file", Schema.Kind.TEXT, null);
        if (text == null) {
            return null;
        }
        try {
            return directory.resolve(text).normalize();
        } catch (InvalidPathException e) {
            faults.add(view.place("file"), view.path("file"), "is not a valid file name", "the name of a list file");
            return null;
        }
    }

    /** Reads and validates a pool's settings, with the given source of its servers. */
    public static Pool poolSettings(String name, ConfigView view, List<Server> servers, Path file, HostPort discovery,
            Limits limits, Faults faults) {
        long keepAlive = view.span("keep-alive", DEFAULT_KEEP_ALIVE);
        long idle = view.span("idle", (long) (IDLE_FRACTION * keepAlive));
        if (idle >= keepAlive) {
            faults.add(view.place("idle"), view.path("idle"), "connections are kept for " + Units.formatSpan(idle)
                + " where servers close them after " + Units.formatSpan(keepAlive) + " (`keep-alive`)",
                "less than `keep-alive`, as a request on a connection that is just closed fails");
        }
        long body = view.size("body", DEFAULT_BODY);
        long held = Math.min(body, view.size("held", DEFAULT_HELD));
        checkFits(view, "held", held, limits, faults);
        return new Pool(name, servers, file, discovery, view.span("connect-timeout", DEFAULT_CONNECT_TIMEOUT), keepAlive, idle,
            view.count("attempts", 3), view.count("in-flight", 0), body, held, view.span("cold", 0),
            view.number("start-capacity", 1), rpc(view.section("rpc")));
    }

    /** Adds a fault if several bodies of this size would not fit in memory. */
    private static void checkFits(ConfigView view, String key, long bytes, Limits limits, Faults faults) {
        if (bytes > limits.memory() / 8) {
            faults.add(view.place(key), view.path(key), "bodies of " + Units.formatSize(bytes) + " held in a memory of "
                + Units.formatSize(limits.memory()), "at most an eighth of `limits.memory`, so that several fit");
        }
    }

    /** Checks the body size of a pool whose bodies are buffered whole, as they are MessagePack. */
    public static void checkWholeBodiesFit(ConfigView view, Pool pool, Limits limits, Faults faults) {
        checkFits(view, "body", pool.body(), limits, faults);
    }

    private static Rpc rpc(ConfigView view) {
        return new Rpc(view.count("connections", Rpc.DEFAULT.connections()), view.count("calls", Rpc.DEFAULT.calls()),
            view.flag("envelope", Rpc.DEFAULT.envelope()));
    }

    private List<Route> routes(Map<String, Set<String>> used, Map<String, Listener> listeners) {
        List<Route> routes = new ArrayList<>();
        Map<Route, ConfigView> places = new HashMap<>();
        Map<String, Place> names = new HashMap<>();
        for (ConfigView view : root.items("routes")) {
            String name = view.text("name", Schema.Kind.NAME, null);
            String listener = resolveName(root, view, "listener", "listeners", used, faults);
            String pool = resolveName(root, view, "pool", "pools", used, faults);
            String requestClass = resolveName(root, view, "class", "classes", used, faults);
            String path = view.text("path", Schema.Kind.PATH, null);
            if (listeners.containsKey(listener) && listeners.get(listener).rpc()) {
                faults.add(view.place("listener"), view.path("listener"), "callers of `" + listener
                    + "` speak MessagePack-RPC, and this is a route for HTTP", "an HTTP listener, or an entry of `procedures`");
            }
            Place first = name == null ? null : names.putIfAbsent(name, view.place());
            if (first != null) {
                faults.add(view.place("name"), view.path("name"), "two routes are called `" + name
                    + "`, the other at line " + first.line(), "a name of its own for each");
            }
            if (name == null || listener == null || pool == null || requestClass == null || path == null) {
                continue;
            }
            Map<String, String> headers = new LinkedHashMap<>();
            view.named("headers").forEach((header, value) -> {
                String text = value.self(Schema.Kind.TEXT);
                if (text != null) {
                    headers.put(header, text);
                }
            });
            Route route = new Route(name, listener, view.text("host", Schema.Kind.HOST, null), path,
                new HashSet<>(view.texts("methods", Schema.Kind.METHOD)), headers, pool, requestClass,
                view.text("rewrite", Schema.Kind.PATH, null), procedure(view));
            if (places.put(route, view) == null) {
                routes.add(route);
            }
        }
        checkConflicts(routes, places, faults);
        return routes;
    }

    private String procedure(ConfigView view) {
        String procedure = view.text("procedure", Schema.Kind.PROCEDURE, null);
        if (procedure != null && procedure.endsWith("*")) {
            faults.add(view.place("procedure"), view.path("procedure"), "a route maps to a single procedure",
                "its name in full, without `*`");
        }
        return procedure;
    }

    /** Adds a fault for each pair of conflicting routes, at the place of the later one. */
    public static void checkConflicts(List<Route> routes, Map<Route, ConfigView> places, Faults faults) {
        for (Conflict conflict : RouteConflicts.find(routes)) {
            ConfigView at = places.get(conflict.route());
            ConfigView other = places.get(conflict.other());
            String otherRoute = "route `" + conflict.other().name() + "` at line " + other.place().line() + " ("
                + conflict.other().conditions() + ")";
            if (conflict.ambiguous()) {
                faults.add(at.place(), at.path(), "ambiguous: nothing decides between this route and " + otherRoute,
                    "a path, method or header that tells the two apart");
            } else {
                faults.add(at.place(), at.path(), "shadowed: all its requests go to " + otherRoute,
                    "remove it, or narrow the other");
            }
        }
    }

    /** Returns the name under a key if the section {@code among} defines it; otherwise adds a fault and returns null. */
    static String resolveName(ConfigView root, ConfigView view, String key, String among, Map<String, Set<String>> used, Faults faults) {
        String name = view.text(key, Schema.Kind.NAME, null);
        if (root.named(among).isEmpty()) {
            // The missing section is reported once, not again for each route.
            return null;
        }
        if (name != null && !root.named(among).containsKey(name)) {
            List<String> names = new ArrayList<>(root.named(among).keySet());
            String near = SpellingSuggestions.nearest(name, names);
            faults.add(view.place(key), view.path(key), "there is nothing called `" + name + "` in " + among,
                near != null ? "did you mean `" + near + "`?" : "one of " + String.join(", ", names));
            return null;
        }
        used.computeIfAbsent(among, a -> new HashSet<>()).add(String.valueOf(name));
        return name;
    }

    private void reportUnused(String key, Map<String, Set<String>> used, String wrong) {
        root.named(key).keySet().forEach(name -> {
            if (!used.getOrDefault(key, Set.of()).contains(name)) {
                faults.add(root.namePlace(key, name), SchemaValidator.join(key, name), wrong, "remove it, or add a route");
            }
        });
    }
}
