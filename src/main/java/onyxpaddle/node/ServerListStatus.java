package onyxpaddle.node;

import java.util.Locale;

/**
 * What a pool's node received from discovery: answers counted by their verdict, the age of the list in force, and how long news has been
 * known that is not in force. Logs answers, at most one per second. Used on the event loop only.
 */
public final class ServerListStatus {
    /** What became of an answer of discovery. */
    public enum Verdict {
        /** It is in force as it is. */
        CURRENT,
        /** A whole list whose version is below the newest one received. */
        OLDER_LIST,
        /** Changes to a list that this node does not have. */
        UNKNOWN_BASE,
        /** It answers a call made before another one that has been answered already. */
        OVERTAKEN,
        /** Not a list. */
        UNREADABLE;

        /** Its name in metrics and log lines. */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * A list or changes as received.
     *
     * @param heldVersion the version of the list in force before
     * @param ready number of entries with servers that are ready
     * @param leaving number of entries with servers that drain or are gone
     * @param invalid number of entries that could not be read
     * @param firstInvalid the first such entry and its fault; empty for none
     */
    public record ReceivedList(boolean whole, long version, long heldVersion, int ready, int leaving, int invalid, String firstInvalid) {
    }

    private static final long LOG_INTERVAL = 1_000_000_000L;

    private final boolean logs;
    private final long[] counts = new long[Verdict.values().length];
    private boolean received;
    private long currentAt;
    private boolean doubted;
    private long doubtedSince;
    private long invalidEntries;
    private boolean logged;
    private long loggedAt;
    private long unlogged;

    /** {@code logs}: whether answers are logged. */
    public ServerListStatus(boolean logs) {
        this.logs = logs;
    }

    /** Records a list or changes. */
    public void received(Verdict verdict, ReceivedList list, long now) {
        invalidEntries += list.invalid();
        record(verdict, now);
        if (isLogDue(now)) {
            log(String.format(Locale.ROOT, "%s, version %d where %d is held, %d ready, %d leaving, %d invalid%s: %s",
                list.whole() ? "whole list" : "changes", list.version(), list.heldVersion(), list.ready(), list.leaving(), list.invalid(),
                list.firstInvalid().isEmpty() ? "" : " (" + list.firstInvalid() + ")", verdict.label()), now);
        }
    }

    /** Records an answer that is not a list. */
    public void unreadable(String reason, long now) {
        record(Verdict.UNREADABLE, now);
        if (isLogDue(now)) {
            log(Verdict.UNREADABLE.label() + ": " + reason, now);
        }
    }

    private void record(Verdict verdict, long now) {
        counts[verdict.ordinal()]++;
        if (verdict == Verdict.CURRENT) {
            received = true;
            currentAt = now;
            doubted = false;
        } else if (!doubted) {
            doubted = true;
            doubtedSince = now;
        }
    }

    /** Counts an answer that is not logged. */
    private boolean isLogDue(long now) {
        boolean due = logs && (!logged || now - loggedAt >= LOG_INTERVAL);
        unlogged += due ? 0 : 1;
        return due;
    }

    private void log(String text, long now) {
        Log.line("discovery: " + text + (doubted ? ", news not in force for " + doubt(now) / 1_000_000 + " ms" : "")
            + (unlogged > 0 ? "; " + unlogged + " more answers since the last such line" : ""));
        logged = true;
        loggedAt = now;
        unlogged = 0;
    }

    /** The number of answers with this verdict. */
    public long total(Verdict verdict) {
        return counts[verdict.ordinal()];
    }

    /** The number of entries that could not be read. */
    public long invalidEntries() {
        return invalidEntries;
    }

    /** Time since the last answer that is in force as it is, in nanoseconds; 0 before the first. */
    public long age(long now) {
        return received ? now - currentAt : 0;
    }

    /** Time since the oldest news that is not in force, in nanoseconds; 0 for none. */
    public long doubt(long now) {
        return doubted ? now - doubtedSince : 0;
    }
}
