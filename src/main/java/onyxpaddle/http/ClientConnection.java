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
import java.util.ArrayDeque;
import onyxpaddle.front.FrontConnection;
import onyxpaddle.node.Answer;
import onyxpaddle.node.AnswerSink;
import onyxpaddle.node.Caller;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.Exchange;
import onyxpaddle.node.Log;
import onyxpaddle.node.Metadata;
import onyxpaddle.node.SocketBuffers;
import onyxpaddle.node.RequestCounts;
import onyxpaddle.socket.PollableChannel;

/**
 * One client connection. It reads a request whole before it is taken, and gives it one answer. Requests on a
 * connection are dealt with one at a time; of what is sent ahead a little waits. A client that breaks the protocol
 * is told so and let go of: where its next request would begin can't be known.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements Caller, FrontConnection {
    private static final long SECOND = 1_000_000_000L;
    /**
     * How long a request may take to come whole, from its first byte, or from the connect for the first one. A head
     * may take 2 s and 64 KiB come at 64 kB/s; nobody is left without a word for 3 s.
     */
    private static final long LONGEST_REQUEST = 2_400_000_000L;
    /** How long a client may leave an answer unread; and take nothing of one that is passed on as it comes. */
    private static final long LONGEST_UNREAD = 5 * SECOND;
    private static final long LONGEST_UNREAD_PASSING = 60 * SECOND;
    /** What is read off after the last answer, so that closing does not reset it away. */
    private static final long LINGER = SECOND;
    private static final int MOST_READ_OFF = 256 * 1024;
    /** Decoded parts that wait for the request before them: some requests sent ahead, not hundreds. */
    private static final int MOST_AHEAD = 32;
    /** And their bodies, in bytes: from there on the client is read no further until its answer is given. */
    private static final int MOST_BYTES_AHEAD = 2 * SocketBuffers.READ_SIZE;

    enum State {
        /** Between requests. */
        IDLE,
        /** A request's first byte has come, its last has not. */
        RECEIVING,
        /** A request is taken and has no answer yet. */
        WAITING,
        /** The last answer is given; what still comes is read off until the client closes. */
        CLOSING
    }

    private final HttpFront all;
    private final PollableChannel channel;
    private final ArrayDeque<Object> ahead = new ArrayDeque<>();
    private int bytesAhead;
    /** More was sent ahead than waits: what has been begun is answered, nothing after it is taken. */
    private boolean overrun;
    private State state = State.IDLE;
    private final long acceptedAt;
    /** When it came, at the earliest: it may have waited to be accepted. */
    private final long came;
    private long since;
    private long readOff;
    private boolean anyRequest;
    /** The request is a question for the node itself, whether it is ready. */
    private boolean readiness;
    /** The request is a HEAD: what answers it has no body, whatever its headers say. */
    private boolean headOnly;
    /** The body of the request that comes; null before and after. */
    private IncomingBody incoming;
    /** The request that is taken and waits for its answer, or null. */
    private Exchange exchange;
    /** The answer that is being passed on; null for none. */
    private StreamedAnswer passing;
    /** Among the answers that the client has not read is one that was passed on as it came. */
    private boolean longAnswer;
    private RoutedRequest taken;
    private boolean keepAlive;
    private HttpVersion version = HttpVersion.HTTP_1_1;
    private long unreadSince;
    private int unread;

    ClientConnection(HttpFront all, PollableChannel channel) {
        this.all = all;
        this.channel = channel;
        this.acceptedAt = all.now();
        this.came = all.clock().earliestArrival();
        this.since = acceptedAt;
    }

    /** When the bytes at hand came, at the earliest: those of the turn after the accept may have come with the connection. */
    private long earliestArrival() {
        long since = all.clock().earliestArrival();
        return since <= acceptedAt ? came : since;
    }

    /** Sees bytes before they are parsed: a head that trickles in, and what comes after the last answer. */
    ChannelHandler byteWatch() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (state == State.CLOSING || overrun) {
                    readOff += ((ByteBuf) message).readableBytes();
                    ReferenceCountUtil.release(message);
                    if (readOff > MOST_READ_OFF) {
                        // It has its last answer before it, and the rest of its time to read it.
                        channel.config().setAutoRead(false);
                    }
                    return;
                }
                if (state == State.IDLE) {
                    enter(State.RECEIVING);
                }
                context.fireChannelRead(message);
            }
        };
    }

    @Override
    public void close() {
        channel.close();
    }

    private void enter(State next) {
        state = next;
        if (next != State.RECEIVING || anyRequest) {
            since = all.now();
        }
        all.entered(this, next);
    }

    // ---- requests ----

    @Override
    public void channelActive(ChannelHandlerContext context) {
        all.opened(this);
        all.entered(this, state);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (state == State.CLOSING || overrun) {
            ReferenceCountUtil.release(message);
        } else if (!mustWait()) {
            take(message);
        } else if (ahead.size() >= MOST_AHEAD) {
            // Too much sent ahead: the request at hand is still answered, and is the last.
            overrun = true;
            dropAhead();
            ReferenceCountUtil.release(message);
        } else {
            // It is read on, within bounds, so that its close is seen: what is sent on for it then would be for nobody.
            ahead.add(message);
            bytesAhead += message instanceof HttpContent content ? content.content().readableBytes() : 0;
            if (bytesAhead >= MOST_BYTES_AHEAD) {
                channel.config().setAutoRead(false);
            }
        }
    }

    private void dropAhead() {
        ahead.forEach(ReferenceCountUtil::release);
        ahead.clear();
        bytesAhead = 0;
    }

    private boolean mustWait() {
        return !ahead.isEmpty() || state == State.WAITING || !channel.isWritable();
    }

    /** Goes on with what was sent ahead; a client that reads no answers gets no further ones. */
    private void goOn() {
        while (!ahead.isEmpty() && state != State.WAITING && channel.isWritable()) {
            take(ahead.poll());
        }
        if (overrun && state == State.IDLE) {
            linger();
        } else if (ahead.isEmpty()) {
            readOn();
        }
    }

    /** Nothing that was read waits any more: more is read, unless a body waits for the server that takes it. */
    private void readOn() {
        bytesAhead = 0;
        if (incoming == null || !incoming.pauses()) {
            channel.config().setAutoRead(true);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (passing != null) {
            passing.writabilityChanged();
        } else if (channel.isWritable()) {
            goOn();
        }
    }

    private void take(Object message) {
        try {
            if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
                reject(malformed(part.decoderResult().cause()));
                return;
            }
            if (message instanceof HttpRequest request && state != State.CLOSING) {
                head(request);
            }
            if (message instanceof HttpContent content && state == State.RECEIVING) {
                content(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void head(HttpRequest request) {
        if (state == State.IDLE) {
            enter(State.RECEIVING);
        }
        version = request.protocolVersion().majorVersion() == 1 ? request.protocolVersion() : HttpVersion.HTTP_1_1;
        keepAlive = HttpUtil.isKeepAlive(request);
        headOnly = request.method().equals(HttpMethod.HEAD);
        taken = null;
        readiness = all.dialect.isReadinessCheck(request);
        if (readiness) {
            return;
        }
        try {
            taken = all.dialect.read(request, channel.remoteAddress());
            if (all.nearConnectionLimit() || tooLate()) {
                // Nothing of it was sent on: another node may take it.
                reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
                return;
            }
            incoming = new IncomingBody(taken, channel, all.clock(), this, this::bodyPassedOn);
            if (HttpUtil.is100ContinueExpected(request)) {
                channel.writeAndFlush(new DefaultFullHttpResponse(version, HttpResponseStatus.CONTINUE,
                    Unpooled.EMPTY_BUFFER));
            }
        } catch (RequestRejectedException e) {
            reject(e.status);
        }
    }

    /**
     * Whether the node goes, or is empty, before the request could have its answer. Its time counts from its last byte, so it is
     * asked until that has come: a head that came in time says nothing of a body that takes seconds.
     */
    private boolean tooLate() {
        return all.rejectsIncomplete() || taken != null && !all.canAnswerBeforeExit(taken.terms().callerTimeout());
    }

    private void content(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (readiness) {
            if (last) {
                answer(all.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
            }
            return;
        }
        if (last && tooLate()) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        switch (incoming.add(content.content(), last)) {
            case MORE -> { }
            case WHOLE -> {
                arrived();
                taken.pool().arrived(exchange, earliestArrival());
            }
            case TOO_LARGE -> reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            case NO_ROOM -> reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
            case UNSOUND -> reject(HttpResponseStatus.BAD_REQUEST);
        }
    }

    /** The request's last byte has come. */
    private void arrived() {
        exchange = incoming.exchange();
        incoming = null;
        anyRequest = true;
        enter(State.WAITING);
    }

    private void bodyPassedOn() {
        arrived();
        // That the client leaves must be noticed.
        channel.config().setAutoRead(true);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (incoming != null) {
            incoming.flush();
        }
    }

    private static HttpResponseStatus malformed(Throwable cause) {
        return cause instanceof TooLongHttpLineException ? HttpResponseStatus.REQUEST_URI_TOO_LONG
            : cause instanceof TooLongHttpHeaderException ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST;
    }

    /** Turns away what was never taken, and lets go of the client. */
    private void reject(HttpResponseStatus status) {
        keepAlive = false;
        dropIncoming();
        if (taken != null) {
            boolean busy = status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
            taken.pool().countResult(taken.terms(), busy ? RequestCounts.RequestResult.BUSY : RequestCounts.RequestResult.FAILURE);
            taken = null;
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
        HttpUtil.setKeepAlive(response, keepsAlive());
        channel.write(response);
        moved();
        longAnswer = true;
        passing = new StreamedAnswer(this, channel, source);
        return passing;
    }

    /** The client has taken a part of an answer. */
    void moved() {
        unreadSince = all.now();
    }

    /** An answer is passed on whole; {@code last}: the write of its end. */
    void passed(ChannelFuture last) {
        passing = null;
        sent(last);
        answered();
    }

    @Override
    public void served(Answer answer) {
        ByteBuf body = answer.body().size() > 0 ? answer.body().whole() : Unpooled.EMPTY_BUFFER;
        AnswerHead head = (AnswerHead) answer.head();
        finish(new DefaultFullHttpResponse(version, head.status(), body, head.headers(), EmptyHttpHeaders.INSTANCE),
            head.bodiless());
    }

    @Override
    public void refused(long retryAfter, Answer own) {
        if (own != null) {
            served(own);
        } else {
            answer(HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfter);
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

    private void answer(HttpResponseStatus status, long retryAfter) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        String text = all.dialect.localAnswer(status, retryAfter, headers);
        ByteBuf body = text.isEmpty() || headOnly ? Unpooled.EMPTY_BUFFER
            : Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        finish(new DefaultFullHttpResponse(version, status, body, headers, EmptyHttpHeaders.INSTANCE), headOnly);
    }

    private void finish(DefaultFullHttpResponse response, boolean bodiless) {
        if (!bodiless) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        }
        if (incoming != null) {
            // The rest of its body is of no use to anyone.
            incoming.answered();
            incoming = null;
            keepAlive = false;
        }
        HttpUtil.setKeepAlive(response, keepsAlive());
        longAnswer &= unread > 0;
        sent(channel.writeAndFlush(response));
        answered();
    }

    private void answered() {
        exchange = null;
        taken = null;
        if (!keepAlive) {
            linger();
            return;
        }
        enter(State.IDLE);
        if (ahead.isEmpty()) {
            readOn();
        } else {
            channel.eventLoop().execute(this::goOn);
        }
    }

    private boolean keepsAlive() {
        keepAlive &= !overrun && all.keepsConnections();
        return keepAlive;
    }

    private void sent(ChannelFuture write) {
        unread++;
        moved();
        write.addListener(f -> unread--);
    }

    /**
     * Ends the connection so that the answer still reaches the client: closing with bytes unread would reset it
     * and take the answer along.
     */
    private void linger() {
        enter(State.CLOSING);
        dropAhead();
        channel.config().setAutoRead(true);
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> channel.shutdownOutput());
    }

    // ---- ends ----

    @Override
    public boolean waits() {
        return state == State.WAITING || incoming != null && incoming.passing() || unread > 0 || !ahead.isEmpty();
    }

    @Override
    public boolean safeToClose() {
        return !waits() && channel.poll() != PollableChannel.PollResult.BYTES;
    }

    @Override
    public boolean left(boolean unseen) {
        boolean unread = unseen || !channel.config().isAutoRead();
        return unread ? channel.poll() == PollableChannel.PollResult.END : !channel.isActive();
    }

    @Override
    public boolean uses(Dispatcher pool) {
        return (exchange != null || incoming != null) && taken.pool() == pool;
    }

    @Override
    public void compensateStall(long span, long now) {
        since = Math.min(now, since + span);
        unreadSince = Math.min(now, unreadSince + span);
    }

    @Override
    public void sweep(long now) {
        long spent = now - since;
        switch (state) {
            case IDLE -> {
                // A request that has come and is unread would be reset with it, and an answer on its way cut.
                if ((spent > all.idleTimeout(anyRequest) || all.closesIdle(since, now)) && safeToClose()) {
                    close();
                }
            }
            case RECEIVING -> {
                if (incoming == null ? spent > LONGEST_REQUEST : incoming.late(spent, LONGEST_REQUEST)) {
                    reject(HttpResponseStatus.REQUEST_TIMEOUT);
                } else if (tooLate()) {
                    reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
                }
            }
            case CLOSING -> {
                if (spent > LINGER && unread == 0) {
                    close();
                }
            }
            case WAITING -> { }
        }
        long longest = longAnswer ? LONGEST_UNREAD_PASSING : LONGEST_UNREAD;
        if ((unread > 0 || !channel.isWritable()) && now - unreadSince > longest) {
            close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        State before = state;
        state = State.CLOSING;
        all.closed(this);
        dropAhead();
        if (before == State.WAITING && exchange != null) {
            passing = null;
            taken.pool().clientGone(exchange);
        }
        dropIncoming();
        exchange = null;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            Log.failure("connection from a client", cause);
        }
        close();
    }
}
