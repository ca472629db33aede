package onyxpaddle.watch;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import onyxpaddle.node.FatalErrors;

/**
 * Client for long polling of one HTTP server: one GET at a time over a persistent connection. Each call has time-outs for connecting, for
 * the first byte of the answer, for a stall within the answer and for the whole answer. A call whose answer is late may be left to go on
 * for a while, so that the caller can make another one beside it. It ends exactly once, in an answer or a failure, or in neither if
 * {@link #disconnect} is called first. Confined to the event loop.
 */
public final class WatchClient {
    /** Time-out between two reads of an answer that has begun. */
    private static final int STALL_TIMEOUT_MS = 400;
    /** Time-out for an answer from its first byte on; the caller's time-out for the whole answer applies as well. */
    private static final int ANSWER_TIMEOUT_MS = 1500;
    private static final int CONNECT_TIMEOUT_MS = 500;

    /** Receives the outcome of each call, on the event loop. */
    public interface Listener {
        /** An answer of any status; its buffer is released when this method returns. */
        void answered(FullHttpResponse response);

        /** There is no answer, for this reason; {@code refused}: no connection could be established. */
        void failed(String reason, boolean refused);

        /** The answer is late, for this reason; the call goes on. At most once per call, and only if the call has patience. */
        default void late(String reason) {
        }
    }

    /**
     * The time-outs of a call, in milliseconds. The first two start when the request is written.
     *
     * @param firstByteMs time-out for the first byte of the answer
     * @param totalMs time-out for the whole answer
     * @param patienceMs how long a late answer may go on; 0 to fail the call at once
     */
    public record Timeouts(int firstByteMs, int totalMs, int patienceMs) {
    }

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final String host;
    private final Listener listener;
    private Channel channel;
    private Future<?> timeout;
    /** A call is in progress. */
    private boolean calling;
    /** When the first byte of the current answer arrived; 0 before. */
    private long firstByteAt;
    /** When the current answer is late if it is not complete. */
    private long answerDeadline;
    private int patienceMs;
    private boolean late;

    /** {@code maxAnswer}: maximum size of an answer's body in bytes; bounds the memory that a faulty server can make the caller use. */
    public WatchClient(EventLoop loop, ByteBufAllocator allocator, InetSocketAddress address, int maxAnswer, Listener listener) {
        this.loop = loop;
        this.listener = listener;
        host = address.getAddress().getHostAddress() + ":" + address.getPort();
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .remoteAddress(address)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel ch) {
                    ch.pipeline().addLast(new ProgressHandler(), new HttpClientCodec(), new HttpObjectAggregator(maxAnswer),
                        new AnswerHandler());
                }
            });
    }

    /** Makes a call; the previous one must have ended. */
    public void call(String uri, Timeouts timeouts) {
        calling = true;
        if (channel != null && channel.isActive()) {
            write(uri, timeouts);
            return;
        }
        ChannelFuture connect = bootstrap.connect();
        channel = connect.channel();
        connect.addListener(f -> {
            if (channel != connect.channel()) {
                connect.channel().close();
            } else if (f.isSuccess()) {
                write(uri, timeouts);
            } else {
                failed(connect.channel(), "cannot connect", true);
            }
        });
    }

    /** Closes the connection; a call in progress ends without notice, and the next call opens a new connection. */
    public void disconnect() {
        calling = false;
        stopTimeout();
        if (channel != null) {
            Channel closing = channel;
            channel = null;
            closing.close();
        }
    }

    private void write(String uri, Timeouts timeouts) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, host);
        Channel on = channel;
        firstByteAt = 0;
        patienceMs = timeouts.patienceMs();
        late = false;
        answerDeadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeouts.totalMs());
        timeout = loop.schedule(() -> timedOut(on, "no answer"), timeouts.firstByteMs(), TimeUnit.MILLISECONDS);
        on.writeAndFlush(request);
    }

    private void timedOut(Channel on, String reason) {
        if (late || patienceMs == 0 || !calling || on != channel) {
            failed(on, reason, false);
            return;
        }
        late = true;
        timeout = loop.schedule(() -> timedOut(on, reason), patienceMs, TimeUnit.MILLISECONDS);
        listener.late(reason);
    }

    private void failed(Channel on, String reason, boolean refused) {
        if (!calling || on != channel) {
            return;
        }
        disconnect();
        listener.failed(reason, refused);
    }

    private void stopTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }

    private void answered(Channel on, FullHttpResponse response) {
        if (!calling || on != channel || timeout == null) {
            on.close();
            return;
        }
        if (response.status().code() == 200 && response.decoderResult().isFailure()) {
            failed(on, "the answer cannot be decoded", false);
            return;
        }
        calling = false;
        stopTimeout();
        if (!HttpUtil.isKeepAlive(response)) {
            channel = null;
            on.close();
        }
        listener.answered(response);
    }

    /**
     * Enforces the time-outs of an answer that has begun. Guards against an answer that stalls, or arrives in small pieces, while the
     * change in it is due at the node. Drawback: the answer of a healthy server that pauses for that long counts as late.
     */
    private final class ProgressHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (timeout != null && !late && context.channel() == channel) {
                long now = System.nanoTime();
                firstByteAt = firstByteAt == 0 ? now : firstByteAt;
                long remaining = Math.min(ANSWER_TIMEOUT_MS - TimeUnit.NANOSECONDS.toMillis(now - firstByteAt),
                    TimeUnit.NANOSECONDS.toMillis(answerDeadline - now));
                stopTimeout();
                timeout = loop.schedule(() -> timedOut(context.channel(), "the answer stalled"),
                    Math.max(0, Math.min(STALL_TIMEOUT_MS, remaining)), TimeUnit.MILLISECONDS);
            }
            context.fireChannelRead(message);
        }
    }

    private final class AnswerHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            answered(context.channel(), response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (timeout != null) {
                failed(context.channel(), "connection closed", false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            FatalErrors.check("watch", cause);
            context.close();
        }
    }
}
