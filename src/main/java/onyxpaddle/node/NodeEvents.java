package onyxpaddle.node;

import java.util.Locale;

/**
 * Counts events by reason and delays by size, for the metrics, and logs a summary, at most once per second, of the time in which a
 * delay was long. Used on the event loop only; counting allocates nothing.
 */
public final class NodeEvents {
    /** Delays from this on are counted as long, and logged. */
    public static final long LONG_DELAY = 100_000_000L;
    private static final long MAXIMUM_WINDOW = 30_000_000_000L;
    private static final long LOG_INTERVAL = 1_000_000_000L;

    private final boolean logsRequests;
    private final long[] counts = new long[NodeEvent.values().length];
    private final long[] longDelays = new long[NodeDelay.values().length];
    private final RecentMaximum[] maxima = new RecentMaximum[NodeDelay.values().length];
    /** Values at the last log line. */
    private final long[] loggedCounts = new long[NodeEvent.values().length];
    /** The longest delays since the last log line. */
    private final long[] unloggedDelays = new long[NodeDelay.values().length];
    private long loggedAt;

    /** Without log lines on single requests. */
    public NodeEvents() {
        this(false);
    }

    /** {@code logsRequests}: whether each refused request, further attempt and attempt that is not begun is logged by the request's id. */
    public NodeEvents(boolean logsRequests) {
        this.logsRequests = logsRequests;
        for (int i = 0; i < maxima.length; i++) {
            maxima[i] = new RecentMaximum(MAXIMUM_WINDOW);
        }
    }

    /** Counts an event. */
    public void count(NodeEvent event) {
        counts[event.ordinal()]++;
    }

    /** Counts an event of a request. */
    public void count(NodeEvent event, String request) {
        count(event);
        if (logsRequests) {
            Log.line("request " + request + ": " + event.kind().label() + ", " + event.label());
        }
    }

    /** Records a delay. */
    public void record(NodeDelay delay, long nanos, long now) {
        int index = delay.ordinal();
        maxima[index].record(nanos, now);
        if (nanos >= LONG_DELAY) {
            longDelays[index]++;
            unloggedDelays[index] = Math.max(unloggedDelays[index], nanos);
            if (delay.own()) {
                logIfDue(now);
            }
        }
    }

    /** How often the event was counted. */
    public long total(NodeEvent event) {
        return counts[event.ordinal()];
    }

    /** The number of delays of at least {@link #LONG_DELAY}. */
    public long longDelays(NodeDelay delay) {
        return longDelays[delay.ordinal()];
    }

    /** The longest delay of about the last minute, in nanoseconds. */
    public long longest(NodeDelay delay, long now) {
        return maxima[delay.ordinal()].get(now);
    }

    private void logIfDue(long now) {
        if (now - loggedAt < LOG_INTERVAL) {
            return;
        }
        loggedAt = now;
        StringBuilder line = new StringBuilder("short of processor time: longest in ms");
        for (NodeDelay delay : NodeDelay.values()) {
            if (delay == NodeDelay.QUEUE) {
                line.append("; behind other requests");
            }
            line.append(String.format(Locale.ROOT, " %s=%d", delay.label(), unloggedDelays[delay.ordinal()] / 1_000_000));
            unloggedDelays[delay.ordinal()] = 0;
        }
        line.append("; since the last such line");
        for (NodeEvent event : NodeEvent.values()) {
            long more = counts[event.ordinal()] - loggedCounts[event.ordinal()];
            loggedCounts[event.ordinal()] = counts[event.ordinal()];
            if (more > 0) {
                line.append(' ').append(event.label()).append('=').append(more);
            }
        }
        Log.line(line.toString());
    }
}
