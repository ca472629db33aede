package onyxpaddle.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import onyxpaddle.front.FrontConnection;
import onyxpaddle.node.Answer;
import onyxpaddle.node.AnswerSink;
import onyxpaddle.node.Caller;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.Exchange;
import onyxpaddle.node.Log;
import onyxpaddle.node.Metadata;
import onyxpaddle.node.NodeEvent;
import onyxpaddle.node.Refusal;
import onyxpaddle.node.RequestCounts;
import onyxpaddle.node.SocketBuffers;
import onyxpaddle.socket.PollableChannel;
import onyxpaddle.socket.ReadPause;

/**
 * One client connection. Requests are processed one at a time, each with one answer; a bounded number of pipelined ones is
 * queued. A body is buffered whole if it is small enough and streamed otherwise, see {@link IncomingBody}. After a
 * protocol error the client gets an error status and the connection is closed, as the start of the next request is unknown.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements Caller, FrontConnection {
    private static final long SECOND = 1_000_000_000L;
    /**
     * Time limit for receiving a request, from its first byte, or from the accept for the first one. Clients are allowed
     * 2 s for a head and send 64 KiB at 64 kB/s; no client may be left without an answer for 3 s.
     */
    private static final long REQUEST_TIMEOUT_NANOS = 2_400_000_000L;
    /** How long a client may read nothing of an answer, buffered or streamed. */
    private static final long UNREAD_TIMEOUT_NANOS = 5 * SECOND;
    private static final long STREAMED_UNREAD_TIMEOUT_NANOS = 60 * SECOND;
    /** Lingering close: input is discarded for so long after the last answer, as closing with unread input resets the connection. */
    private static final long LINGER_NANOS = SECOND;
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;
    /** Bound on the queued parts that one connection processes before others have their turn. */
    private static final int MAX_PARTS_PER_TURN = 32;
    private static final long NEXT_TURN_MS = 1;
    /** How long a client that floods is not read, after each read. */
    private static final long FLOOD_PAUSE_MS = 50;
    /** How long an incomplete head is not given up for others. */
    private static final long HEAD_PROTECTION_NANOS = SECOND / 4;

    enum State {
        /** Between requests. */
        IDLE,
        /** A request has been received in part. */
        RECEIVING,
        /** A request has been received whole and has no answer yet. */
        WAITING,
        /** The last answer has been written; further input is discarded until the client closes. */
        CLOSING
    }

    private final HttpFront front;
    private final PollableChannel channel;
    private final RequestDecoder decoder;
    private final PipelinedRequests pipelined;
    private boolean processesPipelined;
    /** How long the part that is being handled waited behind other requests. */
    private long queuedNanos;
    private final HeadMemory headMemory;
    /** The head of the current request has been read, and the request has no answer. */
    private boolean headRead;
    /** A part of a request was decoded from the bytes that are being read. */
    private boolean decodedPart;
    /** Reading pauses for a moment, as the client floods. */
    private boolean pausesFlood;
    /** What follows the current request is not read any more, as there was no memory for it. */
    private boolean dropsInput;
    private State state = State.IDLE;
    private long stateSince;
    private long discarded;
    private boolean hadRequest;
    /** The current request asks whether the node is ready, and is answered by the node itself. */
    private boolean readinessCheck;
    /** The current request is a HEAD: its answer has no body, whatever the headers say. */
    private boolean headOnly;
    /** The body being received; null before and after. */
    private IncomingBody incoming;
    /** The request that waits for its answer; null for none. */
    private Exchange exchange;
    /** The answer being streamed to the client; null for none. */
    private StreamedAnswer streamed;
    /** At least one of the answers whose writes are pending was streamed. */
    private boolean unreadStreamed;
    /** The current request as read from its head; null before that, if the head was rejected, and for a readiness check. */
    private RoutedRequest routed;
    private boolean keepAlive;
    private HttpVersion version = HttpVersion.HTTP_1_1;
    private long lastWriteProgress;
    private int pendingWrites;
    /** Why it closes, unless its client has closed it. */
    private NodeEvent closeReason = NodeEvent.CLIENT_LEFT;

    ClientConnection(HttpFront front, PollableChannel channel, RequestDecoder decoder) {
        this.front = front;
        this.channel = channel;
        this.decoder = decoder;
        this.stateSince = front.now();
        this.pipelined = new PipelinedRequests(front);
        this.headMemory = new HeadMemory(front);
    }

    /** Sees bytes before the decoder: notices the first byte of a request and discards input after the last answer. */
    ChannelHandler rawByteHandler() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                ByteBuf bytes = (ByteBuf) message;
                if (state == State.CLOSING || dropsInput) {
                    discard(bytes);
                    return;
                }
                if (state == State.IDLE) {
                    enter(State.RECEIVING);
                }
                int count = bytes.readableBytes();
                // What the decoder keeps of it would pin the whole read buffer.
                ByteBuf kept = SocketBuffers.kept(bytes, channel.alloc());
                bytes.release();
                decodedPart = false;
                if (incoming != null && channel.tookTurns()) {
                    incoming.readingResumed();
                }
                context.fireChannelRead(kept);
                countUndecoded(count);
            }
        };
    }

    private void discard(ByteBuf bytes) {
        discarded += bytes.readableBytes();
        bytes.release();
        if (state == State.CLOSING && discarded > MAX_DISCARDED_BYTES) {
            // Only stops reading: the client keeps the rest of the linger time to read its last answer.
            channel.reading().pause(ReadPause.DISCARDED);
        }
    }

    /** Accounts for bytes that were read last, as far as the decoder keeps them. */
    private void countUndecoded(int count) {
        if (state == State.CLOSING) {
            return;
        }
        int fields = decoder.incompleteFields();
        boolean held = decodedPart ? headMemory.setUndecoded(decoder.bytesBehindLastPart(), fields) : headMemory.addUndecoded(count, fields);
        if (state == State.CLOSING) {
            // It was given up to make room, for itself.
            headMemory.release();
        } else if (held) {
            front.headChanged(this);
        } else if (state == State.RECEIVING) {
            refuse(NodeEvent.REFUSED_NO_MEMORY);
        } else {
            dropInput();
        }
    }

    /** Stops decoding: the decoder's input is dropped. */
    private void dropInput() {
        dropsInput = true;
        headMemory.setUndecoded(0, 0);
        front.headChanged(this);
        if (channel.pipeline().context(decoder) != null) {
            channel.pipeline().remove(decoder);
        }
    }

    boolean holdsUndecodedHead() {
        return headMemory.holdsUndecoded();
    }

    /** Whether a part of a head is all that it holds, and has been for some time. */
    boolean canGiveUpHead(long now) {
        return state == State.RECEIVING && !headRead && now - stateSince > HEAD_PROTECTION_NANOS;
    }

    /** Gives up a request of which only a part of the head has arrived, to make room for others. */
    void giveUpHead() {
        front.events().count(NodeEvent.REFUSED_NO_MEMORY);
        reject(HttpResponseStatus.REQUEST_TIMEOUT);
    }

    @Override
    public void close(NodeEvent reason) {
        closeReason = reason;
        channel.close();
    }

    private void enter(State next) {
        state = next;
        if (next != State.RECEIVING || hadRequest) {
            stateSince = front.now();
        }
        front.stateChanged(this, next);
    }

    // ---- requests ----

    @Override
    public void channelActive(ChannelHandlerContext context) {
        front.opened(this);
        front.stateChanged(this, state);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        decodedPart = true;
        if (state == State.CLOSING || !(message instanceof HttpObject part)) {
            ReferenceCountUtil.release(message);
        } else if (mustQueue()) {
            pipelined.add(part, channel.arrivalBound(), front.now());
            updateReading();
        } else {
            queuedNanos = 0;
            handle(part, channel.arrivalBound());
        }
    }

    /** Whether input waits for an answer: that of a request before it, or one that the client has not read. */
    private boolean mustQueue() {
        return !pipelined.isEmpty() || state == State.WAITING || !channel.isWritable() && !headRead;
    }

    /** Processes queued parts, as long as the client reads its answers. */
    private void processPipelined() {
        if (processesPipelined) {
            return;
        }
        processesPipelined = true;
        int parts = 0;
        while (mayProcess() && parts < MAX_PARTS_PER_TURN && processNext()) {
            parts++;
        }
        processesPipelined = false;
        channel.flush();
        if (mayProcess() && parts == MAX_PARTS_PER_TURN) {
            channel.eventLoop().schedule(this::processPipelined, NEXT_TURN_MS, TimeUnit.MILLISECONDS);
        }
        if (state != State.CLOSING) {
            updateReading();
        }
    }

    private boolean mayProcess() {
        return state != State.WAITING && state != State.CLOSING && (headRead || channel.isWritable());
    }

    /** Handles what comes next in the queue; false if nothing does. */
    private boolean processNext() {
        PipelinedRequests.Part next = pipelined.poll();
        if (next != null) {
            queuedNanos = front.now() - next.queuedAt();
            handle(next.message(), next.arrivedAt());
        } else if (!headRead && pipelined.takeRefusal()) {
            refusePipelined(!pipelined.closes());
        } else if (!headRead && pipelined.discardsIncomplete()) {
            refusePipelined(false);
        } else {
            return false;
        }
        return true;
    }

    /** Refuses a request that was discarded, as too much stood behind another one. */
    private void refusePipelined(boolean keepsConnection) {
        front.events().count(NodeEvent.REFUSED_PIPELINED);
        version = HttpVersion.HTTP_1_1;
        headOnly = false;
        keepAlive = keepsConnection;
        answer(HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
    }

    /**
     * While a request waits for its answer reading goes on, as only that shows that the client closes. Otherwise it pauses while input is
     * queued, and while a streamed body is paused by back-pressure from its server.
     */
    private void updateReading() {
        updateReading(false);
    }

    /** {@code readsFlood}: once, whatever the client has sent. */
    private void updateReading(boolean readsFlood) {
        if (pipelined.isFlooded() && !pausesFlood && !readsFlood) {
            pausesFlood = true;
            channel.eventLoop().schedule(this::endFloodPause, FLOOD_PAUSE_MS, TimeUnit.MILLISECONDS);
        }
        channel.reading().set(ReadPause.FLOOD, !pausesFlood);
        channel.reading().set(ReadPause.QUEUED_INPUT, state == State.WAITING || pipelined.isEmpty());
    }

    private void endFloodPause() {
        pausesFlood = false;
        if (state != State.CLOSING) {
            updateReading(true);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (streamed != null) {
            streamed.update();
        } else if (channel.isWritable()) {
            processPipelined();
        }
    }

    /** {@code arrivedAt}: a time before which the message did not arrive. */
    private void handle(HttpObject message, long arrivedAt) {
        try {
            if (message.decoderResult().isFailure()) {
                reject(statusFor(message.decoderResult().cause()));
                return;
            }
            if (message instanceof HttpRequest request && state != State.CLOSING) {
                handleHead(request);
            }
            if (message instanceof HttpContent content && state == State.RECEIVING) {
                handleContent(content, arrivedAt);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void handleHead(HttpRequest request) {
        if (state == State.IDLE) {
            enter(State.RECEIVING);
        }
        version = request.protocolVersion().majorVersion() == 1 ? request.protocolVersion() : HttpVersion.HTTP_1_1;
        keepAlive = HttpUtil.isKeepAlive(request);
        headOnly = request.method().equals(HttpMethod.HEAD);
        headRead = true;
        routed = null;
        if (!headMemory.decoded(request)) {
            refuse(NodeEvent.REFUSED_NO_MEMORY, pipelined.skipRequest());
            return;
        }
        readinessCheck = front.dialect.isReadinessCheck(request);
        if (readinessCheck) {
            return;
        }
        try {
            routed = front.dialect.read(request, channel.remoteAddress());
            if (front.nearConnectionLimit() || cannotAnswerInTime()) {
                // Nothing was sent to a server, so the client may safely retry on another node.
                refuse(front.nearConnectionLimit() ? NodeEvent.REFUSED_CONNECTION_LIMIT : NodeEvent.REFUSED_NODE_ENDS,
                    pipelined.skipRequest());
                return;
            }
            incoming = new IncomingBody(routed, channel, front.clock(), this, this::streamedBodyComplete);
            if (HttpUtil.is100ContinueExpected(request)) {
                channel.writeAndFlush(new DefaultFullHttpResponse(version, HttpResponseStatus.CONTINUE,
                    Unpooled.EMPTY_BUFFER));
            }
        } catch (RequestRejectedException e) {
            reject(e.status);
        }
    }

    /**
     * Whether the node will have stopped or be fully drained before the request could be answered. The request's time counts
     * from its last byte, so this is checked until that has arrived: a body may take seconds after a timely head.
     */
    private boolean cannotAnswerInTime() {
        return front.rejectsIncomplete() || routed != null && !front.canAnswerBeforeExit(routed.terms().callerTimeout());
    }

    private void handleContent(HttpContent content, long arrivedAt) {
        boolean last = content instanceof LastHttpContent;
        if (readinessCheck) {
            if (last) {
                answer(front.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
            }
            return;
        }
        if (last && cannotAnswerInTime()) {
            refuse(NodeEvent.REFUSED_NODE_ENDS, true);
            return;
        }
        switch (incoming.add(content.content(), last, arrivedAt)) {
            case INCOMPLETE -> { }
            case COMPLETE -> {
                long lastByteBound = incoming.lastByteBound();
                requestComplete();
                exchange.queuedFor(queuedNanos);
                routed.pool().arrived(exchange, lastByteBound);
            }
            case TOO_LARGE -> reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            case NO_MEMORY -> refuse(NodeEvent.REFUSED_NO_MEMORY);
            case INVALID -> reject(HttpResponseStatus.BAD_REQUEST);
        }
    }

    /** The request's last byte has arrived. */
    private void requestComplete() {
        exchange = incoming.exchange();
        incoming = null;
        hadRequest = true;
        enter(State.WAITING);
    }

    private void streamedBodyComplete() {
        requestComplete();
        updateReading();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        channel.decoded(decoder.takeSteps());
        if (incoming != null) {
            incoming.flush();
        }
    }

    private static HttpResponseStatus statusFor(Throwable cause) {
        return cause instanceof TooLongHttpLineException ? HttpResponseStatus.REQUEST_URI_TOO_LONG
            : cause instanceof TooLongHttpHeaderException ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST;
    }

    /** Refuses a request that was not received whole nor sent to a server, and closes the connection after the answer. */
    private void refuse(NodeEvent reason) {
        refuse(reason, false);
    }

    private void refuse(NodeEvent reason, boolean receivedWhole) {
        if (routed == null) {
            front.events().count(reason);
        } else {
            front.events().count(reason, routed.terms().id());
        }
        reject(HttpResponseStatus.SERVICE_UNAVAILABLE, receivedWhole);
    }

    /** Rejects a request that was not received whole, and closes the connection after the answer. */
    private void reject(HttpResponseStatus status) {
        reject(status, false);
    }

    /** The connection stays for requests that were read behind this one, where the end of this one is known. */
    private void reject(HttpResponseStatus status, boolean receivedWhole) {
        keepAlive &= receivedWhole && !pipelined.isEmpty();
        dropIncoming();
        if (routed != null) {
            boolean busy = status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
            routed.pool().countResult(routed.terms(), busy ? RequestCounts.RequestResult.BUSY : RequestCounts.RequestResult.FAILURE);
            routed = null;
        }
        answer(status, 0);
    }

    private void dropIncoming() {
        if (incoming != null) {
            incoming.drop();
            incoming = null;
        }
    }

    // ---- answers ----

    @Override
    public boolean acceptsStreaming() {
        return true;
    }

    @Override
    public AnswerSink beginAnswer(Metadata metadata, long length, AnswerSink.Source source) {
        AnswerHead head = (AnswerHead) metadata;
        DefaultHttpResponse response = new DefaultHttpResponse(version, head.status(), head.headers());
        if (length >= 0) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else if (version.equals(HttpVersion.HTTP_1_1)) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            keepAlive = false;
        }
        HttpUtil.setKeepAlive(response, updateKeepAlive());
        channel.write(response);
        recordProgress();
        unreadStreamed = true;
        streamed = new StreamedAnswer(this, channel, source, new UnsentBytes(routed.bytes()));
        return streamed;
    }

    /** Called when the socket has accepted a part of an answer. */
    void recordProgress() {
        lastWriteProgress = front.now();
    }

    /** Called when a streamed answer is complete; {@code last}: the write of its end. */
    void streamComplete(ChannelFuture last) {
        streamed = null;
        trackWrite(last, 0);
        answerDone();
    }

    @Override
    public void served(Answer answer) {
        ByteBuf body = answer.body().size() > 0 ? answer.body().whole() : Unpooled.EMPTY_BUFFER;
        AnswerHead head = (AnswerHead) answer.head();
        sendAnswer(new DefaultFullHttpResponse(version, head.status(), body, head.headers(), EmptyHttpHeaders.INSTANCE),
            head.bodiless());
    }

    @Override
    public void refused(Refusal refusal, long retryAfter, Answer own) {
        if (own != null) {
            served(own);
        } else {
            HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
            HttpResponseStatus status = front.dialect.refusalStatus(refusal);
            sendLocalAnswer(status, headers, front.dialect.refusalAnswer(refusal, retryAfter, headers));
        }
    }

    @Override
    public void failed(boolean late, Answer own) {
        if (own != null) {
            served(own);
        } else {
            answer(late ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY, 0);
        }
    }

    /** Answers a request of which no attempt has been made, or which has failed. */
    private void answer(HttpResponseStatus status, long retryAfter) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        sendLocalAnswer(status, headers, front.dialect.localAnswer(status, retryAfter, headers));
    }

    private void sendLocalAnswer(HttpResponseStatus status, HttpHeaders headers, String text) {
        ByteBuf body = text.isEmpty() || headOnly ? Unpooled.EMPTY_BUFFER
            : Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        sendAnswer(new DefaultFullHttpResponse(version, status, body, headers, EmptyHttpHeaders.INSTANCE), headOnly);
    }

    private void sendAnswer(DefaultFullHttpResponse response, boolean bodiless) {
        if (!bodiless) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        }
        if (incoming != null) {
            // The request was answered before its body was complete: the rest is not read, so the connection cannot be reused.
            incoming.abandonRest();
            incoming = null;
            keepAlive = false;
        }
        HttpUtil.setKeepAlive(response, updateKeepAlive());
        unreadStreamed &= pendingWrites > 0;
        int bytes = response.content().readableBytes();
        // Refusals of pipelined requests are many at a time.
        trackWrite(processesPipelined ? channel.write(response) : channel.writeAndFlush(response), bytes);
        answerDone();
    }

    private void answerDone() {
        exchange = null;
        routed = null;
        headRead = false;
        headMemory.answered();
        if (!keepAlive) {
            linger();
            return;
        }
        enter(State.IDLE);
        if (pipelined.isEmpty()) {
            updateReading();
        } else if (!processesPipelined) {
            channel.eventLoop().execute(this::processPipelined);
        }
    }

    /** Requests that were read behind this one keep the connection until they are answered as well. */
    private boolean updateKeepAlive() {
        keepAlive &= !pipelined.isEmpty() || !dropsInput && front.keepsConnections();
        return keepAlive;
    }

    /** {@code bytes}: of an answer's body. */
    private void trackWrite(ChannelFuture write, int bytes) {
        pendingWrites++;
        if (routed != null) {
            new UnsentBytes(routed.bytes()).add(write, bytes);
        }
        recordProgress();
        write.addListener(f -> pendingWrites--);
    }

    /**
     * Shuts down output and discards input until the client closes: closing with unread input resets the connection, which
     * could destroy the answer before the client has read it.
     */
    private void linger() {
        enter(State.CLOSING);
        pipelined.clear();
        headMemory.release();
        dropInput();
        channel.reading().resumeAll();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> channel.shutdownOutput());
    }

    // ---- ends ----

    @Override
    public boolean waits() {
        return state == State.WAITING || incoming != null && incoming.streaming() || pendingWrites > 0 || !pipelined.isEmpty();
    }

    @Override
    public boolean safeToClose() {
        return !waits() && (state == State.CLOSING || channel.pollBriefly() != PollableChannel.PollResult.BYTES);
    }

    @Override
    public boolean left() {
        return channel.isEnded();
    }

    @Override
    public boolean mayHaveLeft() {
        return (state == State.WAITING || incoming != null && incoming.streaming()) && channel.mayHideEnd();
    }

    @Override
    public boolean uses(Dispatcher pool) {
        return (exchange != null || incoming != null) && routed.pool() == pool;
    }

    @Override
    public void compensateStall(long span, long now) {
        stateSince = Math.min(now, stateSince + span);
        lastWriteProgress = Math.min(now, lastWriteProgress + span);
        if (incoming != null) {
            incoming.compensateStall(span, now);
        }
    }

    @Override
    public void sweep(long now) {
        long elapsed = now - stateSince;
        switch (state) {
            case IDLE -> {
                // Closing over an unread request or an unsent answer would lose it.
                if ((elapsed > front.idleTimeout(hadRequest) || front.closesIdle(stateSince, now)) && safeToClose()) {
                    close(NodeEvent.CLIENT_IDLE);
                }
            }
            case RECEIVING -> {
                if (incoming == null ? elapsed > REQUEST_TIMEOUT_NANOS : incoming.timedOut(now, elapsed, REQUEST_TIMEOUT_NANOS)) {
                    reject(HttpResponseStatus.REQUEST_TIMEOUT);
                } else if (cannotAnswerInTime()) {
                    refuse(NodeEvent.REFUSED_NODE_ENDS);
                }
            }
            case CLOSING -> {
                if (elapsed > LINGER_NANOS && pendingWrites == 0) {
                    close(NodeEvent.CLIENT_LAST_ANSWER);
                }
            }
            case WAITING -> { }
        }
        long timeout = unreadStreamed ? STREAMED_UNREAD_TIMEOUT_NANOS : UNREAD_TIMEOUT_NANOS;
        if ((pendingWrites > 0 || !channel.isWritable()) && now - lastWriteProgress > timeout) {
            close(NodeEvent.CLIENT_SLOW_READER);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        State before = state;
        state = State.CLOSING;
        front.events().count(before == State.CLOSING ? NodeEvent.CLIENT_LAST_ANSWER : closeReason);
        front.closed(this);
        pipelined.clear();
        headMemory.release();
        if (before == State.WAITING && exchange != null) {
            streamed = null;
            routed.pool().clientGone(exchange);
        }
        dropIncoming();
        exchange = null;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            Log.failure("client connection", cause);
        }
        channel.close();
    }
}
