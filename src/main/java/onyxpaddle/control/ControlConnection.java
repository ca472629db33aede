package onyxpaddle.control;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import onyxpaddle.node.FatalErrors;

/**
 * A caller's connection, with one request at a time. After it is opened or an answer is written, the caller has
 * {@link #REQUEST_TIMEOUT_SECONDS} to read the answer and to send a complete next request, head and body; else it is closed.
 */
final class ControlConnection extends ChannelInboundHandlerAdapter {
    /** Nodes and replicas send their next request at once; this leaves time for manual requests, such as with curl. */
    static final int REQUEST_TIMEOUT_SECONDS = 30;
    /** How long input is discarded after the last answer, as closing with unread input resets the connection and loses the answer. */
    static final int LINGER_SECONDS = 1;

    /** Handles requests. Called on the event loop only. */
    interface RequestHandler {
        /** Handles a complete request; must be answered exactly once through {@link ControlConnection#answer}. */
        void handle(ControlConnection connection, HttpMethod method, String uri, byte[] body);

        /** Returns false if the maximum number of request bodies is already buffered. */
        boolean tryAcquireBody();

        void releaseBody();

        /** Called when the connection has closed; its pending long poll must be removed. */
        void onDisconnect(ControlConnection connection);
    }

    private final RequestHandler requestHandler;
    private ChannelHandlerContext context;
    private Future<?> requestTimeout;
    private HttpRequest request;
    private ByteArrayOutputStream body;
    private boolean requestInProgress;
    /** The last answer has been given; further input is discarded. */
    private boolean lingering;

    ControlConnection(RequestHandler requestHandler) {
        this.requestHandler = requestHandler;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        startRequestTimeout();
    }

    private void startRequestTimeout() {
        requestTimeout = context.executor().schedule(() -> context.close(), REQUEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (lingering || !ctx.channel().isActive() || request == null && !(message instanceof HttpRequest)) {
                return;
            }
            if (message instanceof HttpRequest head) {
                onHead(head);
            }
            if (request != null && message instanceof HttpContent content) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(HttpRequest head) {
        if (requestInProgress) {
            // Pipelining is not supported; no known client uses it.
            context.close();
            return;
        }
        request = head;
        requestInProgress = true;
        if (head.decoderResult().isFailure()) {
            rejectAndClose(Answer.refused(Answer.BAD_REQUEST, "not an HTTP/1.1 request, or its head is too long"));
        } else if (HttpUtil.isTransferEncodingChunked(head) || HttpUtil.getContentLength(head, 0L) > 0) {
            startBody(head);
        }
    }

    private void startBody(HttpRequest head) {
        if (HttpUtil.getContentLength(head, 0L) > ChangeJson.MAX_BYTES) {
            rejectAndClose(Answer.refused(Answer.TOO_LARGE, "the body exceeds " + ChangeJson.MAX_BYTES + " bytes"));
        } else if (!requestHandler.tryAcquireBody()) {
            rejectAndClose(Answer.busy("too many changes are being received", 0));
        } else {
            body = new ByteArrayOutputStream();
            if (HttpUtil.is100ContinueExpected(head)) {
                context.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            rejectAndClose(Answer.refused(Answer.BAD_REQUEST, "the body is malformed"));
            return;
        }
        if (body != null && !append(content.content())) {
            rejectAndClose(Answer.refused(Answer.TOO_LARGE, "the body exceeds " + ChangeJson.MAX_BYTES + " bytes"));
            return;
        }
        if (content instanceof LastHttpContent) {
            requestTimeout.cancel(false);
            byte[] bytes = body == null ? new byte[0] : body.toByteArray();
            discardBody();
            HttpRequest complete = request;
            requestHandler.handle(this, complete.method(), complete.uri(), bytes);
        }
    }

    private boolean append(ByteBuf bytes) {
        if (body.size() + bytes.readableBytes() > ChangeJson.MAX_BYTES) {
            return false;
        }
        try {
            bytes.readBytes(body, bytes.readableBytes());
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory", e);
        }
        return true;
    }

    private void discardBody() {
        if (body != null) {
            body = null;
            requestHandler.releaseBody();
        }
    }

    /** Answers an incomplete request and closes the connection, as the bytes that follow can't be parsed as a request. */
    private void rejectAndClose(Answer answer) {
        discardBody();
        requestTimeout.cancel(false);
        write(answer, false);
        request = null;
    }

    /** Answers the current request; does nothing if the connection has closed. */
    void answer(Answer answer) {
        if (request == null || !context.channel().isActive()) {
            return;
        }
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        request = null;
        write(answer, keepAlive);
    }

    private void write(Answer answer, boolean keepAlive) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()),
            Unpooled.wrappedBuffer(answer.body()));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
        if (answer.retryAfterSeconds() > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, answer.retryAfterSeconds());
        }
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
        }
        requestInProgress = !keepAlive;
        ChannelFuture written = context.writeAndFlush(response);
        if (keepAlive) {
            startRequestTimeout();
        } else {
            linger(written);
        }
    }

    private void linger(ChannelFuture lastWrite) {
        lingering = true;
        lastWrite.addListener(f -> {
            if (context.channel() instanceof DuplexChannel socket) {
                socket.shutdownOutput();
            }
        });
        requestTimeout = context.executor().schedule(() -> context.close(), LINGER_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        requestTimeout.cancel(false);
        discardBody();
        request = null;
        requestHandler.onDisconnect(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        FatalErrors.check("control connection", cause);
        ctx.close();
    }
}
