package onyxpaddle.membership;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import onyxpaddle.BalancerApi.ServerState;
import onyxpaddle.membership.ListWatch.News;
import onyxpaddle.node.Log;
import onyxpaddle.node.ServerList;
import onyxpaddle.node.ServerListStatus;
import onyxpaddle.node.ServerListStatus.ReceivedList;
import onyxpaddle.watch.WatchClient;
import onyxpaddle.watch.WatchClient.Timeouts;

/**
 * Keeps the list of servers up to date by long polling: one call at a time, each a watch from the current version, and the next one
 * immediately after each answer. An answer that is late may go on beside the next call, and counts if it comes first; if it comes later,
 * it only takes servers out of use. Waits are short, because a change counts as delivered to the node soon after its wait even if the call
 * stalls. With an agent on each node it polls continuously; with a central discovery service it calls when the balancer
 * subscribes and reports failed calls to the balancer. What an answer changes is decided by the {@link ServerTable}.
 */
public final class Discovery {
    /** Enough for 10,000 servers with indentation and long names. Bounds the memory that an endless answer can use. */
    private static final int MAX_ANSWER = 8 << 20;

    /** Receives lists and failures, on the event loop. */
    public interface Listener {
        /**
         * Servers to put in force: all, or those that changed.
         *
         * @param current whether discovery's answer is in force as it is; otherwise the list only takes servers out of use
         */
        void received(ServerList list, boolean current);

        /** A central discovery cannot answer for now; the balancer decides when to subscribe again. */
        void refused();
    }

    /**
     * How long an answer that is late may go on beside further calls, in milliseconds: until the change in it would count as delivered
     * anyway. Guards against a discovery whose answers all take longer than a call's time-outs, so that none is ever read to its end.
     */
    private static final int PATIENCE_MS = 4_500;
    /** Number of late calls that go on; bounds the memory of their answers. */
    private static final int MAX_LATE_CALLS = 2;

    private final EventLoop loop;
    private final ByteBufAllocator allocator;
    private final InetSocketAddress address;
    private final ArrayDeque<Caller> lateCallers = new ArrayDeque<>(MAX_LATE_CALLS);
    private Caller caller;
    private final boolean central;
    private final ServerTable table;
    private final ServerListStatus status;
    private final Listener listener;
    private final ListWatch watch;
    private Future<?> nextCall;
    private boolean calling;
    private boolean stopped;
    private long calledAt;
    /** Number of calls made so far. */
    private long calls;
    /** The last call answered with a list or changes. */
    private long lastAnsweredCall;

    /**
     * {@code central}: discovery is one service for all nodes, not an agent on each; {@code table}: the servers in force, also those of an
     * earlier discovery; {@code status}: records what is received.
     */
    public Discovery(EventLoop loop, ByteBufAllocator allocator, InetSocketAddress address, boolean central, ServerTable table,
            ServerListStatus status, Listener listener) {
        this.loop = loop;
        this.central = central;
        this.table = table;
        this.status = status;
        this.listener = listener;
        watch = new ListWatch(central, ThreadLocalRandom.current());
        this.allocator = allocator;
        this.address = address;
        caller = new Caller();
    }

    public void start() {
        if (!central) {
            call();
        }
    }

    /**
     * Starts as the replacement of another discovery. Its version numbers are independent, so this requests the full list, and does so
     * immediately even if the balancer subscribes, because its list counts as delivered soon after the change of discovery.
     */
    public void restart() {
        table.discoveryReplaced();
        call();
    }

    /** Stops permanently: no further call is made and no further answer is processed. */
    public void stop() {
        stopped = true;
        endCalls(null);
    }

    /** Ends all calls but that of one caller, if any, and cancels the next one. */
    private void endCalls(Caller kept) {
        calling = false;
        if (nextCall != null) {
            nextCall.cancel(false);
        }
        if (caller != kept) {
            caller.client.disconnect();
        }
        lateCallers.forEach(late -> late.endUnless(kept));
        lateCallers.clear();
    }

    /** The balancer requests changes from now on. */
    public void subscribe() {
        if (!calling) {
            call();
        }
    }

    private void call() {
        if (stopped) {
            return;
        }
        calling = true;
        calledAt = System.nanoTime();
        String uri = "/v1/endpoints" + (table.needsWholeList() ? "" : "?after=" + table.version() + "&wait_ms=" + watch.waitMs());
        caller.call = ++calls;
        caller.client.call(uri, new Timeouts(watch.firstByteTimeoutMs(), watch.totalTimeoutMs(), PATIENCE_MS));
    }

    /** A connection to discovery and its call. */
    private final class Caller implements WatchClient.Listener {
        private final WatchClient client = new WatchClient(loop, allocator, address, MAX_ANSWER, this);
        /** The number of its call. */
        private long call;

        @Override
        public void failed(String reason, boolean refused) {
            if (!lateCallers.remove(this)) {
                callFailed(reason, refused);
            }
        }

        @Override
        public void late(String reason) {
            if (lateCallers.size() == MAX_LATE_CALLS) {
                lateCallers.poll().client.disconnect();
            }
            lateCallers.add(this);
            caller = new Caller();
            callFailed(reason, false);
        }

        @Override
        public void answered(FullHttpResponse response) {
            Discovery.this.answered(this, response);
        }

        private void endUnless(Caller kept) {
            if (this != kept) {
                client.disconnect();
            }
        }
    }

    /** Handles a call without an answer in time. {@code refused}: discovery is overloaded or down. */
    private void callFailed(String reason, boolean refused) {
        callEnded(reason);
        int pause = watch.backoffAfterFailure(refused);
        if (pause == ListWatch.BALANCER_DECIDES) {
            listener.refused();
        } else {
            scheduleCall(pause);
        }
    }

    private void callEnded(String failure) {
        calling = false;
        caller.client.disconnect();
        if (watch.failures() == 0) {
            Log.line("discovery: " + failure);
        }
    }

    private void scheduleCall(int millis) {
        calling = true;
        nextCall = loop.schedule(this::call, millis, TimeUnit.MILLISECONDS);
    }

    private void answered(Caller from, FullHttpResponse response) {
        boolean late = lateCallers.remove(from);
        ListUpdate update = null;
        String fault = null;
        if (response.status().code() != 200) {
            fault = "answered " + response.status().code();
        } else {
            try {
                update = RosterJson.parse(ByteBufUtil.getBytes(response.content()));
            } catch (IOException e) {
                unreadable(e.getMessage());
            }
        }
        if (update != null) {
            apply(update, from);
        } else if (late) {
            from.client.disconnect();
        } else if (fault != null) {
            callFailed(fault, true);
        } else {
            callEnded("the answer is not a valid list of servers");
            scheduleCall(watch.backoffAfterDoubt());
        }
    }

    private void unreadable(String reason) {
        table.answerUnreadable();
        status.unreadable(reason, System.nanoTime());
    }

    private void apply(ListUpdate update, Caller from) {
        long now = System.nanoTime();
        int ready = update.count(ServerState.READY);
        ReceivedList received = new ReceivedList(update.whole(), update.version(), table.version(), ready, update.hosts().size() - ready,
            update.invalid().size(), update.invalid().isEmpty() ? "" : update.invalid().get(0).toString());
        boolean overtaken = from.call < lastAnsweredCall;
        lastAnsweredCall = Math.max(lastAnsweredCall, from.call);
        ServerTable.Applied applied = overtaken ? table.applyOvertaken(update) : table.apply(update, now);
        status.received(applied.verdict(), received, now);
        listener.received(applied.list(), applied.current());
        boolean late = from != caller;
        if (late && !(applied.current() && applied.changed())) {
            // The call beside it was made later and knows better.
            from.client.disconnect();
        } else if (applied.current()) {
            endCalls(from);
            caller = from;
            accepted(news(applied, received), now);
        } else {
            callEnded("the answer is not current: " + applied.verdict().label());
            scheduleCall(watch.backoffAfterDoubt());
        }
    }

    private static News news(ServerTable.Applied applied, ReceivedList received) {
        return applied.changed() ? News.CHANGE : received.version() == received.heldVersion() ? News.NONE : News.VERSION_ONLY;
    }

    private void accepted(News news, long now) {
        if (watch.failures() > 0) {
            Log.line("discovery: answers again after " + watch.failures() + " failed calls");
        }
        int pause = watch.accepted(news, TimeUnit.NANOSECONDS.toMillis(now - calledAt));
        scheduleCall(table.needsWholeList() ? watch.backoffAfterDoubt() : pause);
    }
}
