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

/**
 * Calls one HTTP server, one GET at a time, over a connection that is kept from call to call. Each call has a bound for the connection,
 * for the answer's first byte, for a stall within it and for the whole of it; it ends in an answer or a failure, once, and neither after
 * {@link #disconnect} or {@link #stop}. All of it happens on the event loop.
 */
public final class WatchClient {
    /** How long an answer that has begun may bring nothing, and how long it may take from then on; the caller bounds the whole. */
    private static final int STALL_MS = 400;
    private static final int LONGEST_ANSWER_MS = 1500;
    private static final int CONNECT_MS = 500;

    /** Hears how calls end, on the event loop. */
    public interface Listener {
        /** The answer, of any status; its buffer is released when this returns. */
        void answered(FullHttpResponse response);

        /** No answer, for this reason; {@code turnedAway}: there was no connection. */
        void failed(String why, boolean turnedAway);
    }

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final String host;
    private final Listener listener;
    private Channel channel;
    private Future<?> timeout;
    /** A call has been made and has not ended. */
    private boolean calling;
    /** When the first byte of the answer at hand came; 0 before. */
    private long beganAt;
    /** When the answer at hand has to be whole. */
    private long wholeBy;

    /** {@code largestAnswer}: bytes of an answer's body beyond which it counts as broken; bounds what the caller can be made to hold. */
    public WatchClient(EventLoop loop, ByteBufAllocator allocator, InetSocketAddress address, int largestAnswer, Listener listener) {
        this.loop = loop;
        this.listener = listener;
        host = address.getAddress().getHostAddress() + ":" + address.getPort();
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
            .remoteAddress(address)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel ch) {
                    ch.pipeline().addLast(new Progress(), new HttpClientCodec(), new HttpObjectAggregator(largestAnswer), new Answers());
                }
            });
    }

    /**
     * Makes a call; the one before has ended. Both times count from when the request is written.
     *
     * @param patienceMs how long the first byte of the answer may take
     * @param wholeByMs how long the whole answer may take
     */
    public void call(String uri, int patienceMs, int wholeByMs) {
        calling = true;
        if (channel != null && channel.isActive()) {
            write(uri, patienceMs, wholeByMs);
            return;
        }
        ChannelFuture dial = bootstrap.connect();
        channel = dial.channel();
        dial.addListener(f -> {
            if (channel != dial.channel()) {
                dial.channel().close();
            } else if (f.isSuccess()) {
                write(uri, patienceMs, wholeByMs);
            } else {
                failed(dial.channel(), "cannot connect", true);
            }
        });
    }

    /** Lets go of the connection; a call that is out ends without a word, and the next one connects anew. */
    public void disconnect() {
        calling = false;
        stopTimeout();
        if (channel != null) {
            Channel dropped = channel;
            channel = null;
            dropped.close();
        }
    }

    private void write(String uri, int patienceMs, int wholeByMs) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, host);
        Channel on = channel;
        beganAt = 0;
        long now = System.nanoTime();
        wholeBy = now + TimeUnit.MILLISECONDS.toNanos(wholeByMs);
        timeout = loop.schedule(() -> failed(on, "no answer", false), patienceMs, TimeUnit.MILLISECONDS);
        on.writeAndFlush(request);
    }

    /** Ends a call that brought nothing. */
    private void failed(Channel on, String why, boolean turnedAway) {
        if (!calling || on != channel) {
            return;
        }
        disconnect();
        listener.failed(why, turnedAway);
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
            failed(on, "answered 200", false);
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
     * Watches bytes as they come. Guards against an answer that begins and stalls, which would be waited for while what it
     * tells counts as told; should cover one that trickles, too. It does harm where a sound server pauses that long.
     */
    private final class Progress extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (timeout != null && context.channel() == channel) {
                long now = System.nanoTime();
                beganAt = beganAt == 0 ? now : beganAt;
                long left = Math.min(LONGEST_ANSWER_MS - TimeUnit.NANOSECONDS.toMillis(now - beganAt),
                    TimeUnit.NANOSECONDS.toMillis(wholeBy - now));
                stopTimeout();
                timeout = loop.schedule(() -> failed(context.channel(), "the answer stalls", false),
                    Math.max(0, Math.min(STALL_MS, left)), TimeUnit.MILLISECONDS);
            }
            context.fireChannelRead(message);
        }
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            answered(context.channel(), response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (timeout != null) {
                failed(context.channel(), "connection broke", false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
