package onyxpaddle.membership;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import onyxpaddle.BalancerApi.ServerState;
import onyxpaddle.node.Log;
import onyxpaddle.node.ServerList;
import onyxpaddle.node.ServerListStatus;
import onyxpaddle.node.ServerListStatus.ReceivedList;
import onyxpaddle.node.ServerListStatus.Verdict;
import onyxpaddle.watch.WatchClient;

/**
 * Keeps the list of servers up to date by long polling: one call at a time, each a watch from the current version, and the next one
 * immediately after each answer. Waits are short, because a change counts as delivered to the node soon after its wait even if the
 * call stalls. With an agent on each node it polls continuously; with a central discovery service it calls when the balancer
 * subscribes and reports failed calls to the balancer.
 */
public final class Discovery implements WatchClient.Listener {
    /** Enough for 10,000 servers with indentation and long names. Bounds the memory that an endless answer can use. */
    private static final int MAX_ANSWER = 8 << 20;
    /** Pause after an empty answer that came without a wait; less than the 200 ms within which a watch must be renewed. */
    private static final int PAUSE_MS = 100;

    private final EventLoop loop;
    private final WatchClient client;
    private final boolean central;
    private final Consumer<ServerList> onList;
    private final Runnable onFailure;
    private Future<?> nextCall;
    private boolean calling;
    private boolean stopped;
    private long calledAt;
    private final ListWatch watch;
    private final ServerListStatus status;

    /**
     * {@code central}: discovery is one service for all nodes, not an agent on each; {@code seq}: the current version;
     * {@code hasServers}: the node has servers now, so that an empty full list is rejected; {@code status}: records what is received.
     */
    public Discovery(EventLoop loop, ByteBufAllocator allocator, InetSocketAddress address, boolean central, long seq, boolean hasServers,
            ServerListStatus status, Consumer<ServerList> onList, Runnable onFailure) {
        this.loop = loop;
        this.central = central;
        this.watch = new ListWatch(central, seq, hasServers, ThreadLocalRandom.current());
        this.status = status;
        this.onList = onList;
        this.onFailure = onFailure;
        client = new WatchClient(loop, allocator, address, MAX_ANSWER, this);
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
        watch.resetVersion();
        call();
    }

    /** Stops permanently: no further call is made and no further answer is processed. */
    public void stop() {
        stopped = true;
        calling = false;
        if (nextCall != null) {
            nextCall.cancel(false);
        }
        client.disconnect();
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
        String uri = "/v1/endpoints" + (watch.needsFullList() ? "" : "?after=" + watch.seq() + "&wait_ms=" + watch.waitMs());
        client.call(uri, watch.firstByteTimeoutMs(), watch.totalTimeoutMs());
    }

    /** Handles a call without a usable answer; the current list stays valid. {@code refused}: discovery is overloaded or down. */
    @Override
    public void failed(String reason, boolean refused) {
        calling = false;
        client.disconnect();
        if (watch.failures() == 0) {
            Log.line("discovery: " + reason);
        }
        int pause = watch.backoffAfterFailure(refused);
        if (pause == ListWatch.BALANCER_DECIDES) {
            onFailure.run();
        } else {
            scheduleCall(pause);
        }
    }

    private void scheduleCall(int millis) {
        calling = true;
        nextCall = loop.schedule(this::call, millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void answered(FullHttpResponse response) {
        if (response.status().code() != 200) {
            failed("answered " + response.status().code(), true);
            return;
        }
        ServerList roster;
        try {
            roster = RosterJson.parse(ByteBufUtil.getBytes(response.content()));
        } catch (IOException e) {
            watch.markUnreadable();
            status.unreadable(e.getMessage(), System.nanoTime());
            failed("the answer is not a valid list of servers", false);
            return;
        }
        int failures = watch.failures();
        long held = watch.seq();
        String fault = watch.accept(roster.whole(), roster.seq(), roster.hosts().isEmpty());
        int ready = (int) roster.hosts().stream().filter(h -> h.entry().state() == ServerState.READY).count();
        status.received(fault == null ? Verdict.CURRENT : !roster.whole() ? Verdict.UNKNOWN_BASE
            : roster.hosts().isEmpty() ? Verdict.EMPTY_LIST : Verdict.OLDER_LIST,
            new ReceivedList(roster.whole(), roster.seq(), held, ready, roster.hosts().size() - ready, 0), System.nanoTime());
        if (fault != null) {
            failed(fault, false);
            return;
        }
        if (failures > 0) {
            Log.line("discovery: answers again after " + failures + " failed calls");
        }
        onList.accept(roster);
        boolean returnedEarly = roster.hosts().isEmpty()
            && System.nanoTime() - calledAt < TimeUnit.MILLISECONDS.toNanos(PAUSE_MS);
        scheduleCall(returnedEarly ? PAUSE_MS : 0);
    }
}
