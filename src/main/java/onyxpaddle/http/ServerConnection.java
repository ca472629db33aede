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
import onyxpaddle.BalancerApi.Outcome;
import onyxpaddle.http.UpstreamDialect.Classification;
import onyxpaddle.node.Answer;
import onyxpaddle.node.AnswerSink;
import onyxpaddle.node.Attempt;
import onyxpaddle.node.Body;
import onyxpaddle.node.Exchange;
import onyxpaddle.node.Log;
import onyxpaddle.node.SocketBuffers;
import onyxpaddle.socket.PollableChannel;

/**
 * One connection to a server. It carries one attempt at a time, and maps what comes back to the outcomes of the
 * protocol: what breaks before the request's last byte is written has never run, what breaks after it may have.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    /** What is left of an answer that ended its attempt at the head comes within this, or not at all. */
    private static final long LONGEST_REST = 5_000_000_000L;
    /** Interim answers before the final one: a server has a use for a few. */
    private static final int MOST_INTERIM = 16;
    /** An answer that is larger is passed on as it comes, where its caller takes it so; a smaller one is held whole. */
    private static final long HELD = 64 * 1024;
    /** How long a server may bring nothing of an answer that is being passed on, or take nothing of a body; see the dialect. */
    static final long LONGEST_STALL = 30_000_000_000L;

    final String server;
    final PollableChannel channel;
    long idleSince;
    private final HttpUpstream all;
    /** The attempt that waits for its outcome, or null. */
    private Attempt attempt;
    private final AnswerDecoder decoder;
    /** A request is out and the last byte of its answer has not come. */
    private boolean exchanging;
    private boolean answered;
    private boolean reusable;
    private boolean sent;
    private int interim;
    /** The answer's length as its head says it, -1 where it doesn't. */
    private long announced;
    private long skipped;
    private Answer answer;
    private Outcome outcome;
    private long largest;
    private HttpMethod method;
    private long startedAt;
    private boolean kept;
    /** The connection was reset: what still comes of the decoder looks like an end and is none. */
    private boolean broke;
    /** Where the answer goes that is being passed on; null for none. */
    private AnswerSink sink;
    /** When something of it came last. */
    private long heardAt;
    /** The body that is being passed on; null for none. */
    private BodyRelay relay;
    private final ReadThrottle pace;

    ServerConnection(HttpUpstream all, String server, PollableChannel channel) {
        this.all = all;
        this.server = server;
        this.channel = channel;
        this.pace = new ReadThrottle(channel);
        decoder = new AnswerDecoder(new HttpDecoderConfig().setMaxChunkSize(SocketBuffers.READ_SIZE));
        channel.pipeline().addLast(new HttpRequestEncoder(), decoder, this);
    }

    /**
     * Whether it can carry a request now: it is looked at, since the server may have closed it, or sent what nobody asked for, since
     * the loop last came to it. What is written to such a connection ends as a reset, and may have run.
     */
    boolean usable() {
        return !exchanging && channel.poll() == PollableChannel.PollResult.NOTHING;
    }

    void close() {
        channel.close();
    }

    // ---- the request ----

    void start(Attempt next) {
        attempt = next;
        next.carrier = this;
        exchanging = true;
        answered = false;
        reusable = false;
        sent = false;
        interim = 0;
        skipped = 0;
        startedAt = all.clock.now();
        kept = idleSince > 0;
        Exchange x = next.exchange;
        HttpRequestHead head = all.bridge.head(x);
        method = head.method();
        largest = head.maxAnswerBytes();
        decoder.expect(head.method().equals(HttpMethod.HEAD));
        long length = x.upload == null ? x.body.size() : x.upload.length();
        HttpHeaders headers = all.dialect.requestHeaders(head, length, channel.remoteAddress(),
            Math.min(x.timeLeft(startedAt), next.until - startedAt));
        ByteBuf body = x.body.size() == 0 ? Unpooled.EMPTY_BUFFER : x.body.whole();
        pace.startAnew();
        if (x.upload == null) {
            writes(next, channel.writeAndFlush(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), body,
                headers, EmptyHttpHeaders.INSTANCE)));
            return;
        }
        channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), headers));
        relay = new BodyRelay(x.upload, channel, all.clock, last -> writes(next, last), () -> bodyAborted(next));
        relay.start(body);
    }

    /** The request's last byte is in this write. */
    private void writes(Attempt of, ChannelFuture last) {
        of.setLastWrite(last);
        last.addListener(f -> written(of, f.isSuccess()));
    }

    private void bodyAborted(Attempt of) {
        if (attempt == of) {
            end(Outcome.CONNECT_FAILED);
            close();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (relay != null) {
            relay.writabilityChanged();
        }
    }

    private void written(Attempt of, boolean success) {
        if (!success) {
            channel.close();
        } else if (attempt == of) {
            sent = true;
            of.markWritten();
            if (of.exchange.upload != null) {
                all.dispatcher.uploaded(of);
            }
        }
    }

    // ---- the answer ----

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpContent part) {
                pace.read(part.content().readableBytes());
            }
            if (broke) {
                return;
            }
            boolean unasked = !exchanging || attempt == null && !answered;
            if (unasked || message instanceof HttpObject part && part.decoderResult().isFailure()) {
                spoilt();
                return;
            }
            if (message instanceof HttpResponse response) {
                head(response);
            }
            if (message instanceof HttpContent content && answered) {
                content(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void head(HttpResponse response) {
        int status = response.status().code();
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            if (++interim > MOST_INTERIM || status == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
                spoilt();
            }
            return;
        }
        answered = true;
        reusable = HttpUtil.isKeepAlive(response);
        if (kept) {
            all.doubt.used(false);
        }
        Classification verdict = all.dialect.classify(method, response);
        outcome = verdict.outcome();
        if (verdict.pass() == null) {
            // An error before the request was whole speaks of one that never ran.
            end(outcome == Outcome.ERROR && !attempt.written() ? Outcome.CONNECT_FAILED : outcome);
            return;
        }
        long length = HttpUtil.getContentLength(response, -1L);
        boolean bodiless = verdict.pass().bodiless();
        if (!attempt.written() || !bodiless && length > largest || !all.dialect.isDelimited(method, response, length)) {
            spoilt();
        } else {
            announced = bodiless ? 0 : length;
            answer = new Answer(verdict.pass(), new Body(all.budget.bytes(), Math.min(announced, HELD), largest));
            if (announced > HELD && passable()) {
                pass();
            }
        }
    }

    private boolean passable() {
        return attempt != null && outcome == Outcome.OK && attempt.exchange.acceptsStreaming() && attempt.exchange.head instanceof HttpRequestHead;
    }

    /** From here on the answer is passed on as it comes, from what is held of it. */
    private void pass() {
        Answer held = answer;
        answer = null;
        heardAt = all.clock.now();
        sink = all.dispatcher.beginAnswer(attempt, held.head(), announced, source);
        if (sink == null) {
            held.body().release();
            spoilt();
            return;
        }
        if (held.body().size() > 0) {
            sink.data(held.body().whole());
        }
        held.body().release();
    }

    private final AnswerSink.Source source = new AnswerSink.Source() {
        @Override
        public void pause() {
            pace.pause();
        }

        @Override
        public void resume() {
            heardAt = all.clock.now();
            pace.resume();
        }

        @Override
        public void abandon() {
            sink = null;
            letGo();
            close();
        }
    };

    private void content(HttpContent content) {
        skipped += content.content().readableBytes();
        if (skipped > Math.max(Body.DEFAULT_MAX_BYTES, largest)) {
            spoilt();
            return;
        }
        if (answer != null && (passable() && answer.body().size() + content.content().readableBytes() > HELD
                || !answer.body().add(content.content()))) {
            // It is larger than what is held, or there is no room to hold it: what is read goes on at once.
            if (!passable()) {
                spoilt();
                return;
            }
            pass();
        }
        if (sink != null && content.content().isReadable()) {
            heardAt = all.clock.now();
            sink.data(SocketBuffers.kept(content.content(), channel.alloc()));
        }
        if (content instanceof LastHttpContent && exchanging) {
            exchanging = false;
            complete();
        }
    }

    /**
     * What has come is not the answer to the request, or not wholly. The request may have run, and where the next
     * answer would begin is not known. Guards against what can't be parsed, is longer than the protocol allows,
     * or doesn't tell its own end; it should cover any answer that could be served cut, mixed up or never ended.
     * It would do harm where a good server framed its answers loosely: each would count as an error of its own.
     */
    private void spoilt() {
        exchanging = false;
        answered = false;
        end(attempt != null && !attempt.written() ? Outcome.CONNECT_FAILED : Outcome.ERROR);
        close();
    }

    /** All that has been read so far is dealt with: only now is it known whether an answer came alone. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (sink != null) {
            sink.flush();
        }
        pace.readComplete(exchanging && answered);
        if (decoder.surplus()) {
            close();
        } else if (answered && !exchanging) {
            answered = false;
            if (reusable && sent && channel.isActive()) {
                all.release(this);
            } else {
                close();
            }
        }
    }

    /** Ends the attempt with the whole of its answer. */
    private void complete() {
        Answer whole = answer;
        AnswerSink passing = sink;
        Attempt current = letGo();
        answer = null;
        sink = null;
        if (pace.paused()) {
            pace.resume();
        }
        if (passing != null) {
            all.dispatcher.ended(current, Outcome.OK, null);
            passing.end();
        } else if (whole != null) {
            Answer passed = all.bridge.answer(current.exchange, whole);
            all.dispatcher.ended(current, passed == null ? Outcome.ERROR : outcome, passed);
        }
    }

    /** Ends the attempt, if it waits still, and lets go of what was held of the answer. */
    private void end(Outcome how) {
        Attempt current = letGo();
        if (answer != null) {
            answer.body().release();
            answer = null;
        }
        AnswerSink passing = sink;
        sink = null;
        if (current != null) {
            all.dispatcher.ended(current, how, null);
        }
        if (passing != null) {
            passing.broken();
        }
    }

    /** The attempt is no longer this connection's; what it was to take of a body is left. */
    private Attempt letGo() {
        Attempt current = attempt;
        BodyRelay taking = relay;
        attempt = null;
        relay = null;
        if (taking != null) {
            taking.detach();
        }
        return current;
    }

    /** The attempt is given up by its owner, who says how it ended. */
    void abandon() {
        letGo();
        end(Outcome.CANCELLED);
        close();
    }

    /** Closes what has not brought the rest of an answer that nobody waits for; attempts have their own time-out. */
    void checkProgress(long now) {
        if (exchanging && attempt == null && now - startedAt > LONGEST_REST) {
            close();
        }
        boolean silent = sink != null && !pace.paused()
            && now - heardAt > all.dialect.stallTimeout(now > attempt.exchange.deadline());
        if (silent || relay != null && relay.stalls(now, LONGEST_STALL)) {
            close();
        }
    }

    private void broken() {
        if (kept && attempt != null && !answered && all.clock.now() - startedAt < ReuseFailureRate.SOON) {
            all.doubt.used(true);
        }
        end(attempt != null && !attempt.written() ? Outcome.CONNECT_FAILED : Outcome.RESET);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        broken();
        all.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            Log.failure("connection to server " + server, cause);
        }
        broke = true;
        close();
    }
}
