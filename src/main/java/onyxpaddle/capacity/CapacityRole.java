package onyxpaddle.capacity;

import java.util.List;

/** Who needs something, and which packages carry it. */
enum CapacityRole {
    FRONT("front", "Front node", List.of("membership", "serve"), 1),
    SIDECAR_MEAN("sidecar-mean", "Node beside a server, at the mean", List.of("membership", "serve"), 2),
    SIDECAR_HOTTEST("sidecar-hottest", "Node beside a server of the hottest service", List.of("membership", "serve"), 8),
    /** The platform's own; what stands in for it when measured is no part of a node. */
    LIST_SERVICE("list-service", "List service", List.of("scale"), 0),
    CONFIGURATION("configuration", "Carrier of configuration", List.of("control", "distribution"), 0),
    FLEET_OWNER("fleet-owner", "Owner of fleet work", List.of(), 0),
    FIGURES_READERS("figures-readers", "Operators' reading of figures", List.of("admin"), 0);

    private final String key;
    private final String title;
    private final List<String> packages;
    private final int watched;

    CapacityRole(String key, String title, List<String> packages, int watched) {
        this.key = key;
        this.title = title;
        this.packages = packages;
        this.watched = watched;
    }

    /** As results name it. */
    String key() {
        return key;
    }

    String title() {
        return title;
    }

    /** The packages that carry its work; none where nothing does. */
    List<String> packages() {
        return packages;
    }

    /** Whether it is a node, which has a node's budget. */
    boolean node() {
        return watched > 0;
    }

    /** Services whose lists a node of this role watches: assumed, as the measurement at scale assumes it; 0 for what is no node. */
    int watched() {
        return watched;
    }

    /** Lines of lists that a node of this role holds. */
    double lines() {
        return watched * DesignSize.serversAService();
    }
}
