package onyxpaddle.http;

import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.util.LinkedHashSet;
import java.util.function.BooleanSupplier;
import onyxpaddle.front.ListeningFront;
import onyxpaddle.node.Clock;
import onyxpaddle.node.SocketBuffers;
import onyxpaddle.socket.PollableChannel;

/** The front for HTTP/1.1: which of its connections are idle, and what they are told as the node empties. */
public final class HttpFront extends ListeningFront<ClientConnection> {
    private static final int LONGEST_LINE = 8 * 1024;
    private static final int LONGEST_HEAD = 16 * 1024;
    private static final long SWEEP_MS = 250;
    /** Idle connections of a front that is gone for its clients. */
    private static final long RETIRED_IDLE = 5_000_000_000L;

    RequestDialect dialect;
    private final BooleanSupplier ready;
    /** Connections whose request is not whole, or whose last answer is given, the longest so first. */
    private final LinkedHashSet<ClientConnection> unfinished = new LinkedHashSet<>();
    /** Connections between requests, the one that has been so for the longest first. */
    private final LinkedHashSet<ClientConnection> idle = new LinkedHashSet<>();

    /** {@code dialect}: null where {@link #use} gives it before {@link #open}; {@code ready}: whether requests can be served. */
    public HttpFront(Surroundings around, RequestDialect dialect, BooleanSupplier ready) {
        super(around, SWEEP_MS, new WriteBufferWaterMark(16 * 1024, 32 * 1024));
        this.dialect = dialect;
        this.ready = ready;
    }

    /** From now on requests are read by this dialect; those read before go on as they were. */
    public void use(RequestDialect next) {
        dialect = next;
    }

    @Override
    public long maxCallerTimeout() {
        return dialect.maxCallerTimeout();
    }

    @Override
    protected void begin(PollableChannel channel) {
        ClientConnection connection = new ClientConnection(this, channel);
        // Not HttpServerCodec: it breaks the connection off where much is sent ahead, and what is taken with it.
        channel.pipeline().addLast(connection.byteWatch(), new HttpRequestDecoder(new HttpDecoderConfig()
            .setMaxInitialLineLength(LONGEST_LINE).setMaxHeaderSize(LONGEST_HEAD)
            .setMaxChunkSize(SocketBuffers.READ_SIZE)), new HttpResponseEncoder(), connection);
    }

    @Override
    protected ClientConnection evictionCandidate(ClientConnection newest) {
        ClientConnection between = firstQuiet(idle);
        return between != null ? between : firstQuiet(unfinished);
    }

    /** Nothing that is taken, or that its client has sent, is given up for another. */
    private static ClientConnection firstQuiet(LinkedHashSet<ClientConnection> from) {
        for (ClientConnection c : from) {
            if (c.safeToClose()) {
                return c;
            }
        }
        return null;
    }

    @Override
    protected void gone(ClientConnection c) {
        idle.remove(c);
        unfinished.remove(c);
    }

    void entered(ClientConnection c, ClientConnection.State state) {
        gone(c);
        switch (state) {
            case IDLE -> idle.add(c);
            case RECEIVING, CLOSING -> unfinished.add(c);
            case WAITING -> { }
        }
    }

    // ---- what its connections ask ----

    boolean ready() {
        return state.acceptsWork() && ready.getAsBoolean();
    }

    Clock clock() {
        return clock;
    }

    long now() {
        return clock.now();
    }

    /** Whether a caller with so much callerTimeout has its answer before the node ends. */
    boolean canAnswerBeforeExit(long callerTimeout) {
        return state.canAnswerBeforeExit(callerTimeout, clock.now());
    }

    /** Whether the answer that is given now leaves its connection open. */
    boolean keepsConnections() {
        return !retired() && state.keepsConnections(clock.now());
    }

    /** Whether a request that has not come whole is turned away, as the node is being emptied or ends. */
    boolean rejectsIncomplete() {
        return state.rejectsIncomplete(clock.now());
    }

    /** Whether a connection that has been between requests since then is closed, as the node is being emptied. */
    boolean closesIdle(long since, long now) {
        return state.closesIdle(since, now);
    }

    /** How long a connection may stay open between requests; {@code asked}: it has asked for something before. */
    long idleTimeout(boolean asked) {
        long longest = asked ? dialect.idleTimeout() : dialect.firstRequestTimeout();
        return retired() ? Math.min(longest, RETIRED_IDLE) : longest;
    }
}
