package onyxpaddle.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;
import java.util.stream.IntStream;

/**
 * Which node stands beside which server, in which service and zone, and what it watches: server and node have one number, services
 * take turns, and each service's servers lie spread over the zones. Decides nothing by chance.
 */
record FleetLayout(int nodes) {
    /** The operators': 920 servers in 57 services. */
    static final int SERVERS_A_SERVICE = 16;
    /** As lists name them. */
    static final int ZONES = 4;
    /** One front for so many nodes. */
    private static final int NODES_A_FRONT = 46;
    /** Of so many sidecars one is of a service that calls many. */
    private static final int NODES_A_HOTTEST = 16;
    /** A request is at most nine calls deep over 57 services: most services call one or two others. */
    static final int MEAN_SERVICES = 2;
    static final int HOTTEST_SERVICES = 8;

    /** What a node is, by which its figures are summed. */
    enum Role {
        FRONT, SIDECAR_MEAN, SIDECAR_HOTTEST;

        /** As results name it. */
        String word() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    int services() {
        return Math.max(1, nodes / SERVERS_A_SERVICE);
    }

    int fronts() {
        return (nodes + NODES_A_FRONT - 1) / NODES_A_FRONT;
    }

    Role role(int node) {
        if (node % NODES_A_FRONT == 0) {
            return Role.FRONT;
        }
        return node % NODES_A_HOTTEST == 1 ? Role.SIDECAR_HOTTEST : Role.SIDECAR_MEAN;
    }

    /** The service that the server of that number belongs to. */
    int service(int server) {
        return server % services();
    }

    int zone(int server, int zones) {
        return server / services() % zones;
    }

    /** What a node of that number watches. */
    List<Integer> watched(int node) {
        return switch (role(node)) {
            case FRONT -> List.of(0);
            case SIDECAR_MEAN -> watched(node, MEAN_SERVICES);
            case SIDECAR_HOTTEST -> watched(node, HOTTEST_SERVICES);
        };
    }

    /** The next so many services after its own, or as many as there are. */
    List<Integer> watched(int node, int count) {
        TreeSet<Integer> those = new TreeSet<>();
        for (int i = 1; i <= Math.min(count, services()); i++) {
            those.add((service(node) + i) % services());
        }
        return List.copyOf(those);
    }

    List<Integer> all() {
        return IntStream.range(0, nodes).boxed().toList();
    }

    /** The servers of one zone of so many. */
    List<Integer> ofZone(int zone, int zones) {
        return all().stream().filter(server -> zone(server, zones) == zone).toList();
    }

    /** The first line of a server; its address is in a range that is never dialled. */
    static ListedServer line(int service, int server, int zone) {
        return new ListedServer(String.format("s-%08x", service << 16 | server), "198.18." + server / 250 + "." + (1 + server % 250) + ":8080",
            String.valueOf((char) ('a' + zone)), ListedServer.Health.READY, 0);
    }

    /** The lines of a service of this fleet, by its servers' numbers. */
    List<ListedServer> lines(int service) {
        List<ListedServer> lines = new ArrayList<>();
        for (int server = service; server < nodes; server += services()) {
            lines.add(line(service, server, zone(server, ZONES)));
        }
        return lines;
    }
}
