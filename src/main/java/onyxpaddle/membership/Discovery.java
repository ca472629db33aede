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
import onyxpaddle.node.Log;
import onyxpaddle.node.ServerList;
import onyxpaddle.watch.WatchClient;

/**
 * Keeps the list of servers up to date: one call at a time, each a watch from the version held, the next at once
 * after each answer so that the watch goes on. The waits are short, as what a stalled call has to tell counts as
 * told soon after its wait. Where lists are pushed it goes on by itself; where discovery is asked it calls when
 * the module subscribes, and tells it when that failed.
 */
public final class Discovery implements WatchClient.Listener {
    /** Some 10,000 servers, indented and with long names. It bounds what an answer without end can make the node hold. */
    private static final int LARGEST_ANSWER = 8 << 20;
    /** Between calls that tell nothing and come back at once; within the 200 ms that a watch goes on. */
    private static final int PAUSE_MS = 100;

    private final EventLoop loop;
    private final WatchClient calls;
    private final boolean asked;
    private final Consumer<ServerList> onList;
    private final Runnable onRefused;
    private Future<?> nextCall;
    private boolean calling;
    private boolean stopped;
    private long calledAt;
    private final ListWatch watch;

    /**
     * {@code asked}: discovery is one service that all nodes ask; {@code seq}: the version held; {@code holdsAny}: the node holds servers
     * now, so that a whole list without any is not believed.
     */
    public Discovery(EventLoop loop, ByteBufAllocator allocator, InetSocketAddress address, boolean asked, long seq, boolean holdsAny,
            Consumer<ServerList> onList, Runnable onRefused) {
        this.loop = loop;
        this.asked = asked;
        this.watch = new ListWatch(asked, seq, holdsAny, ThreadLocalRandom.current());
        this.onList = onList;
        this.onRefused = onRefused;
        calls = new WatchClient(loop, allocator, address, LARGEST_ANSWER, this);
    }

    public void start() {
        if (!asked) {
            call();
        }
    }

    /**
     * Starts in the place of another discovery. Its version numbers are its own, so the whole list is asked for, and
     * at once, also where the module asks: what it has to tell counts as told soon after the change.
     */
    public void startAnew() {
        watch.anew();
        call();
    }

    /** Ends it for good: no call is made, and no answer taken, after this. */
    public void stop() {
        stopped = true;
        calling = false;
        if (nextCall != null) {
            nextCall.cancel(false);
        }
        calls.disconnect();
    }

    /** The module asks for changes from now on. */
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
        String uri = "/v1/endpoints" + (watch.asksForAll() ? "" : "?after=" + watch.seq() + "&wait_ms=" + watch.waitMs());
        calls.call(uri, watch.patienceMs(), watch.wholeByMs());
    }

    /** Ends a call that brought nothing; what is held stays valid. {@code turnedAway}: discovery has too much to do. */
    @Override
    public void failed(String why, boolean turnedAway) {
        calling = false;
        calls.disconnect();
        if (watch.failures() == 0) {
            Log.line("discovery: " + why);
        }
        int pause = watch.failed(turnedAway);
        if (pause == ListWatch.MODULE) {
            onRefused.run();
        } else {
            later(pause);
        }
    }

    private void later(int millis) {
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
            watch.unreadable();
            failed("not a list", false);
            return;
        }
        int failures = watch.failures();
        String fault = watch.judge(roster.whole(), roster.seq(), roster.hosts().isEmpty());
        if (fault != null) {
            failed(fault, false);
            return;
        }
        if (failures > 0) {
            Log.line("discovery: answers again after " + failures + " failed calls");
        }
        onList.accept(roster);
        boolean idle = roster.hosts().isEmpty()
            && System.nanoTime() - calledAt < TimeUnit.MILLISECONDS.toNanos(PAUSE_MS);
        later(idle ? PAUSE_MS : 0);
    }
}
