package onyxpaddle.rpc;

import io.netty.channel.WriteBufferWaterMark;
import onyxpaddle.front.ListeningFront;
import onyxpaddle.node.Clock;
import onyxpaddle.socket.PollableChannel;

/**
 * The front for callers by MessagePack-RPC. The protocol has no word by which a callee says that it goes, so calls are
 * refused, as never run, before their connection closes.
 */
public final class RpcFront extends ListeningFront<CallerConnection> {
    private static final long SWEEP_MS = 100;
    private static final long MILLI = 1_000_000L;
    /** How long a front that a reload took away goes on before it refuses what comes. */
    private static final long RETIRED_FOR = 5_000 * MILLI;
    /** How long calls are refused rather than cut off: those that were on their way. */
    private static final long REFUSES_FOR = 300 * MILLI;
    private static final long HIGHEST_UNREAD = 4L << 20;

    final RpcDropCounter counts;
    RpcCallRouter calls;
    private long retiredAt;

    public RpcFront(SharedResources around, RpcDropCounter counts) {
        super(around, SWEEP_MS, new WriteBufferWaterMark(32 * 1024, 64 * 1024));
        this.counts = counts;
    }

    /** From now on calls are read by these procedures; those read before go on as they were. */
    public void use(RpcCallRouter next) {
        calls = next;
    }

    @Override
    public long maxCallerTimeout() {
        return calls.maxCallerTimeout();
    }

    @Override
    protected void begin(PollableChannel channel) {
        channel.pipeline().addLast(new CallerConnection(this, channel));
    }

    @Override
    protected CallerConnection evictionCandidate(CallerConnection newest) {
        // One without calls goes; what is taken is never given up for it.
        return connections().stream().filter(o -> o != newest && o.idle() && o.safeToClose()).findFirst().orElse(null);
    }

    @Override
    public void retire() {
        retiredAt = clock.now();
        super.retire();
    }

    /** A caller hears by its refused calls that this process goes; one that comes later should not come here. */
    @Override
    protected boolean closesListener(long now) {
        return state.ending();
    }

    // ---- what its connections ask ----

    Clock clock() {
        return clock;
    }

    /** Whether calls that come are turned away, as the front ends or the node is being emptied. */
    boolean refuses() {
        long now = clock.now();
        return retired() && now - retiredAt > RETIRED_FOR || state.refusesCalls(now);
    }

    /** Whether a connection that has been without calls since then closes now. */
    boolean ends(long idleSince, long now) {
        return retired() && now - retiredAt > RETIRED_FOR + REFUSES_FOR || state.closesBetweenCalls(idleSince, now);
    }

    /** The most bytes of answers that a caller may leave unread. */
    long mostUnread() {
        return Math.max(HIGHEST_UNREAD, calls.largest());
    }
}
