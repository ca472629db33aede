package onyxpaddle.distribution;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import onyxpaddle.distribution.ReplicaSelector.Answered;
import onyxpaddle.distribution.ReplicaSelector.Behind;
import onyxpaddle.distribution.ReplicaSelector.Busy;
import onyxpaddle.distribution.ReplicaSelector.Call;
import onyxpaddle.distribution.ReplicaSelector.Failed;
import onyxpaddle.distribution.ReplicaSelector.Outcome;
import onyxpaddle.node.Log;
import onyxpaddle.watch.WatchClient;
import onyxpaddle.watch.WatchClient.Timeouts;

/**
 * Watches the configuration of the control processes by long polling: one GET at a time, from the current version, at the
 * replica that a {@link ReplicaSelector} chooses. Assembles pages and passes on complete updates only; an answer that is
 * truncated, late, malformed or older than the current version changes nothing. Everything but {@link #start} and {@link #stop}
 * runs on the event loop.
 */
public final class ConfigurationWatch {
    /**
     * Minimum time between the start of an answered call and the next call, in milliseconds. It bounds the cost of a burst of
     * changes, as one answer then carries several of them, and delays the second of two changes by at most this much.
     */
    private static final int MIN_CALL_INTERVAL_MS = 250;
    /** How long the transfer of an answer may take after the latest time at which it may begin, in milliseconds. */
    private static final int TRANSFER_MS = 1500;
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int MAX_REASON_LENGTH = 200;

    /** Holds the configuration that the watch updates. Called on the event loop, so implementations must not block. */
    public interface Receiver {
        /** The version up to which updates were received; {@code NONE} before the first. */
        ConfigurationVersion currentVersion();

        /** Applies a complete update and returns its effect. */
        ConfigurationTable.Outcome receive(Update update);

        /** Additional query parameters for the next call, each prefixed with {@code &}; empty for none. */
        String reportParameters();
    }

    private final EventLoop loop;
    private final ByteBufAllocator allocator;
    private final List<InetSocketAddress> replicas;
    private final ReplicaSelector selector;
    private final String identity;
    private final Receiver receiver;
    private final WatchClient[] connections;
    /** By replica, whether it was logged as behind since it last answered. */
    private final boolean[] behindLogged;
    private final UpdateAssembler assembler = new UpdateAssembler();
    private ConfigurationVersion lastPageChange = ConfigurationVersion.NONE;
    /** The last delta could not be applied to the current version: the next call requests a full update. */
    private boolean fullUpdateNeeded;
    private Call call;
    private long calledAt;
    private int failures;
    private Future<?> pendingCall;
    private boolean stopped;

    /**
     * @param replicas the replicas that the selector was created with, in the same order
     * @param identity the caller and its subscription as query parameters: {@code node=N&service=S} or
     *     {@code scope=all&replica=ID}
     */
    public ConfigurationWatch(EventLoop loop, ByteBufAllocator allocator, List<InetSocketAddress> replicas, ReplicaSelector selector,
            String identity, Receiver receiver) {
        this.loop = loop;
        this.allocator = allocator;
        this.replicas = List.copyOf(replicas);
        this.selector = selector;
        this.identity = identity;
        this.receiver = receiver;
        connections = new WatchClient[replicas.size()];
        behindLogged = new boolean[replicas.size()];
    }

    public void start() {
        loop.execute(() -> scheduleCall(selector.firstCall()));
    }

    /** Stops the watch permanently: once the loop has run this, no call is made and no answer is processed. */
    public void stop() {
        loop.execute(() -> {
            stopped = true;
            if (pendingCall != null) {
                pendingCall.cancel(false);
            }
            for (WatchClient connection : connections) {
                if (connection != null) {
                    connection.disconnect();
                }
            }
        });
    }

    // ---- calls ----

    private void scheduleCall(Call next) {
        if (stopped) {
            return;
        }
        if (call != null && next.replica() != call.replica()) {
            // Pages of one replica cannot be continued at another.
            assembler.clear();
        }
        call = next;
        if (next.delay() == 0) {
            send();
        } else {
            pendingCall = loop.schedule(this::send, next.delay(), TimeUnit.NANOSECONDS);
        }
    }

    private void send() {
        if (stopped) {
            return;
        }
        if (!call.probe()) {
            disconnectOthers(call.replica());
        }
        calledAt = System.nanoTime();
        connection(call.replica()).call(uri(), new Timeouts(call.responseTimeoutMs(), call.responseTimeoutMs() + TRANSFER_MS, 0));
    }

    private void disconnectOthers(int replica) {
        for (int i = 0; i < connections.length; i++) {
            if (i != replica && connections[i] != null) {
                connections[i].disconnect();
                connections[i] = null;
            }
        }
    }

    private WatchClient connection(int replica) {
        if (connections[replica] == null) {
            connections[replica] = new WatchClient(loop, allocator, replicas.get(replica), UpdateJson.MAX_BYTES, new CallListener(replica));
        }
        return connections[replica];
    }

    private String uri() {
        ConfigurationVersion after = fullUpdateNeeded ? ConfigurationVersion.NONE : receiver.currentVersion();
        String page = "";
        if (assembler.inProgress()) {
            after = lastPageChange;
            page = assembler.firstPageVersion().equals(ConfigurationVersion.NONE) ? "" : "&page_of=" + assembler.firstPageVersion();
        }
        return "/v1/configuration?" + identity + "&epoch=" + after.epoch() + "&after=" + after.number() + page + "&wait_ms="
            + call.waitMs() + receiver.reportParameters();
    }

    // ---- results of calls ----

    /** Receives the results of the calls to one replica. */
    private final class CallListener implements WatchClient.Listener {
        private final int replica;

        private CallListener(int replica) {
            this.replica = replica;
        }

        @Override
        public void answered(FullHttpResponse response) {
            if (stopped || replica != call.replica()) {
                return;
            }
            switch (response.status().code()) {
                case OK -> read(ByteBufUtil.getBytes(response.content()));
                case SERVICE_UNAVAILABLE -> finish(new Busy(retryAfter(response)), "busy (answered 503)");
                default -> finish(new Failed(), "answered " + response.status().code() + ": " + reason(response));
            }
        }

        @Override
        public void failed(String why, boolean turnedAway) {
            if (!stopped && replica == call.replica()) {
                finish(new Failed(), why);
            }
        }
    }

    private static String reason(FullHttpResponse response) {
        String body = response.content().toString(StandardCharsets.UTF_8);
        return body.substring(0, Math.min(MAX_REASON_LENGTH, body.length()));
    }

    /** Seconds; 0 if the header is missing or not a number. Its date format is not used by control processes. */
    private static long retryAfter(FullHttpResponse response) {
        String text = response.headers().get(HttpHeaderNames.RETRY_AFTER);
        try {
            return text == null ? 0 : Long.parseLong(text.trim());
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private void read(byte[] bytes) {
        Update page;
        try {
            page = UpdateJson.read(bytes);
        } catch (MalformedUpdateException e) {
            finish(new Failed(), "answered with an invalid update: " + e.getMessage());
            return;
        }
        if (receiver.currentVersion().isAfter(page.version())) {
            replicaBehind(page.version());
            return;
        }
        if (page.more() && !advances(page)) {
            finish(new Failed(), "answered with a page that makes no progress");
            return;
        }
        Update update;
        try {
            update = assembler.add(page);
        } catch (IllegalStateException e) {
            finish(new Failed(), e.getMessage());
            return;
        }
        if (update == null) {
            lastPageChange = page.lastChange();
            finish(new Answered(page.staleMs(), true), null);
        } else {
            apply(update);
        }
    }

    /** Whether the request for the next page would differ from the last one. */
    private boolean advances(Update page) {
        return !page.entries().isEmpty() && (page.full() || !assembler.inProgress() || page.lastChange().isAfter(lastPageChange));
    }

    private void apply(Update update) {
        switch (receiver.receive(update)) {
            case APPLIED, UNCHANGED -> {
                fullUpdateNeeded = false;
                finish(new Answered(update.staleMs(), false), null);
            }
            case BEHIND -> replicaBehind(update.version());
            case GAP -> {
                fullUpdateNeeded = true;
                finish(new Failed(), "answered with a delta to a version that is not held; requesting a full update");
            }
            default -> throw new IllegalStateException();
        }
    }

    private void replicaBehind(ConfigurationVersion version) {
        if (!behindLogged[call.replica()]) {
            behindLogged[call.replica()] = true;
            Log.line("configuration: " + addressOf(call.replica()) + " is at " + version + ", older than " + receiver.currentVersion()
                + ", which is kept");
        }
        finish(new Behind(), null);
    }

    /** Continues with the next call; {@code why}: the failure to log, {@code null} for none. */
    private void finish(Outcome outcome, String why) {
        int replica = call.replica();
        boolean answered = outcome instanceof Answered;
        if (!answered) {
            assembler.clear();
            connections[replica].disconnect();
            if (failures == 0 && why != null) {
                Log.line("configuration: " + addressOf(replica) + ": " + why);
            }
        } else if (failures > 0) {
            Log.line("configuration: " + addressOf(replica) + " answered after " + failures + " failed calls");
        }
        behindLogged[replica] &= !answered;
        long now = System.nanoTime();
        Call next = selector.nextCall(now, outcome);
        failures = selector.failures();
        scheduleCall(outcome instanceof Answered answer && !answer.more() && !next.probe() ? withMinInterval(now, next) : next);
    }

    private String addressOf(int replica) {
        InetSocketAddress address = replicas.get(replica);
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private Call withMinInterval(long now, Call next) {
        long left = TimeUnit.MILLISECONDS.toNanos(MIN_CALL_INTERVAL_MS) - (now - calledAt);
        return left <= next.delay() ? next : new Call(next.replica(), left, next.waitMs(), next.probe());
    }
}
