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

/**
 * Follows the configuration that control processes tell: one GET at a time, from the version held, at the replica that a
 * {@link ReplicaSelector} names. Puts pages together and hands on whole updates alone; an answer that is broken, late, unreadable or
 * older than what is held changes nothing. All of it happens on the event loop, but {@link #start} and {@link #stop}.
 */
public final class ConfigurationWatch {
    /**
     * The least time from one call to the next after an answer, in milliseconds. In a burst of changes it bounds what they cost: a client
     * takes several with one answer. It adds this much to how late the second of two changes comes.
     */
    private static final int LEAST_INTERVAL_MS = 250;
    /** How long after the latest moment at which it may begin an answer is whole, in milliseconds. */
    private static final int REST_MS = 1500;
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int LONGEST_REASON = 200;

    /** Holds what the watch brings. Asked and told on the event loop, so nothing of it may block. */
    public interface Receiver {
        /** The version up to which updates were taken; {@code NONE} before the first. */
        ConfigurationVersion currentVersion();

        /** Takes an update, without {@code more}, and says what it did. */
        ConfigurationTable.Outcome receive(Update update);

        /** Further parameters for the next call, each with {@code &} before it; empty for none. */
        String reportParameters();
    }

    private final EventLoop loop;
    private final ByteBufAllocator allocator;
    private final List<InetSocketAddress> replicas;
    private final ReplicaSelector selector;
    private final String identity;
    private final Receiver receiver;
    private final WatchClient[] connections;
    /** Replicas of which it was said that they are behind, since they last were not. */
    private final boolean[] toldBehind;
    private final UpdateAssembler assembly = new UpdateAssembler();
    private ConfigurationVersion lastPage = ConfigurationVersion.NONE;
    /** What is held can't be gone on from: the next call asks for a whole. */
    private boolean asksForWhole;
    private Call call;
    private long calledAt;
    private int failures;
    private Future<?> nextCall;
    private boolean stopped;

    /**
     * {@code replicas}: as the selector was told of them, in the same order; {@code identity}: who calls and what is of subscription, as
     * parameters: {@code node=N&service=S} or {@code scope=all&replica=ID}.
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
        toldBehind = new boolean[replicas.size()];
    }

    /** Makes the first call. */
    public void start() {
        loop.execute(() -> follow(selector.firstCall()));
    }

    /** Ends it for good: no call is made, and no answer taken, after the loop has come to this. */
    public void stop() {
        loop.execute(() -> {
            stopped = true;
            if (nextCall != null) {
                nextCall.cancel(false);
            }
            for (WatchClient connection : connections) {
                if (connection != null) {
                    connection.disconnect();
                }
            }
        });
    }

    // ---- calls ----

    private void follow(Call next) {
        if (stopped) {
            return;
        }
        if (call != null && next.replica() != call.replica()) {
            // Pages of one replica don't go on at another.
            assembly.clear();
        }
        call = next;
        if (next.delay() == 0) {
            send();
        } else {
            nextCall = loop.schedule(this::send, next.delay(), TimeUnit.NANOSECONDS);
        }
    }

    private void send() {
        if (stopped) {
            return;
        }
        if (!call.probe()) {
            keepOnly(call.replica());
        }
        calledAt = System.nanoTime();
        connection(call.replica()).call(uri(), call.patienceMs(), call.patienceMs() + REST_MS);
    }

    private void keepOnly(int replica) {
        for (int i = 0; i < connections.length; i++) {
            if (i != replica && connections[i] != null) {
                connections[i].disconnect();
                connections[i] = null;
            }
        }
    }

    private WatchClient connection(int replica) {
        if (connections[replica] == null) {
            connections[replica] = new WatchClient(loop, allocator, replicas.get(replica), UpdateJson.MAX_BYTES, new Ends(replica));
        }
        return connections[replica];
    }

    private String uri() {
        ConfigurationVersion after = asksForWhole ? ConfigurationVersion.NONE : receiver.currentVersion();
        String page = "";
        if (assembly.inProgress()) {
            after = lastPage;
            page = assembly.firstPageVersion().equals(ConfigurationVersion.NONE) ? "" : "&page_of=" + assembly.firstPageVersion();
        }
        return "/v1/configuration?" + identity + "&epoch=" + after.epoch() + "&after=" + after.number() + page + "&wait_ms="
            + call.waitMs() + receiver.reportParameters();
    }

    // ---- how calls end ----

    /** Hears how the calls to one replica end. */
    private final class Ends implements WatchClient.Listener {
        private final int replica;

        private Ends(int replica) {
            this.replica = replica;
        }

        @Override
        public void answered(FullHttpResponse response) {
            if (stopped || replica != call.replica()) {
                return;
            }
            switch (response.status().code()) {
                case OK -> read(ByteBufUtil.getBytes(response.content()));
                case SERVICE_UNAVAILABLE -> end(new Busy(retryAfter(response)), "is busy");
                default -> end(new Failed(), "answered " + response.status().code() + ": " + reason(response));
            }
        }

        @Override
        public void failed(String why, boolean turnedAway) {
            if (!stopped && replica == call.replica()) {
                end(new Failed(), why);
            }
        }
    }

    private static String reason(FullHttpResponse response) {
        String body = response.content().toString(StandardCharsets.UTF_8);
        return body.substring(0, Math.min(LONGEST_REASON, body.length()));
    }

    /** Seconds; 0 where it is not there or no number. A date, which the header may hold too, is not used by control processes. */
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
            end(new Failed(), "answered what is no update: " + e.getMessage());
            return;
        }
        if (receiver.currentVersion().isAfter(page.version())) {
            behind(page.version());
            return;
        }
        if (page.more() && !goesOn(page)) {
            end(new Failed(), "told a page that leads no further");
            return;
        }
        Update update;
        try {
            update = assembly.add(page);
        } catch (IllegalStateException e) {
            end(new Failed(), e.getMessage());
            return;
        }
        if (update == null) {
            lastPage = page.lastChange();
            end(new Answered(page.staleMs(), true), null);
        } else {
            take(update);
        }
    }

    /** Whether the page after this one will be another one. */
    private boolean goesOn(Update page) {
        return !page.entries().isEmpty() && (page.full() || !assembly.inProgress() || page.lastChange().isAfter(lastPage));
    }

    private void take(Update update) {
        switch (receiver.receive(update)) {
            case APPLIED, UNCHANGED -> {
                asksForWhole = false;
                end(new Answered(update.staleMs(), false), null);
            }
            case BEHIND -> behind(update.version());
            case GAP -> {
                asksForWhole = true;
                end(new Failed(), "told changes to a version that is not held");
            }
            default -> throw new IllegalStateException();
        }
    }

    private void behind(ConfigurationVersion version) {
        if (!toldBehind[call.replica()]) {
            toldBehind[call.replica()] = true;
            Log.line("configuration: " + name(call.replica()) + " is at " + version + ", older than " + receiver.currentVersion()
                + ", which is held on to");
        }
        end(new Behind(), null);
    }

    /** Goes on to the next call; {@code why}: what is wrong with this one, for people, null where nothing is to be said. */
    private void end(Outcome outcome, String why) {
        int replica = call.replica();
        boolean sound = outcome instanceof Answered;
        if (!sound) {
            assembly.clear();
            connections[replica].disconnect();
            if (failures == 0 && why != null) {
                Log.line("configuration: " + name(replica) + ": " + why);
            }
        } else if (failures > 0) {
            Log.line("configuration: " + name(replica) + " answers after " + failures + " failed calls");
        }
        toldBehind[replica] &= !sound;
        long now = System.nanoTime();
        Call next = selector.nextCall(now, outcome);
        failures = selector.failures();
        follow(outcome instanceof Answered answered && !answered.more() && !next.probe() ? spaced(now, next) : next);
    }

    private String name(int replica) {
        InetSocketAddress address = replicas.get(replica);
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private Call spaced(long now, Call next) {
        long left = TimeUnit.MILLISECONDS.toNanos(LEAST_INTERVAL_MS) - (now - calledAt);
        return left <= next.delay() ? next : new Call(next.replica(), left, next.waitMs(), next.probe());
    }
}
