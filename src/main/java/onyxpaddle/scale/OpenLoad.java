package onyxpaddle.scale;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.HdrHistogram.Histogram;

/**
 * Sends calls when they are due, whether or not earlier ones have been answered. One thread that never sleeps: it looks at the
 * clock and at the connections with an open call in turn, so that no wake-up of its own is in what it measures.
 */
final class OpenLoad implements Closeable {
    /** How long after the last call was due an answer is waited for, in nanoseconds: far beyond any latency of interest. */
    static final long PATIENCE_NANOS = 2_000_000_000L;
    /** The highest that a histogram keeps, in nanoseconds; more is counted as this. */
    private static final long HIGHEST_NANOS = 600_000_000_000L;
    private static final int DIGITS = 3;

    private static final class OpenCall {
        private final OpenLoadConnection connection;
        private final long due;

        OpenCall(OpenLoadConnection connection, long due) {
            this.connection = connection;
            this.due = due;
        }
    }

    private final OpenLoadConnection.Connector connector;
    private final int connections;
    private final LongSupplier clock;
    /** In turn, so that none is idle for so long that the other end closes it. */
    private final ArrayDeque<OpenLoadConnection> idle = new ArrayDeque<>();
    private final List<OpenCall> open = new ArrayList<>();
    private Histogram latencies;
    private Histogram sendDelays;
    private long failed;
    private String firstFailure;

    /** {@code connections}: the most calls that are open at once; {@code clock}: nanoseconds, as {@link System#nanoTime}. */
    OpenLoad(OpenLoadConnection.Connector connector, int connections, LongSupplier clock) {
        this.connector = connector;
        this.connections = connections;
        this.clock = clock;
    }

    /** Runs one load to its end, over the connections of the load before; those that were lost or closed are opened anew first. */
    OpenLoadResult run(long[] due) throws IOException {
        renew();
        return run(due, clock.getAsLong());
    }

    private void renew() throws IOException {
        for (int left = idle.size(); left > 0; left--) {
            OpenLoadConnection connection = idle.remove();
            if (connection.usable()) {
                idle.add(connection);
            } else {
                connection.close();
            }
        }
        while (idle.size() < connections) {
            idle.add(connector.connect());
        }
    }

    /** {@code due}: nanoseconds after {@code begin}, ascending. */
    private OpenLoadResult run(long[] due, long begin) throws IOException {
        latencies = new Histogram(HIGHEST_NANOS, DIGITS);
        sendDelays = new Histogram(HIGHEST_NANOS, DIGITS);
        failed = 0;
        firstFailure = "";
        long end = due.length == 0 ? 0 : due[due.length - 1] + PATIENCE_NANOS;
        int next = 0;
        long now = 0;
        while ((next < due.length || !open.isEmpty()) && now < end) {
            now = clock.getAsLong() - begin;
            if (next < due.length && due[next] <= now && !idle.isEmpty()) {
                send(due[next], now);
                next++;
            }
            collect(begin);
            Thread.onSpinWait();
        }
        long unanswered = giveUp(due, next, now);
        return new OpenLoadResult(latencies, sendDelays, unanswered, failed, firstFailure);
    }

    private void send(long due, long now) throws IOException {
        OpenLoadConnection connection = idle.remove();
        sendDelays.recordValue(bounded(now - due));
        try {
            connection.send();
            open.add(new OpenCall(connection, due));
        } catch (IOException e) {
            fail(connection, e);
        }
    }

    private void collect(long begin) throws IOException {
        for (int i = open.size() - 1; i >= 0; i--) {
            OpenCall call = open.get(i);
            try {
                if (call.connection.answered()) {
                    latencies.recordValue(bounded(clock.getAsLong() - begin - call.due));
                    open.remove(i);
                    idle.add(call.connection);
                }
            } catch (IOException e) {
                open.remove(i);
                fail(call.connection, e);
            }
        }
    }

    private void fail(OpenLoadConnection connection, IOException why) throws IOException {
        failed++;
        firstFailure = firstFailure.isEmpty() ? String.valueOf(why.getMessage()) : firstFailure;
        connection.close();
    }

    /** Counts the calls that have no answer, or were never sent, and drops their connections. */
    private long giveUp(long[] due, int next, long now) throws IOException {
        long unanswered = open.size() + (due.length - next);
        for (OpenCall call : open) {
            latencies.recordValue(bounded(now - call.due));
            call.connection.close();
        }
        open.clear();
        for (int i = next; i < due.length; i++) {
            latencies.recordValue(bounded(now - due[i]));
            sendDelays.recordValue(bounded(now - due[i]));
        }
        return unanswered;
    }

    @Override
    public void close() throws IOException {
        for (OpenLoadConnection connection : idle) {
            connection.close();
        }
    }

    private static long bounded(long nanos) {
        return Math.max(0, Math.min(HIGHEST_NANOS, nanos));
    }
}
