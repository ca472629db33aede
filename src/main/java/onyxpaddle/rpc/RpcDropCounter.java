package onyxpaddle.rpc;

import onyxpaddle.node.Log;

/** Counts what is dropped, and tells of it in a line at most every ten seconds each. Event loop only. */
public final class RpcDropCounter {
    private static final long BETWEEN = 10_000_000_000L;

    /** What is counted. */
    public enum Dropped {
        NOTIFICATION("notifications dropped"), LATE_REPLY("replies came to calls already given up"),
        UNKNOWN_REPLY("replies came to no call, or twice"), MALFORMED("connections ended for malformed frames"),
        UNREAD("callers let go of that read no answers");

        private final String text;

        Dropped(String text) {
            this.text = text;
        }
    }

    private final long[] counts = new long[Dropped.values().length];
    private final long[] told = new long[Dropped.values().length];
    private final long[] toldAt = new long[Dropped.values().length];
    private final String who;

    public RpcDropCounter(String who) {
        this.who = who;
    }

    void add(Dropped what, long now, String example) {
        int i = what.ordinal();
        counts[i]++;
        if (toldAt[i] == 0 || now - toldAt[i] > BETWEEN) {
            Log.line(who + ": " + what.text + ": " + (counts[i] - told[i]) + " since the last line, " + counts[i]
                + " in all; the last: " + example);
            toldAt[i] = now;
            told[i] = counts[i];
        }
    }

    public long of(Dropped what) {
        return counts[what.ordinal()];
    }
}
