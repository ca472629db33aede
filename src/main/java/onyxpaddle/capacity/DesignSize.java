package onyxpaddle.capacity;

/** The size to design for and the budgets, as given; nothing here was measured. */
final class DesignSize {
    static final int NODES = 920;
    static final int SERVERS = 920;
    static final int SERVICES = 57;
    static final double CALLS_PER_SECOND = 240_000;
    static final int DEPTH = 9;
    static final double CONFIGURATION_CHANGES_A_DAY = 2_000;
    static final double RESTARTS_A_DAY = 240;
    static final double FAILURES_A_DAY = 2;
    /** Of one server's restart or failure: it drains or fails, is gone, and is back. */
    static final int LIST_CHANGES_EACH = 3;
    static final double SECONDS_A_DAY = 86_400;

    /** A change of configuration is in force everywhere within this. */
    static final double IN_FORCE_S = 8;
    /** For 99 in 100 calls. */
    static final double ADDED_MS = 0.36;
    /** Of one core, for a node's control. */
    static final double NODE_CORE_PERCENT = 2.6;
    /** 32 MB, for a node's control. */
    static final double NODE_MEMORY_MIB = 32e6 / (1 << 20);
    /** Read and written together, for a node's control. */
    static final double NODE_BYTES_PER_SECOND = 3_000;
    static final int CONTROL_MACHINES = 4;

    /** Bytes of one server's line in a list: what the arithmetic for the size assumes. */
    static final int LINE_BYTES = 150;
    /** How long a watch of a list waits before it asks again ({@code membership.ListWatch}). */
    static final double WATCH_S = 2;

    private static final double PERCENT_OF_A_CORE = 100;

    private DesignSize() {
    }

    static double callsAtANode() {
        return CALLS_PER_SECOND / NODES;
    }

    /** Servers of one service, at the mean. */
    static double serversAService() {
        return (double) SERVERS / SERVICES;
    }

    static double listChangesPerSecond() {
        return (RESTARTS_A_DAY + FAILURES_A_DAY) * LIST_CHANGES_EACH / SECONDS_A_DAY;
    }

    static double deliveriesPerSecond() {
        return CONFIGURATION_CHANGES_A_DAY * NODES / SECONDS_A_DAY;
    }

    static double wholeListBytes() {
        return (double) SERVERS * LINE_BYTES;
    }

    /** What all nodes may read and write for control, in bytes a second. */
    static double fleetBytesPerSecond() {
        return NODE_BYTES_PER_SECOND * NODES;
    }

    /** One core for each of the control machines: the least that they have, as how many isn't given. */
    static double machinesCorePercent() {
        return CONTROL_MACHINES * PERCENT_OF_A_CORE;
    }

    /** What each of the control machines then carries. */
    static double machineBytesPerSecond() {
        return fleetBytesPerSecond() / CONTROL_MACHINES;
    }
}
