package onyxpaddle.rpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SingleThreadEventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import onyxpaddle.front.FrontConnection;
import onyxpaddle.node.Answer;
import onyxpaddle.node.AttemptAdmission;
import onyxpaddle.node.Body;
import onyxpaddle.node.Caller;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.Exchange;
import onyxpaddle.node.Log;
import onyxpaddle.node.NodeEvent;
import onyxpaddle.node.Refusal;
import onyxpaddle.node.RequestCounts;
import onyxpaddle.node.SharedLimit;
import onyxpaddle.rpc.NodeError.Code;
import onyxpaddle.rpc.RpcCallRouter.RoutedCall;
import onyxpaddle.rpc.RpcDropCounter.Dropped;
import onyxpaddle.socket.PollableChannel;
import onyxpaddle.socket.ReadPause;

/**
 * The connection of one caller, with many calls in progress whose answers are sent in the order in which they become
 * available. While the limit of open calls is reached, or it is not known that the caller is still there, further calls wait
 * undecoded, and reading goes on, as only that shows that the caller closes. If more wait than may, the oldest are refused; if
 * the caller does not read its answers either, reading pauses. Input that is not MessagePack-RPC ends the connection once the calls accepted before have been answered.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements FrameSink, FrontConnection {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    /** A frame must be complete within this time, plus an allowance per byte. The values are the same as for HTTP. */
    private static final long FRAME_TIMEOUT = 2_400_000_000L;
    private static final long FRAME_TIMEOUT_PER_BYTE = NANOS_PER_SECOND / 64_000;
    private static final long UNSENT_TIMEOUT = 5 * NANOS_PER_SECOND;
    private static final long LINGER = NANOS_PER_SECOND;
    /** Calls of one connection that are decoded before other connections have their turn. */
    private static final int CALLS_PER_TURN = 64;
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;
    /**
     * Parameters of up to this multiple of the size limit are read to their end, so that the call can be answered
     * with an error. Beyond that the connection is closed.
     */
    private static final int OVERSIZE_FACTOR = 4;

    private final RpcFront front;
    private final PollableChannel channel;
    private final FrameDecoder decoder;
    private final Map<Long, OpenCall> openCalls = new HashMap<>();
    private int openNotifications;
    private final PendingInput pendingInput;
    /** A time before which the input that is being decoded did not arrive. */
    private long inputArrivedAt;
    private boolean reading;
    private boolean readQueued;
    private boolean callerCheckScheduled;
    private int callsThisTurn;
    /** Replies have been written and not flushed. */
    private boolean unflushed;
    /** Calls refused since the last end of a read, as more waited than may. */
    private int excessCalls;
    /** No further calls are read. Input is discarded, and the connection closes once the open calls have been answered. */
    private boolean closing;
    private boolean outputShutdown;
    private long discardedBytes;
    private long idleSince;
    private long frameSince = -1;
    private int unsentAnswers;
    private long unsentBytes;
    private long unsentSince;
    /** Why it closes, unless its caller has closed it. */
    private NodeEvent closeReason = NodeEvent.CLIENT_LEFT;
    /** The call whose parameters are being read; null while parameters are to be ignored. */
    private OpenCall receiving;

    /** A call whose head has been read; receives the answer of the exchange. */
    private final class OpenCall implements Caller {
        private final long msgid;
        private final RoutedCall routed;
        private final Exchange exchange;
        private NodeError refusal;

        private OpenCall(long msgid, RoutedCall routed) {
            this.msgid = msgid;
            this.routed = routed;
            exchange = new Exchange(routed.terms(), routed.head(), new Body(routed.target().memory(), -1,
                routed.target().maxPayload() + 5), this, routed.head().notification() ? 1 : Integer.MAX_VALUE);
        }

        @Override
        public boolean left() {
            return channel.isEnded();
        }

        @Override
        public boolean mayHaveLeft() {
            return channel.mayHideEnd();
        }

        @Override
        public void served(Answer answer) {
            if (msgid == NOTIFICATION) {
                openNotifications--;
                resumeReading();
            } else {
                sendAnswer(this, answer.body().whole());
            }
        }

        @Override
        public void refused(Refusal refusal, long retryAfter, Answer serverAnswer) {
            long millis = retryAfter == 0 ? 0 : Math.max(1, retryAfter / 1_000_000L);
            finishWithError(NodeError.of(refusal, millis), serverAnswer);
        }

        @Override
        public void failed(boolean late, Answer serverAnswer) {
            finishWithError(NodeError.of(late ? Code.LATE : Code.FAILED), serverAnswer);
        }

        private void finishWithError(NodeError error, Answer serverAnswer) {
            if (msgid == NOTIFICATION) {
                openNotifications--;
                front.dropCounter.add(Dropped.NOTIFICATION, front.clock().now(), routed.head().method() + ": " + error.message());
                resumeReading();
            } else if (serverAnswer != null) {
                sendAnswer(this, serverAnswer.body().whole());
            } else {
                sendAnswer(this, encodeError(error));
            }
        }
    }

    CallerConnection(RpcFront front, PollableChannel channel) {
        this.front = front;
        this.channel = channel;
        pendingInput = new PendingInput(front.pendingInput());
        decoder = new FrameDecoder(FrameLimits.forPayload(OVERSIZE_FACTOR * front.router.maxPayload()), this);
        idleSince = front.clock().now();
    }

    boolean idle() {
        return !waits() && pendingInput.isEmpty();
    }

    @Override
    public boolean uses(Dispatcher pool) {
        // Notifications are only counted, so while one is open every pool must be assumed to be in use.
        return openNotifications > 0 || receiving != null && receiving.routed.target().pool() == pool
            || openCalls.values().stream().anyMatch(c -> c.routed.target().pool() == pool);
    }

    @Override
    public boolean waits() {
        return openNotifications > 0 || !openCalls.isEmpty() || unsentAnswers > 0;
    }

    @Override
    public boolean safeToClose() {
        return idle() && (closing || !decoder.midFrame() && channel.poll() != PollableChannel.PollResult.BYTES);
    }

    @Override
    public void close(NodeEvent reason) {
        closeReason = reason;
        channel.close();
    }

    // ---- reading ----

    @Override
    public void channelActive(ChannelHandlerContext context) {
        front.opened(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf in = (ByteBuf) message;
        if (closing) {
            discardedBytes += in.readableBytes();
            in.release();
            if (discardedBytes > MAX_DISCARDED_BYTES) {
                close(NodeEvent.CLIENT_LAST_ANSWER);
            }
            return;
        }
        pendingInput.add(in, channel.arrivalBound());
        read();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        // Refusals have no other bound on their rate, and must not keep other connections waiting.
        channel.decoded(excessCalls);
        excessCalls = 0;
    }

    private boolean hasMaxOpenCalls() {
        return openCalls.size() + openNotifications >= front.router.maxOpenCalls;
    }

    /** Whether a further call may be decoded: to be handed to its pool, or only to be refused. */
    private boolean decodesCalls() {
        boolean admits = !hasMaxOpenCalls() && !channel.mayHideEnd();
        return channel.isWritable() && (admits || front.refusesNewCalls() || pendingInput.overflows());
    }

    /** Whether other connections have their turn before further calls are decoded. */
    private boolean tookTurn() {
        return callsThisTurn >= CALLS_PER_TURN && !pendingInput.overflows();
    }

    /** Whether the call that is being read can't wait, as more waits than may, nor be handed to its pool. */
    private boolean isExcess() {
        return hasMaxOpenCalls() || channel.mayHideEnd() && pendingInput.overflows();
    }

    private boolean hasInput() {
        return !closing && !pendingInput.isEmpty() && (decoder.midFrame() || decodesCalls());
    }

    /** Decodes what waits, up to the connection's part of a turn of the event loop. */
    private void read() {
        if (reading || channel.isEnded()) {
            return;
        }
        reading = true;
        callsThisTurn = 0;
        try {
            while (hasInput() && !tookTurn()) {
                inputArrivedAt = pendingInput.arrivedAt();
                decoder.feed(pendingInput.next());
                pendingInput.dropDecoded();
            }
            pendingInput.compact();
            frameSince = !decoder.midFrame() ? -1 : frameSince < 0 ? front.clock().now() : frameSince;
        } catch (FormatException e) {
            front.dropCounter.add(Dropped.MALFORMED, front.clock().now(), "caller " + channel.remoteAddress() + ": " + e.getMessage());
            closeAfterAnswers();
        } finally {
            reading = false;
        }
        if (unflushed) {
            unflushed = false;
            channel.flush();
        }
        // A closing connection discards its input. Otherwise reading stops while too much is pending, so that TCP flow
        // control reaches the caller.
        channel.reading().set(ReadPause.BACK_PRESSURE, closing || !pendingInput.overflows());
        if (hasInput()) {
            readInNextTurn();
        } else if (!pendingInput.isEmpty() && channel.mayHideEnd()) {
            readAfterCallerCheck();
        }
    }

    private void readInNextTurn() {
        if (!readQueued) {
            readQueued = true;
            loop().executeAfterEventLoopIteration(() -> loop().execute(() -> {
                readQueued = false;
                read();
            }));
        }
    }

    private void readAfterCallerCheck() {
        if (!callerCheckScheduled) {
            callerCheckScheduled = true;
            loop().schedule(() -> {
                callerCheckScheduled = false;
                read();
            }, AttemptAdmission.CALLER_CHECK_MS, TimeUnit.MILLISECONDS);
        }
    }

    private SingleThreadEventLoop loop() {
        return (SingleThreadEventLoop) channel.eventLoop();
    }

    /** Processes pending input once there is room. */
    private void resumeReading() {
        if (!reading && !pendingInput.isEmpty() && !closing) {
            readInNextTurn();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (channel.isWritable()) {
            resumeReading();
        }
    }

    // ---- calls ----

    @Override
    public void call(long msgid, String method, int params, Envelope envelope) throws FormatException {
        receiving = null;
        callsThisTurn++;
        if (msgid != NOTIFICATION && openCalls.containsKey(msgid)) {
            // The caller could not tell which of the two calls an answer belongs to.
            throw new FormatException("msgid " + msgid + " is already in use");
        }
        boolean notification = msgid == NOTIFICATION;
        RoutedCall routed = front.router.route(method, params, notification, envelope,
            channel.remoteAddress().getAddress().getHostAddress());
        if (routed == null) {
            refuse(msgid, method, NodeError.of(Code.NO_METHOD));
        } else if (front.refusesNewCalls() || front.nearConnectionLimit()) {
            routed.target().pool().countResult(routed.terms(), RequestCounts.RequestResult.BUSY);
            front.events().count(front.refusesNewCalls() ? NodeEvent.REFUSED_NODE_ENDS : NodeEvent.REFUSED_CONNECTION_LIMIT);
            refuse(msgid, method, NodeError.of(Code.REFUSED));
        } else if (isExcess()) {
            excessCalls++;
            routed.target().pool().countResult(routed.terms(), RequestCounts.RequestResult.BUSY);
            front.events().count(NodeEvent.REFUSED_PIPELINED);
            refuse(msgid, method, NodeError.of(Code.REFUSED));
        } else {
            receiving = new OpenCall(msgid, routed);
            ByteBuf head = Unpooled.buffer(5);
            MsgPackWriter.writeArrayHeader(head, params);
            payload(head);
        }
    }

    @Override
    public void reply(long msgid) throws FormatException {
        throw new FormatException("unexpected reply from a caller");
    }

    @Override
    public void payload(ByteBuf bytes) {
        OpenCall call = receiving;
        if (call == null || call.refusal != null) {
            return;
        }
        int more = bytes.readableBytes();
        if (!call.exchange.body.add(bytes)) {
            // Nothing was sent to a server, so the caller may retry once memory is available.
            boolean large = call.exchange.body.size() + more > call.routed.target().maxPayload();
            call.refusal = NodeError.of(large ? Code.TOO_LARGE : Code.REFUSED);
            call.exchange.body.release();
        }
    }

    @Override
    public void errorEnded() {
        throw new IllegalStateException("no reply is being read");
    }

    @Override
    public boolean end() {
        OpenCall call = receiving;
        receiving = null;
        frameSince = -1;
        if (call != null) {
            if (call.refusal != null) {
                if (call.refusal.code() == Code.REFUSED) {
                    front.events().count(NodeEvent.REFUSED_NO_MEMORY);
                }
                call.routed.target().pool().countResult(call.routed.terms(),
                    call.refusal.code() == Code.REFUSED ? RequestCounts.RequestResult.BUSY : RequestCounts.RequestResult.FAILURE);
                refuse(call.msgid, call.routed.head().method(), call.refusal);
            } else {
                if (call.msgid == NOTIFICATION) {
                    openNotifications++;
                } else {
                    openCalls.put(call.msgid, call);
                }
                call.routed.target().pool().arrived(call.exchange, inputArrivedAt);
            }
        }
        idleSince = front.clock().now();
        return !closing && decodesCalls() && !tookTurn();
    }

    /** Answers a call that was not accepted. */
    private void refuse(long msgid, String method, NodeError error) {
        if (msgid == NOTIFICATION) {
            front.dropCounter.add(Dropped.NOTIFICATION, front.clock().now(), method + ": " + error.message());
        } else {
            writeReply(msgid, encodeError(error));
        }
    }

    // ---- answers ----

    private static ByteBuf encodeError(NodeError error) {
        ByteBuf body = Unpooled.buffer(128);
        error.write(body);
        MsgPackWriter.writeNil(body);
        return body;
    }

    private void sendAnswer(OpenCall call, ByteBuf body) {
        openCalls.remove(call.msgid);
        // The answer occupies memory until the caller reads it, which may take long.
        SharedLimit.Share share = call.routed.target().memory();
        long size = body.readableBytes();
        share.forceTake(size);
        writeReply(call.msgid, body).addListener(f -> share.giveBack(size));
        idleSince = front.clock().now();
        resumeReading();
    }

    private ChannelFuture writeReply(long msgid, ByteBuf body) {
        ByteBuf head = channel.alloc().buffer(16);
        MsgPackWriter.writeArrayHeader(head, 4);
        MsgPackWriter.writeUnsigned(head, 1);
        MsgPackWriter.writeUnsigned(head, msgid);
        long bytes = head.readableBytes() + body.readableBytes();
        if (unsentAnswers++ == 0) {
            unsentSince = front.clock().now();
        }
        unsentBytes += bytes;
        ChannelFuture written = channel.write(Unpooled.wrappedBuffer(head, body)).addListener(f -> {
            unsentAnswers--;
            unsentBytes -= bytes;
            unsentSince = front.clock().now();
        });
        flush();
        if (unsentBytes > front.maxUnsentBytes()) {
            disconnectSlowReader();
        } else if (closing) {
            shutdownOutputWhenDone();
        }
        return written;
    }

    /** Flushes at once, or, as refusals are many at a time, when no more input is decoded. */
    private void flush() {
        if (reading) {
            unflushed = true;
        } else {
            channel.flush();
        }
    }

    private void disconnectSlowReader() {
        front.dropCounter.add(Dropped.SLOW_READER, front.clock().now(),
            "caller " + channel.remoteAddress() + ": " + unsentBytes + " bytes unsent");
        close(NodeEvent.CLIENT_SLOW_READER);
    }

    // ---- closing ----

    /** Reads no further calls, answers the open ones, and closes the connection. */
    private void closeAfterAnswers() {
        closing = true;
        frameSince = -1;
        if (receiving != null) {
            receiving.exchange.body.release();
            receiving = null;
        }
        pendingInput.clear();
        channel.reading().resumeAll();
        shutdownOutputWhenDone();
    }

    private void shutdownOutputWhenDone() {
        if (!outputShutdown && openCalls.isEmpty()) {
            outputShutdown = true;
            idleSince = front.clock().now();
            // Closing with unread input would reset the connection and lose answers that the caller has not read.
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> channel.shutdownOutput());
        }
    }

    @Override
    public void compensateStall(long span, long now) {
        idleSince = Math.min(now, idleSince + span);
        unsentSince = Math.min(now, unsentSince + span);
        frameSince = frameSince < 0 ? -1 : Math.min(now, frameSince + span);
    }

    @Override
    public void sweep(long now) {
        if (front.refusesNewCalls()) {
            resumeReading();
        }
        if (unsentAnswers > 0 && now - unsentSince > UNSENT_TIMEOUT) {
            disconnectSlowReader();
        } else if (closing) {
            if (outputShutdown && unsentAnswers == 0 && now - idleSince > LINGER) {
                close(NodeEvent.CLIENT_LAST_ANSWER);
            }
        } else if (frameSince >= 0 && now - frameSince > FRAME_TIMEOUT + front.router.maxPayload() * FRAME_TIMEOUT_PER_BYTE) {
            front.dropCounter.add(Dropped.MALFORMED, now, "caller " + channel.remoteAddress() + ": frame not complete within the timeout");
            closeAfterAnswers();
        } else if (idle() && (front.closesIdle(idleSince, now) || now - idleSince > front.router.idleTimeout) && safeToClose()) {
            closeAfterAnswers();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        front.events().count(closing ? NodeEvent.CLIENT_LAST_ANSWER : closeReason);
        closing = true;
        front.closed(this);
        pendingInput.clear();
        if (receiving != null) {
            receiving.exchange.body.release();
            receiving = null;
        }
        List<OpenCall> remaining = List.copyOf(openCalls.values());
        openCalls.clear();
        remaining.forEach(c -> c.routed.target().pool().clientGone(c.exchange));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            Log.failure("connection from a caller", cause);
        }
        channel.close();
    }
}
