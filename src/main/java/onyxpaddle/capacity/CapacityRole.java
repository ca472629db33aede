package onyxpaddle.capacity;

import java.util.List;

/** A consumer of resources, and the packages that implement it. */
enum CapacityRole {
    FRONT("front", "Front node", List.of("membership", "serve"), 1),
    SIDECAR_MEAN("sidecar-mean", "Node beside a server, at the mean", List.of("membership", "serve"), 2),
    SIDECAR_HOTTEST("sidecar-hottest", "Node beside a server of the hottest service", List.of("membership", "serve"), 8),
    /** Provided by the platform; measurements use a stand-in that is not part of a node. */
    LIST_SERVICE("list-service", "List service", List.of("scale"), 0),
    CONFIGURATION("configuration", "Carrier of configuration", List.of("control", "distribution"), 0),
    FLEET_OWNER("fleet-owner", "Owner of fleet work", List.of(), 0),
    FIGURES_READERS("figures-readers", "Operators' reading of figures", List.of("admin"), 0);

    private final String key;
    private final String title;
    private final List<String> packages;
    private final int watchedServices;

    CapacityRole(String key, String title, List<String> packages, int watchedServices) {
        this.key = key;
        this.title = title;
        this.packages = packages;
        this.watchedServices = watchedServices;
    }

    /** The name of the role in result files. */
    String key() {
        return key;
    }

    String title() {
        return title;
    }

    /** The packages that implement it; empty if there are none. */
    List<String> packages() {
        return packages;
    }

    /** Whether the role is a node, to which the per-node budgets apply. */
    boolean node() {
        return watchedServices > 0;
    }

    /** Number of services whose lists a node of this role watches, the same assumption as in the scale measurement; 0 if not a node. */
    int watchedServices() {
        return watchedServices;
    }

    /** Number of list lines that a node of this role holds. */
    double lines() {
        return watchedServices * DesignSize.serversPerService();
    }
}
