package onyxpaddle.rpc;

import io.netty.channel.WriteBufferWaterMark;
import onyxpaddle.front.ListeningFront;
import onyxpaddle.node.Clock;
import onyxpaddle.node.NodeEvents;
import onyxpaddle.node.SharedLimit;
import onyxpaddle.socket.PollableChannel;

/**
 * The front for callers that use MessagePack-RPC. The protocol has no message that announces the end of a connection,
 * so before connections are closed, calls are refused with an error that says they never ran.
 */
public final class RpcFront extends ListeningFront<CallerConnection> {
    private static final long SWEEP_INTERVAL_MS = 100;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** How long a front that a reload removed still accepts calls. */
    private static final long RETIREMENT_GRACE = 5_000 * NANOS_PER_MILLI;
    /** How long calls are refused before connections are closed, for calls that were already on their way. */
    private static final long REFUSAL_PERIOD = 300 * NANOS_PER_MILLI;
    private static final long MIN_UNSENT_LIMIT = 4L << 20;

    final RpcDropCounter dropCounter;
    RpcCallRouter router;
    private final SharedLimit.Share pendingInput;
    private long retiredAt;

    public RpcFront(SharedResources around, RpcDropCounter dropCounter) {
        super(around, SWEEP_INTERVAL_MS, new WriteBufferWaterMark(32 * 1024, 64 * 1024));
        this.dropCounter = dropCounter;
        this.pendingInput = around.budget().heads();
    }

    /** Sets the router for subsequent calls. Calls that are in progress are not affected. */
    public void use(RpcCallRouter next) {
        router = next;
    }

    @Override
    public long maxCallerTimeout() {
        return router.maxCallerTimeout();
    }

    @Override
    protected void begin(PollableChannel channel) {
        channel.pipeline().addLast(new CallerConnection(this, channel));
    }

    @Override
    protected CallerConnection evictionCandidate(CallerConnection newest) {
        // Only a connection without calls: calls in progress are never sacrificed for a new connection.
        return connections().stream().filter(o -> o != newest && o.idle() && o.safeToClose()).findFirst().orElse(null);
    }

    @Override
    public void retire() {
        retiredAt = clock.now();
        super.retire();
    }

    /** Present callers learn from refused calls that this process is ending; new callers should not connect at all. */
    @Override
    protected boolean closesListener(long now) {
        return state.ending();
    }

    @Override
    public void close() {
        super.close();
        pendingInput.leave();
    }

    // ---- for connections ----

    /** The memory for what callers have sent that is not decoded yet; shared with the heads of HTTP requests. */
    SharedLimit.Share pendingInput() {
        return pendingInput;
    }

    NodeEvents events() {
        return events;
    }

    Clock clock() {
        return clock;
    }

    /** Whether new calls are refused because the front is retired or the node is draining or ending. */
    boolean refusesNewCalls() {
        long now = clock.now();
        return retired() && now - retiredAt > RETIREMENT_GRACE || state.refusesCalls(now);
    }

    /** Whether a connection that has had no calls since {@code idleSince} is to be closed now. */
    boolean closesIdle(long idleSince, long now) {
        return retired() && now - retiredAt > RETIREMENT_GRACE + REFUSAL_PERIOD || state.closesBetweenCalls(idleSince, now);
    }

    /** The most bytes of answers that may wait for a slow caller. */
    long maxUnsentBytes() {
        return Math.max(MIN_UNSENT_LIMIT, router.maxPayload());
    }
}
