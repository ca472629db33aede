package onyxpaddle.http;

import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.util.LinkedHashSet;
import java.util.function.BooleanSupplier;
import onyxpaddle.front.ListeningFront;
import onyxpaddle.node.Clock;
import onyxpaddle.node.NodeEvents;
import onyxpaddle.node.SharedLimit;
import onyxpaddle.node.SocketBuffers;
import onyxpaddle.socket.PollableChannel;

/** The front for HTTP/1.1. Tracks idle and incomplete connections, and applies the drain rules of the node to them. */
public final class HttpFront extends ListeningFront<ClientConnection> implements HeadBudget {
    private static final int MAX_INITIAL_LINE_BYTES = 8 * 1024;
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final long SWEEP_MS = 250;
    /** Limit for idle connections once the front's listener has been removed. */
    private static final long RETIRED_IDLE_TIMEOUT_NANOS = 5_000_000_000L;

    /** Bounds the time of an eviction, as each poll is a system call. */
    private static final int MAX_EVICTION_POLLS = 16;

    RequestDialect dialect;
    private final SharedLimit.Share heads;
    private final BooleanSupplier ready;
    /** Connections that are receiving a request or closing, in the order in which they entered that state. */
    private final LinkedHashSet<ClientConnection> unfinished = new LinkedHashSet<>();
    /** Connections between requests, the longest idle first. */
    private final LinkedHashSet<ClientConnection> idle = new LinkedHashSet<>();
    /** Connections that hold a part of a head, the longest so first. */
    private final LinkedHashSet<ClientConnection> withPartOfHead = new LinkedHashSet<>();

    /** {@code dialect}: may be null if {@link #use} sets it before {@link #open}; {@code ready}: whether requests can be served. */
    public HttpFront(SharedResources around, RequestDialect dialect, BooleanSupplier ready) {
        super(around, SWEEP_MS, new WriteBufferWaterMark(16 * 1024, 32 * 1024));
        this.dialect = dialect;
        this.ready = ready;
        this.heads = around.budget().heads();
    }

    /** Sets the dialect for requests read from now on; those already read are not affected. */
    public void use(RequestDialect next) {
        dialect = next;
    }

    @Override
    public long maxCallerTimeout() {
        return dialect.maxCallerTimeout();
    }

    @Override
    protected void begin(PollableChannel channel) {
        RequestDecoder decoder = new RequestDecoder(new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES).setMaxHeaderSize(MAX_HEADER_BYTES).setMaxChunkSize(SocketBuffers.READ_SIZE));
        ClientConnection connection = new ClientConnection(this, channel, decoder);
        channel.pipeline().addLast(connection.rawByteHandler(), decoder, new HttpResponseEncoder(), connection);
    }

    @Override
    protected ClientConnection evictionCandidate(ClientConnection newest) {
        ClientConnection idlest = firstClosable(idle);
        return idlest != null ? idlest : firstClosable(unfinished);
    }

    /** The first of the oldest connections that can be closed without losing a request; null for none. */
    private static ClientConnection firstClosable(LinkedHashSet<ClientConnection> from) {
        int polls = 0;
        for (ClientConnection c : from) {
            if (c.waits()) {
                continue;
            }
            if (c.safeToClose()) {
                return c;
            }
            if (++polls >= MAX_EVICTION_POLLS) {
                return null;
            }
        }
        return null;
    }

    // ---- memory of heads ----

    /** Takes memory for a head, if need be from those that have held a part of one for longest; false if there is none. */
    @Override
    public boolean reserveHead(long bytes) {
        while (!heads.take(bytes)) {
            if (!giveUpOldestHead()) {
                return false;
            }
        }
        return true;
    }

    private boolean giveUpOldestHead() {
        long now = clock.now();
        return withPartOfHead.stream().filter(c -> c.canGiveUpHead(now)).findFirst().map(c -> {
            c.giveUpHead();
            return true;
        }).orElse(false);
    }

    @Override
    public void releaseHead(long bytes) {
        heads.giveBack(bytes);
    }

    /** Called when a connection has begun or ceased to hold a part of a head. */
    void headChanged(ClientConnection c) {
        if (c.holdsUndecodedHead()) {
            withPartOfHead.add(c);
        } else {
            withPartOfHead.remove(c);
        }
    }

    @Override
    protected void gone(ClientConnection c) {
        leaveState(c);
        withPartOfHead.remove(c);
    }

    private void leaveState(ClientConnection c) {
        idle.remove(c);
        unfinished.remove(c);
    }

    @Override
    public void close() {
        super.close();
        heads.leave();
    }

    void stateChanged(ClientConnection c, ClientConnection.State state) {
        leaveState(c);
        switch (state) {
            case IDLE -> idle.add(c);
            case RECEIVING, CLOSING -> unfinished.add(c);
            case WAITING -> { }
        }
    }

    // ---- state that connections query ----

    boolean ready() {
        return state.acceptsWork() && ready.getAsBoolean();
    }

    Clock clock() {
        return clock;
    }

    NodeEvents events() {
        return events;
    }

    long now() {
        return clock.now();
    }

    /** Whether a caller that waits for so many nanoseconds will get its answer before the node ends. */
    boolean canAnswerBeforeExit(long callerTimeout) {
        return state.canAnswerBeforeExit(callerTimeout, clock.now());
    }

    /** Whether a connection stays open after an answer that is sent now. */
    boolean keepsConnections() {
        return !retired() && state.keepsConnections(clock.now());
    }

    /** Whether requests that are not yet received whole are rejected, as the node is draining or ends. */
    boolean rejectsIncomplete() {
        return state.rejectsIncomplete(clock.now());
    }

    /** Whether a connection that has been idle since {@code since} is closed, as the node is draining or ends. */
    boolean closesIdle(long since, long now) {
        return state.closesIdle(since, now);
    }

    /** How long a connection may be idle; {@code hadRequest}: it has carried a request before. */
    long idleTimeout(boolean hadRequest) {
        long timeout = hadRequest ? dialect.idleTimeout() : dialect.firstRequestTimeout();
        return retired() ? Math.min(timeout, RETIRED_IDLE_TIMEOUT_NANOS) : timeout;
    }
}
