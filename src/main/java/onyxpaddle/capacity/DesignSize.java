package onyxpaddle.capacity;

/** The design size of the fleet and the budgets, as specified; none of these values is measured. */
final class DesignSize {
    static final int NODES = 920;
    static final int SERVERS = 920;
    static final int SERVICES = 57;
    static final double CALLS_PER_SECOND = 240_000;
    static final int DEPTH = 9;
    static final double CONFIGURATION_CHANGES_PER_DAY = 2_000;
    static final double RESTARTS_PER_DAY = 240;
    static final double FAILURES_PER_DAY = 2;
    /** List changes for one restart or failure of a server: it drains or fails, is gone, and returns. */
    static final int LIST_CHANGES_PER_OUTAGE = 3;
    static final double SECONDS_PER_DAY = 86_400;

    /** Time limit for a configuration change to be in force on all nodes, in seconds. */
    static final double PROPAGATION_LIMIT_S = 8;
    /** Limit of the time that a node adds to a call, at p99, in milliseconds. */
    static final double ADDED_LATENCY_MS = 0.36;
    /** CPU budget of a node's control work, as a percentage of one core. */
    static final double NODE_CORE_PERCENT = 2.6;
    /** Memory budget of a node's control work: 32 MB. */
    static final double NODE_MEMORY_MIB = 32e6 / (1 << 20);
    /** Byte budget of a node's control traffic, reads and writes together. */
    static final double NODE_BYTES_PER_SECOND = 3_000;
    static final int CONTROL_MACHINES = 4;

    /** Assumed size of a server's line in a list, in bytes. */
    static final int LINE_BYTES = 150;
    /** Interval between two requests of a list watch, in seconds ({@code membership.ListWatch}). */
    static final double WATCH_INTERVAL_S = 2;

    private static final double PERCENT_PER_CORE = 100;

    private DesignSize() {
    }

    static double callsPerNode() {
        return CALLS_PER_SECOND / NODES;
    }

    /** Mean number of servers per service. */
    static double serversPerService() {
        return (double) SERVERS / SERVICES;
    }

    static double listChangesPerSecond() {
        return (RESTARTS_PER_DAY + FAILURES_PER_DAY) * LIST_CHANGES_PER_OUTAGE / SECONDS_PER_DAY;
    }

    static double deliveriesPerSecond() {
        return CONFIGURATION_CHANGES_PER_DAY * NODES / SECONDS_PER_DAY;
    }

    static double wholeListBytes() {
        return (double) SERVERS * LINE_BYTES;
    }

    /** Byte budget of the control traffic of all nodes together, per second. */
    static double fleetBytesPerSecond() {
        return NODE_BYTES_PER_SECOND * NODES;
    }

    /** CPU budget of the control machines: one core each, the minimum, as their number of cores is not specified. */
    static double machinesCorePercent() {
        return CONTROL_MACHINES * PERCENT_PER_CORE;
    }

    /** Control traffic per control machine if every node uses its full budget. */
    static double machineBytesPerSecond() {
        return fleetBytesPerSecond() / CONTROL_MACHINES;
    }
}
