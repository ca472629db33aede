package onyxpaddle.rpc;

import onyxpaddle.node.Log;

/**
 * Counts dropped messages and connections, and logs each kind at most once every ten seconds. Used on the event loop
 * only.
 */
public final class RpcDropCounter {
    private static final long LOG_INTERVAL = 10_000_000_000L;

    public enum Dropped {
        NOTIFICATION("notifications dropped"), LATE_REPLY("late replies to calls given up"),
        UNKNOWN_REPLY("unsolicited or duplicate replies"), MALFORMED("connections closed because of malformed frames"),
        SLOW_READER("callers disconnected because they did not read answers");

        private final String description;

        Dropped(String description) {
            this.description = description;
        }
    }

    private final long[] counts = new long[Dropped.values().length];
    private final long[] loggedCounts = new long[Dropped.values().length];
    private final long[] loggedAt = new long[Dropped.values().length];
    private final String owner;

    public RpcDropCounter(String owner) {
        this.owner = owner;
    }

    void add(Dropped kind, long now, String example) {
        int index = kind.ordinal();
        counts[index]++;
        if (loggedAt[index] == 0 || now - loggedAt[index] > LOG_INTERVAL) {
            Log.line(owner + ": " + kind.description + ": " + (counts[index] - loggedCounts[index]) + " since the last report, "
                + counts[index] + " in total; latest: " + example);
            loggedAt[index] = now;
            loggedCounts[index] = counts[index];
        }
    }

    public long of(Dropped kind) {
        return counts[kind.ordinal()];
    }
}
