package onyxpaddle.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import onyxpaddle.BalancerApi.Outcome;
import onyxpaddle.http.UpstreamDialect.Classification;
import onyxpaddle.node.Answer;
import onyxpaddle.node.AnswerSink;
import onyxpaddle.node.Attempt;
import onyxpaddle.node.Body;
import onyxpaddle.node.Exchange;
import onyxpaddle.node.Log;
import onyxpaddle.node.NodeEvent;
import onyxpaddle.node.SocketBuffers;
import onyxpaddle.socket.PollableChannel;

/**
 * One connection to a server. It carries one attempt at a time and maps failures to outcomes: an attempt that fails before its
 * request's last byte is written has certainly not run, one that fails later may have.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    /** Limit for receiving the rest of an answer whose attempt ended with the head. */
    private static final long DISCARD_TIMEOUT_NANOS = 5_000_000_000L;
    /** Limit for interim (1xx) answers before the final one. */
    private static final int MAX_INTERIM_ANSWERS = 16;
    /** Larger answers are streamed to callers that accept it; smaller ones are buffered whole. */
    private static final long MAX_BUFFERED_BYTES = 64 * 1024;
    /** How long after its head an answer is awaited whole at least. */
    private static final long MIN_WHOLE_ANSWER_NANOS = 20_000_000L;
    /** A server that has written nothing of its answer for longer is not taken to be writing it. */
    private static final long PROGRESS_WINDOW_NANOS = 500_000_000L;
    /** The part of its caller's time that is left for an answer which is passed on as it arrives; before, it may still be replaced. */
    private static final double STREAMED_PART = 0.75;
    /**
     * How long a server may send nothing of a streamed answer by default, see {@link UpstreamDialect#stallTimeout}.
     */
    static final long STALL_TIMEOUT_NANOS = 30_000_000_000L;

    final String server;
    /** The process of the server that it was opened to. */
    final HttpUpstream.Instance instance;
    final PollableChannel channel;
    /** When its last answer was read. */
    long releasedAt;
    /** A time before which its last answer did not arrive: its server counts from there. */
    long idleSince;
    private final HttpUpstream upstream;
    /** The attempt that waits for its outcome; null for none. */
    private Attempt attempt;
    private final AnswerDecoder decoder;
    /** A request has been started and the last byte of its answer has not arrived. */
    private boolean exchangeOpen;
    private boolean headReceived;
    /** How often a part of the answer that is not whole has been read. */
    private int partsRead;
    private boolean reusable;
    private boolean requestWritten;
    private int interimAnswers;
    /** The length stated in the answer's head, -1 if none. */
    private long contentLength;
    private long bodyBytes;
    private Answer answer;
    private Outcome outcome;
    private long maxAnswerBytes;
    private HttpMethod method;
    private long startedAt;
    private boolean reused;
    /** Receives the answer being streamed; null for none. */
    private AnswerSink sink;
    /** When a part of the answer last arrived. */
    private long lastDataAt;
    /** Streams the request's body; null for none. */
    private BodyRelay relay;
    private final ReadThrottle throttle;
    /** Why it closes, unless its server has closed it. */
    private NodeEvent closeReason = NodeEvent.SERVER_CLOSED;

    ServerConnection(HttpUpstream upstream, String server, HttpUpstream.Instance instance, PollableChannel channel) {
        this.instance = instance;
        this.upstream = upstream;
        this.server = server;
        this.channel = channel;
        this.throttle = new ReadThrottle(channel.reading(), channel.eventLoop());
        decoder = new AnswerDecoder(BoundedHttpHeaders.limit(new HttpDecoderConfig().setMaxChunkSize(SocketBuffers.READ_SIZE),
            new BoundedHttpHeaders.Factory()));
        channel.pipeline().addLast(new HttpRequestEncoder(), decoder, this);
    }

    /**
     * Whether it can carry a request now. Polls the socket, as the server may have closed the connection or sent unsolicited data
     * since the event loop last processed it. A request written to such a connection ends with a reset and may have run.
     */
    boolean isUsable() {
        return !exchangeOpen && channel.poll() == PollableChannel.PollResult.NOTHING;
    }

    /** Closes the connection; only the first reason counts. */
    void close(NodeEvent reason) {
        if (channel.isOpen()) {
            closeReason = reason;
            channel.close();
        }
    }

    // ---- the request ----

    void start(Attempt next) {
        attempt = next;
        next.carrier = this;
        exchangeOpen = true;
        headReceived = false;
        reusable = false;
        requestWritten = false;
        interimAnswers = 0;
        partsRead = 0;
        bodyBytes = 0;
        startedAt = upstream.clock.now();
        reused = releasedAt > 0;
        Exchange exchange = next.exchange;
        if (exchange.upload != null) {
            upstream.dispatcher.bodyConsumed(next);
        }
        HttpRequestHead head = upstream.bridge.head(exchange);
        method = head.method();
        maxAnswerBytes = head.maxAnswerBytes();
        decoder.expect(head.method().equals(HttpMethod.HEAD));
        long length = exchange.upload == null ? exchange.body.size() : exchange.upload.length();
        HttpHeaders headers = upstream.dialect.requestHeaders(head, length, channel.remoteAddress(),
            Math.min(exchange.timeLeft(startedAt), next.until - startedAt));
        throttle.reset();
        if (exchange.upload == null) {
            ByteBuf body = exchange.body.size() == 0 ? Unpooled.EMPTY_BUFFER : exchange.body.whole();
            trackLastWrite(next, channel.writeAndFlush(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), body,
                headers, EmptyHttpHeaders.INSTANCE)));
            return;
        }
        channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), headers));
        relay = new BodyRelay(exchange.upload, channel, new UnsentBytes(upstream.budget.bytes()), last -> trackLastWrite(next, last), () -> bodyAborted(next));
        relay.start();
    }

    /** Registers the write that contains the request's last byte. */
    private void trackLastWrite(Attempt of, ChannelFuture last) {
        of.setLastWrite(last);
        last.addListener(f -> written(of, f.isSuccess()));
    }

    private void bodyAborted(Attempt of) {
        if (attempt == of) {
            // The server is not at fault.
            end(Outcome.NOT_SENT);
            close(NodeEvent.SERVER_GIVEN_UP);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (relay != null) {
            relay.updateReading();
        }
    }

    private void written(Attempt of, boolean success) {
        if (!success) {
            channel.close();
        } else if (attempt == of) {
            requestWritten = true;
            of.markWritten();
            if (of.exchange.upload != null) {
                upstream.dispatcher.uploaded(of);
            }
        }
    }

    // ---- the answer ----

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpContent part) {
                throttle.read(part.content().readableBytes());
            }
            if (isBroken()) {
                return;
            }
            boolean unsolicited = !exchangeOpen || attempt == null && !headReceived;
            if (unsolicited || message instanceof HttpObject part && part.decoderResult().isFailure()) {
                failAnswer();
                return;
            }
            if (message instanceof HttpResponse response) {
                head(response);
            }
            if (message instanceof HttpContent content && headReceived) {
                content(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /**
     * Whether the connection has ended otherwise than by its server, in order. The decoder takes each end of the connection for the end of
     * an answer without a length, but after a reset, or a close by this side, that answer is not whole.
     */
    private boolean isBroken() {
        return !channel.isOpen() && !channel.isEndOfStream();
    }

    private void head(HttpResponse response) {
        int status = response.status().code();
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            if (++interimAnswers > MAX_INTERIM_ANSWERS || status == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
                failAnswer();
            }
            return;
        }
        headReceived = true;
        lastDataAt = upstream.clock.now();
        reusable = HttpUtil.isKeepAlive(response);
        if (reused) {
            upstream.reuseFailures.update(false);
        }
        Classification classification = upstream.dialect.classify(method, response);
        outcome = classification.outcome();
        if (classification.forwarded() == null) {
            // A server error before the request was complete: the request has not run.
            end(outcome == Outcome.ERROR && !attempt.written() ? Outcome.CONNECT_FAILED : outcome);
            return;
        }
        long length = HttpUtil.getContentLength(response, -1L);
        boolean bodiless = classification.forwarded().bodiless();
        if (!attempt.written() || !bodiless && length > maxAnswerBytes || !upstream.dialect.isDelimited(method, response, length)) {
            failAnswer();
        } else {
            contentLength = bodiless ? 0 : length;
            answer = new Answer(classification.forwarded(),
                new Body(upstream.budget.bytes(), Math.min(contentLength, MAX_BUFFERED_BYTES), maxAnswerBytes));
            if (contentLength > MAX_BUFFERED_BYTES && canStream()) {
                startStreaming();
            }
        }
    }

    private boolean canStream() {
        return attempt != null && outcome == Outcome.OK && attempt.exchange.acceptsStreaming()
            && attempt.exchange.head instanceof HttpRequestHead;
    }

    /** Switches to streaming, beginning with the buffered part of the answer. */
    private void startStreaming() {
        Answer buffered = answer;
        answer = null;
        sink = upstream.dispatcher.beginAnswer(attempt, buffered.head(), contentLength, source);
        if (sink == null) {
            buffered.body().release();
            failAnswer();
            return;
        }
        if (buffered.body().size() > 0) {
            sink.data(buffered.body().whole());
        }
        buffered.body().release();
    }

    private final AnswerSink.Source source = new AnswerSink.Source() {
        @Override
        public void pause() {
            throttle.pause();
        }

        @Override
        public void resume() {
            lastDataAt = upstream.clock.now();
            throttle.resume();
        }

        @Override
        public void abandon() {
            sink = null;
            detach();
            close(NodeEvent.SERVER_GIVEN_UP);
        }
    };

    private void content(HttpContent content) {
        bodyBytes += content.content().readableBytes();
        if (content.content().isReadable()) {
            lastDataAt = upstream.clock.now();
        }
        if (bodyBytes > Math.max(Body.DEFAULT_MAX_BYTES, maxAnswerBytes)) {
            failAnswer();
            return;
        }
        if (answer != null && (canStream() && answer.body().size() + content.content().readableBytes() > MAX_BUFFERED_BYTES
                || !answer.body().add(content.content()))) {
            // It exceeds the buffer limit or the available memory: stream it.
            if (!canStream()) {
                failAnswer();
                return;
            }
            startStreaming();
        }
        if (sink != null && content.content().isReadable()) {
            sink.data(SocketBuffers.kept(content.content(), channel.alloc()));
        }
        if (content instanceof LastHttpContent && exchangeOpen) {
            exchangeOpen = false;
            complete();
        }
    }

    /**
     * Fails the attempt and closes the connection, as the answer is unparsable, unsolicited, too long or not delimited: serving it
     * could deliver a truncated, mixed-up or endless answer, and the start of the next answer is unknown. The request may have run.
     * A sound server that frames its answers loosely would have each of them counted as an error.
     */
    private void failAnswer() {
        exchangeOpen = false;
        headReceived = false;
        end(attempt != null && !attempt.written() ? Outcome.CONNECT_FAILED : Outcome.ERROR);
        close(NodeEvent.SERVER_INVALID_ANSWER);
    }

    /**
     * Begins to pass on the answer if it can be streamed and its server is writing it: such an answer is not given up. False if there is
     * none.
     */
    boolean passOn() {
        if (answer == null || !exchangeOpen || !headReceived || !canStream()
                || upstream.clock.now() - lastDataAt > PROGRESS_WINDOW_NANOS) {
            return false;
        }
        startStreaming();
        if (sink != null) {
            sink.flush();
        }
        return sink != null;
    }

    /**
     * Called when a part of an answer has been read that is not whole. After a quarter of its caller's time it is passed on as it arrives;
     * until then a reset of its connection can be followed by another attempt.
     */
    private void awaitWhole() {
        if (answer == null || !exchangeOpen || attempt == null) {
            return;
        }
        Attempt current = attempt;
        Exchange exchange = current.exchange;
        long passOnAt = exchange.deadline() - (long) (STREAMED_PART * exchange.callerTimeout());
        long now = upstream.clock.now();
        if (++partsRead == 1) {
            channel.eventLoop().schedule(() -> {
                if (attempt == current && partsRead > 1) {
                    passOn();
                }
            }, Math.max(MIN_WHOLE_ANSWER_NANOS, passOnAt - now), TimeUnit.NANOSECONDS);
        } else if (now >= passOnAt) {
            passOn();
        }
    }

    /** Called when no more input is available: only now is it certain that no data follows the answer. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        channel.decoded(decoder.takeSteps());
        awaitWhole();
        if (sink != null) {
            sink.flush();
        }
        throttle.readComplete(exchangeOpen && headReceived);
        if (decoder.unsolicited()) {
            close(NodeEvent.SERVER_INVALID_ANSWER);
        } else if (headReceived && !exchangeOpen) {
            headReceived = false;
            if (reusable && requestWritten && channel.isActive()) {
                upstream.release(this);
            } else {
                close(NodeEvent.SERVER_NOT_REUSABLE);
            }
        }
    }

    /** Ends the attempt with a complete answer. */
    private void complete() {
        Answer whole = answer;
        AnswerSink streamed = sink;
        Attempt current = detach();
        answer = null;
        sink = null;
        if (throttle.paused()) {
            throttle.resume();
        }
        if (streamed != null) {
            upstream.dispatcher.ended(current, Outcome.OK, null);
            streamed.end();
        } else if (whole != null) {
            Answer converted = upstream.bridge.answer(current.exchange, whole);
            upstream.dispatcher.ended(current, converted == null ? Outcome.ERROR : outcome, converted);
        }
    }

    /** Ends the attempt, if it is still pending, and releases the buffered part of the answer. */
    private void end(Outcome how) {
        Attempt current = detach();
        if (answer != null) {
            answer.body().release();
            answer = null;
        }
        AnswerSink streamed = sink;
        sink = null;
        if (current != null) {
            upstream.dispatcher.ended(current, how, null);
        }
        if (streamed != null) {
            streamed.broken();
        }
    }

    /** Detaches the attempt, which may be null, and its body from this connection. */
    private Attempt detach() {
        Attempt current = attempt;
        BodyRelay currentRelay = relay;
        attempt = null;
        relay = null;
        if (currentRelay != null) {
            currentRelay.detach();
        }
        return current;
    }

    /** Gives up the attempt; its owner determines the outcome. */
    void abandon() {
        detach();
        end(Outcome.CANCELLED);
        close(NodeEvent.SERVER_GIVEN_UP);
    }

    /**
     * Closes the connection if the unneeded rest of an answer or a streamed answer stalls. Attempts have a timeout of their own.
     */
    void checkProgress(long now) {
        if (exchangeOpen && attempt == null && now - startedAt > DISCARD_TIMEOUT_NANOS) {
            close(NodeEvent.SERVER_STALLED);
        }
        boolean stalled = sink != null && !throttle.paused()
            && now - lastDataAt > upstream.dialect.stallTimeout(now > attempt.exchange.deadline());
        if (stalled) {
            close(NodeEvent.SERVER_STALLED);
        }
    }

    private void connectionLost() {
        if (reused && attempt != null && !headReceived && upstream.clock.now() - startedAt < ReuseFailureRate.STALE_WINDOW_NANOS) {
            upstream.reuseFailures.update(true);
        }
        end(attempt != null && !attempt.written() ? Outcome.CONNECT_FAILED : Outcome.RESET);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        upstream.dispatcher.events().count(closeReason);
        connectionLost();
        upstream.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            Log.failure("connection to server " + server, cause);
        }
        channel.close();
    }
}
