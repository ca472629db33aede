package onyxpaddle.control;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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

/**
 * A caller's connection: one call at a time. From its start, or from the moment an answer is written, the caller has
 * {@link #CALL_WITHIN_SECONDS} to take the answer and to send its next call whole, head and body; else the connection is closed.
 */
final class ControlConnection extends ChannelInboundHandlerAdapter {
    /** Callers call again at once; a person's curl within this time. */
    static final int CALL_WITHIN_SECONDS = 30;

    /** Takes calls. All on the event loop. */
    interface Calls {
        /** A whole call; to be answered by {@link ControlConnection#answer} once. */
        void call(ControlConnection connection, HttpMethod method, String uri, byte[] body);

        /** Whether a body may be taken now: the most that are held at once are bounded. */
        boolean openBody();

        void closeBody();

        /** The connection has ended; what it waits for is to be forgotten. */
        void ended(ControlConnection connection);
    }

    private final Calls calls;
    private ChannelHandlerContext context;
    private Future<?> deadline;
    private HttpRequest request;
    private ByteArrayOutputStream body;
    private boolean answering;

    ControlConnection(Calls calls) {
        this.calls = calls;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        awaitCall();
    }

    private void awaitCall() {
        deadline = context.executor().schedule(() -> context.close(), CALL_WITHIN_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (!ctx.channel().isActive() || request == null && !(message instanceof HttpRequest)) {
                return;
            }
            if (message instanceof HttpRequest head) {
                begin(head);
            }
            if (request != null && message instanceof HttpContent content) {
                goOn(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(HttpRequest head) {
        if (answering) {
            // A second call before the first one's answer: none of the callers does so.
            context.close();
            return;
        }
        request = head;
        answering = true;
        if (head.decoderResult().isFailure()) {
            refuse(Answer.refused(Answer.BAD_REQUEST, "no HTTP/1.1 request, or one with too long a head"));
        } else if (HttpUtil.isTransferEncodingChunked(head) || HttpUtil.getContentLength(head, 0L) > 0) {
            beginBody(head);
        }
    }

    private void beginBody(HttpRequest head) {
        if (HttpUtil.getContentLength(head, 0L) > ChangeJson.MAX_BYTES) {
            refuse(Answer.refused(Answer.TOO_LARGE, "a body of more than " + ChangeJson.MAX_BYTES + " bytes"));
        } else if (!calls.openBody()) {
            refuse(Answer.busy("other changes are being taken", 0));
        } else {
            body = new ByteArrayOutputStream();
            if (HttpUtil.is100ContinueExpected(head)) {
                context.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }
    }

    private void goOn(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            refuse(Answer.refused(Answer.BAD_REQUEST, "the body is malformed"));
            return;
        }
        if (body != null && !append(content.content())) {
            refuse(Answer.refused(Answer.TOO_LARGE, "a body of more than " + ChangeJson.MAX_BYTES + " bytes"));
            return;
        }
        if (content instanceof LastHttpContent) {
            deadline.cancel(false);
            byte[] bytes = body == null ? new byte[0] : body.toByteArray();
            endBody();
            HttpRequest whole = request;
            calls.call(this, whole.method(), whole.uri(), bytes);
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

    private void endBody() {
        if (body != null) {
            body = null;
            calls.closeBody();
        }
    }

    /** Answers a call that has not come whole, and closes: what follows can't be read as a call. */
    private void refuse(Answer answer) {
        endBody();
        deadline.cancel(false);
        write(answer, false);
        request = null;
    }

    /** Answers the call at hand; without effect where the connection has ended. */
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
        answering = !keepAlive;
        awaitCall();
        ChannelFuture written = context.writeAndFlush(response);
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        deadline.cancel(false);
        endBody();
        request = null;
        calls.ended(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
