package onyxpaddle.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.List;
import onyxpaddle.Balancing.RequestClass;

/**
 * One client connection. It reads a request whole before it is taken, and gives it one answer. Requests on a
 * connection are dealt with one at a time; what is sent ahead waits unread.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private static final long SECOND = 1_000_000_000L;
    /** A request's head may take 2 s and its body come at 64 kB/s; these limits leave room for a stalled core. */
    private static final long LONGEST_HEAD = 8 * SECOND;
    private static final long BODY_GRACE = 8 * SECOND;
    private static final long SLOWEST_BODY_PER_SECOND = 16 * 1024;
    private static final long LONGEST_IDLE = 60 * SECOND;
    /** How long a client may leave an answer unread. */
    private static final long LONGEST_UNREAD = 30 * SECOND;
    private static final long LINGER = 2 * SECOND;
    /** No caller waits longer than this; what claims so is cut to it. */
    private static final long LONGEST_PATIENCE = 60 * SECOND;

    private enum State {
        /** Between requests. */
        IDLE,
        /** A request's head has come, its body not wholly. */
        RECEIVING,
        /** A request is taken and has no answer yet. */
        WAITING,
        /** The answer is given, the rest of the request's body is read off. */
        SKIPPING,
        /** The last answer is given; what still comes is read off until the client closes. */
        CLOSING
    }

    private final ClientServer all;
    private final SocketChannel channel;
    private final ArrayDeque<Object> ahead = new ArrayDeque<>();
    private State state = State.IDLE;
    private long since;
    /** When the first byte of a head came that is not whole yet; 0 where there is none. */
    private long headSince;
    private long received;
    private Exchange exchange;
    private boolean keepAlive;
    private HttpVersion version = HttpVersion.HTTP_1_1;
    private long unreadSince;
    private int unread;

    ClientConnection(ClientServer all, SocketChannel channel) {
        this.all = all;
        this.channel = channel;
        this.since = all.clock.now();
    }

    /** Notes bytes before they are parsed: a head that trickles in shows nowhere else. */
    ChannelHandler byteWatch() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                received += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
                if (state == State.IDLE && headSince == 0) {
                    headSince = all.clock.now();
                    all.idle(ClientConnection.this, false);
                }
                context.fireChannelRead(message);
            }
        };
    }

    void close() {
        channel.close();
    }

    private void enter(State next) {
        state = next;
        since = all.clock.now();
        headSince = 0;
        all.idle(this, next == State.IDLE);
    }

    // ---- requests ----

    @Override
    public void channelActive(ChannelHandlerContext context) {
        all.opened(this);
        all.idle(this, true);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mustWait()) {
            ahead.add(message);
            channel.config().setAutoRead(false);
        } else {
            take(message);
        }
    }

    private boolean mustWait() {
        return !ahead.isEmpty() || state == State.WAITING || !channel.isWritable();
    }

    /** Goes on with what was sent ahead; a client that reads no answers gets no further ones. */
    private void goOn() {
        while (!ahead.isEmpty() && state != State.WAITING && channel.isWritable()) {
            take(ahead.poll());
        }
        if (ahead.isEmpty()) {
            channel.config().setAutoRead(true);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (channel.isWritable()) {
            goOn();
        }
    }

    private void take(Object message) {
        try {
            if (state == State.CLOSING) {
                return;
            }
            if (message instanceof HttpRequest request) {
                head(request);
            }
            if (message instanceof HttpContent content && state != State.CLOSING) {
                if (content.decoderResult().isFailure()) {
                    malformed(content.decoderResult().cause());
                } else {
                    content(content);
                }
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void head(HttpRequest request) {
        received = 0;
        version = request.protocolVersion().majorVersion() == 1 ? request.protocolVersion() : HttpVersion.HTTP_1_1;
        if (request.decoderResult().isFailure()) {
            malformed(request.decoderResult().cause());
            return;
        }
        keepAlive = HttpUtil.isKeepAlive(request);
        enter(State.RECEIVING);
        String path = path(request.uri());
        if (path.equals("/ready") && request.method().equals(HttpMethod.GET)) {
            answer(all.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
            return;
        }
        HttpResponseStatus wrong = begin(request, path);
        if (wrong != null) {
            answer(wrong, 0);
        } else if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(version, HttpResponseStatus.CONTINUE,
                Unpooled.EMPTY_BUFFER));
        }
    }

    /** Starts to receive a request, or says what is wrong with it. */
    private HttpResponseStatus begin(HttpRequest request, String path) {
        if (!request.method().equals(HttpMethod.GET) && !request.method().equals(HttpMethod.POST)) {
            return HttpResponseStatus.METHOD_NOT_ALLOWED;
        }
        List<String> ids = request.headers().getAll(Headers.ID);
        if (ids.size() != 1 || !ids.get(0).matches("[!-~]{1,64}")) {
            return HttpResponseStatus.BAD_REQUEST;
        }
        String named = request.headers().get(Headers.REQUEST_CLASS);
        RequestClass requestClass = all.requestClass(named != null ? named : firstPart(path));
        if (requestClass == null) {
            return HttpResponseStatus.NOT_FOUND;
        }
        long patience = patience(request.headers().get(Headers.EXPIRES_IN), requestClass);
        if (patience < 0) {
            return HttpResponseStatus.BAD_REQUEST;
        }
        long length = HttpUtil.isTransferEncodingChunked(request) ? -1 : HttpUtil.getContentLength(request, 0L);
        if (length > Body.LARGEST) {
            return HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
        }
        if (all.crowded()) {
            keepAlive = false;
            return HttpResponseStatus.SERVICE_UNAVAILABLE;
        }
        exchange = new Exchange(ids.get(0), requestClass.name(), request.method(), request.uri(), request.headers(),
            patience, new Body(all.budget, length), this);
        return null;
    }

    /** How long the caller waits; without its word as long as its class does; below 0 where it makes no sense. */
    private static long patience(String seconds, RequestClass requestClass) {
        if (seconds == null) {
            return requestClass.deadline();
        }
        try {
            double given = Double.parseDouble(seconds.trim());
            return given >= 0 ? (long) Math.min(LONGEST_PATIENCE, given * SECOND) : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private static String firstPart(String path) {
        int start = path.startsWith("/") ? 1 : 0;
        int end = path.indexOf('/', start);
        return path.substring(start, end < 0 ? path.length() : end);
    }

    private void content(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (state == State.RECEIVING && exchange != null) {
            if (exchange.body.size() + content.content().readableBytes() > Body.LARGEST) {
                answer(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, 0);
            } else if (!exchange.body.add(content.content())) {
                // Nothing of it was sent on, so the client may try again when there is room.
                answer(HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
            }
        }
        if (!last) {
            return;
        }
        if (state == State.SKIPPING) {
            answered();
        } else if (state == State.RECEIVING && all.dispatcher.holds(exchange.id)) {
            answer(HttpResponseStatus.BAD_REQUEST, 0);
            answered();
        } else if (state == State.RECEIVING) {
            enter(State.WAITING);
            all.dispatcher.arrived(exchange);
        }
    }

    private void malformed(Throwable cause) {
        keepAlive = false;
        HttpResponseStatus status = HttpResponseStatus.BAD_REQUEST;
        if (cause instanceof TooLongHttpLineException) {
            status = HttpResponseStatus.REQUEST_URI_TOO_LONG;
        } else if (cause instanceof TooLongHttpHeaderException) {
            status = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        boolean answered = state == State.SKIPPING;
        if (!answered) {
            state = State.RECEIVING;
            answer(status, 0);
        }
        // Where the next request would begin is not known: no more is read from this client.
        linger();
    }

    // ---- answers ----

    void served(ServerAnswer answer) {
        ByteBuf body = answer.body().size() > 0 ? answer.body().whole() : Unpooled.EMPTY_BUFFER;
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(version, HttpResponseStatus.OK, body);
        if (answer.contentType() != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
        }
        finish(response);
    }

    void refused(long retryAfter) {
        answer(HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfter);
    }

    void failed(boolean late) {
        answer(late ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY, 0);
    }

    private void answer(HttpResponseStatus status, long retryAfter) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(version, status, Unpooled.EMPTY_BUFFER);
        if (retryAfter > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, Headers.seconds(retryAfter));
        }
        finish(response);
    }

    private void finish(DefaultFullHttpResponse response) {
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        HttpUtil.setKeepAlive(response, keepsAlive());
        sent(channel.writeAndFlush(response));
        if (state == State.RECEIVING) {
            if (exchange != null) {
                exchange.body.release();
                exchange = null;
            }
            enter(State.SKIPPING);
        } else {
            answered();
        }
    }

    private boolean keepsAlive() {
        keepAlive &= !all.draining();
        return keepAlive;
    }

    private void sent(ChannelFuture write) {
        unread++;
        unreadSince = all.clock.now();
        write.addListener(f -> unread--);
    }

    /** The request is dealt with, its last byte has been read. */
    private void answered() {
        exchange = null;
        if (keepAlive) {
            enter(State.IDLE);
            if (ahead.isEmpty()) {
                channel.config().setAutoRead(true);
            } else {
                channel.eventLoop().execute(this::goOn);
            }
        } else {
            linger();
        }
    }

    /**
     * Ends the connection so that the answer still reaches the client: closing with bytes unread would reset it
     * and take the answer along.
     */
    private void linger() {
        enter(State.CLOSING);
        ahead.forEach(ReferenceCountUtil::release);
        ahead.clear();
        channel.config().setAutoRead(true);
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> channel.shutdownOutput());
    }

    // ---- ends ----

    void checkProgress(long now) {
        long spent = now - since;
        switch (state) {
            case IDLE -> {
                if (headSince > 0 && now - headSince > LONGEST_HEAD) {
                    keepAlive = false;
                    state = State.RECEIVING;
                    answer(HttpResponseStatus.REQUEST_TIMEOUT, 0);
                    linger();
                } else if (headSince == 0 && spent > LONGEST_IDLE) {
                    close();
                }
            }
            case RECEIVING, SKIPPING -> {
                if (spent > BODY_GRACE + received * SECOND / SLOWEST_BODY_PER_SECOND) {
                    keepAlive = false;
                    if (state == State.RECEIVING) {
                        answer(HttpResponseStatus.REQUEST_TIMEOUT, 0);
                    }
                    linger();
                }
            }
            case CLOSING -> {
                if (spent > LINGER && unread == 0) {
                    close();
                }
            }
            case WAITING -> { }
        }
        if ((unread > 0 || !channel.isWritable()) && now - unreadSince > LONGEST_UNREAD) {
            close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        State before = state;
        state = State.CLOSING;
        all.closed(this);
        ahead.forEach(ReferenceCountUtil::release);
        ahead.clear();
        if (before == State.WAITING) {
            all.dispatcher.clientGone(exchange);
        } else if (exchange != null) {
            exchange.body.release();
        }
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
