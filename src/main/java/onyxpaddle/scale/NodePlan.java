package onyxpaddle.scale;

import java.io.Serializable;
import java.util.List;
import java.util.Locale;

/**
 * A node of a run: what it is, and which lists it watches.
 *
 * @param node its number, by which its doors are found
 * @param services the lists that it watches; a front has one. None: its servers are fixed, so that nothing is watched
 * @param port that all doors of the list service share
 */
public record NodePlan(int node, NodeKind kind, List<Integer> services, int port) implements Serializable {
    /** How seldom a front asks when it is turned away, at the most: the usual of its platform. */
    private static final int ASK_EVERY_SECONDS = 10;

    public NodePlan {
        services = List.copyOf(services);
    }

    String name() {
        return "node-" + node;
    }

    /** Where it reaches that list. */
    String door(int service) {
        return new DoorAddress(node, service).text() + ":" + port;
    }

    /** The configuration of a sidecar; {@code listen}: its one listener; {@code admin}: the operators' door, null for none. */
    String yaml(String listen, String admin) {
        StringBuilder text = new StringBuilder("version: 1\nname: " + name() + "\n");
        text.append(admin == null ? "" : "admin: \"" + admin + "\"\n");
        text.append("listeners:\n  in: {address: \"").append(listen).append("\"}\n");
        text.append("classes:\n  work: {effect: safe, deadline: 2 s}\npools:\n");
        for (int service : services) {
            text.append("  service-").append(service).append(": {discovery: \"").append(door(service)).append("\"}\n");
        }
        text.append(services.isEmpty() ? "  fixed: {servers: [\"127.0.0.1:9\"]}\n" : "").append("routes:\n");
        for (int service : services) {
            text.append(route("service-" + service));
        }
        return text.append(services.isEmpty() ? route("fixed") : "").toString();
    }

    private static String route(String pool) {
        return "  - {name: " + pool + ", listener: in, path: /" + pool + ", pool: " + pool + ", class: work}\n";
    }

    /** The configuration of a front, as its platform writes it; {@code siblings}: how many fronts there are. */
    String json(String listen, int siblings) {
        return String.format(Locale.ROOT, """
            {"name":"%s","listen":"%s","discovery":"%s","seed":"%x","limits":{"sockets":1024},"known":{"seq":0,"whole":true,"hosts":[]},
             "settings":{"az":"a","areas":["a","b","c","d"],"me":%d,"siblings":%d,"quantumS":0.002,"membershipMode":"ask","weights":"nominal",
              "classes":[{"name":"work","effect":"read_like","aimS":0.5,"deadlineS":2,"worth":1}],
              "limits":{"maxAttempts":3,"cancel":true,"retryAfter":true,"maxRetryAfterS":1,"dialTimeoutS":0.25,"keepaliveS":5},
              "rules":{"drainGraceS":2,"askEveryS":%d}}}""", name(), listen, door(services.get(0)), node + 1, node % siblings, siblings,
            ASK_EVERY_SECONDS);
    }

    /** How long a front waits before it asks again, at the most, in nanoseconds. */
    static long askEveryNanos() {
        return ASK_EVERY_SECONDS * 1_000_000_000L;
    }
}
