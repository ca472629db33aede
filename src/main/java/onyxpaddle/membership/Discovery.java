package onyxpaddle.membership;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
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
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import onyxpaddle.node.Log;
import onyxpaddle.node.Roster;

/**
 * Keeps the list of servers up to date: one call at a time, each a watch from the version held, the next at once
 * after each answer so that the watch goes on. The waits are short, as what a stalled call has to tell counts as
 * told soon after its wait. Where lists are pushed it goes on by itself; where discovery is asked it calls when
 * the module subscribes, and tells it when that failed.
 */
public final class Discovery {
    /** How long an answer that has begun may bring nothing, and how long it may take from then on; {@link ListWatch} bounds the whole. */
    private static final int STALL_MS = 400;
    private static final int LONGEST_ANSWER_MS = 1500;
    private static final int CONNECT_MS = 500;
    /** Some 10,000 servers, indented and with long names. It bounds what an answer without end can make the node hold. */
    private static final int LARGEST_ANSWER = 8 << 20;
    /** Between calls that tell nothing and come back at once; within the 200 ms that a watch goes on. */
    private static final int PAUSE_MS = 100;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final String host;
    private final boolean asked;
    private final Consumer<Roster> onList;
    private final Runnable onRefused;
    private Channel channel;
    private Future<?> timeout;
    private Future<?> nextCall;
    private boolean calling;
    private boolean stopped;
    private long calledAt;
    /** When the first byte of the answer at hand came; 0 before. */
    private long beganAt;
    /** When the answer at hand has to be whole. */
    private long wholeBy;
    private final ListWatch watch;

    /**
     * {@code asked}: discovery is one service that all nodes ask; {@code seq}: the version held; {@code holdsAny}: the node holds servers
     * now, so that a whole list without any is not believed.
     */
    public Discovery(EventLoop loop, ByteBufAllocator allocator, InetSocketAddress address, boolean asked, long seq, boolean holdsAny,
            Consumer<Roster> onList, Runnable onRefused) {
        this.loop = loop;
        this.asked = asked;
        this.watch = new ListWatch(asked, seq, holdsAny, ThreadLocalRandom.current());
        this.onList = onList;
        this.onRefused = onRefused;
        host = address.getAddress().getHostAddress() + ":" + address.getPort();
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
            .remoteAddress(address)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel ch) {
                    ch.pipeline().addLast(new Progress(), new HttpClientCodec(), new HttpObjectAggregator(LARGEST_ANSWER),
                        new Answers());
                }
            });
    }

    public void start() {
        if (!asked) {
            call();
        }
    }

    /**
     * Starts in the place of another discovery. Its version numbers are its own, so the whole list is asked for, and
     * at once, also where the module asks: what it has to tell counts as told soon after the change.
     */
    public void startAnew() {
        watch.anew();
        call();
    }

    /** Ends it for good: no call is made, and no answer taken, after this. */
    public void stop() {
        stopped = true;
        calling = false;
        stopTimeout();
        if (nextCall != null) {
            nextCall.cancel(false);
        }
        if (channel != null) {
            channel.close();
            channel = null;
        }
    }

    /** The module asks for changes from now on. */
    public void subscribe() {
        if (!calling) {
            call();
        }
    }

    private void call() {
        if (stopped) {
            return;
        }
        calling = true;
        calledAt = System.nanoTime();
        if (channel != null && channel.isActive()) {
            write();
            return;
        }
        ChannelFuture dial = bootstrap.connect();
        channel = dial.channel();
        dial.addListener(f -> {
            if (channel != dial.channel()) {
                dial.channel().close();
            } else if (f.isSuccess()) {
                write();
            } else {
                failed(dial.channel(), "cannot connect", true);
            }
        });
    }

    private void write() {
        String uri = "/v1/endpoints" + (watch.asksForAll() ? "" : "?after=" + watch.seq() + "&wait_ms=" + watch.waitMs());
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri,
            Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, host);
        Channel on = channel;
        beganAt = 0;
        long now = System.nanoTime();
        wholeBy = now + TimeUnit.MILLISECONDS.toNanos(watch.wholeByMs());
        timeout = loop.schedule(() -> failed(on, "no answer"), watch.patienceMs(), TimeUnit.MILLISECONDS);
        on.writeAndFlush(request);
    }

    private void failed(Channel on, String why) {
        failed(on, why, false);
    }

    /** Ends a call that brought nothing; what is held stays valid. {@code turnedAway}: discovery has too much to do. */
    private void failed(Channel on, String why, boolean turnedAway) {
        if (!calling || on != channel) {
            return;
        }
        calling = false;
        stopTimeout();
        channel = null;
        on.close();
        if (watch.failures() == 0) {
            Log.line("discovery: " + why);
        }
        int pause = watch.failed(turnedAway);
        if (pause == ListWatch.MODULE) {
            onRefused.run();
        } else {
            later(pause);
        }
    }

    private void later(int millis) {
        calling = true;
        nextCall = loop.schedule(this::call, millis, TimeUnit.MILLISECONDS);
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
        if (response.status().code() != 200 || response.decoderResult().isFailure()) {
            failed(on, "answered " + response.status().code(), response.status().code() != 200);
            return;
        }
        Roster roster;
        try {
            roster = RosterJson.parse(ByteBufUtil.getBytes(response.content()));
        } catch (IOException e) {
            watch.unreadable();
            failed(on, "not a list");
            return;
        }
        int failures = watch.failures();
        String fault = watch.judge(roster.whole(), roster.seq(), roster.hosts().isEmpty());
        if (fault != null) {
            failed(on, fault);
            return;
        }
        stopTimeout();
        if (failures > 0) {
            Log.line("discovery: answers again after " + failures + " failed calls");
        }
        if (!HttpUtil.isKeepAlive(response)) {
            channel = null;
            on.close();
        }
        onList.accept(roster);
        boolean idle = roster.hosts().isEmpty()
            && System.nanoTime() - calledAt < TimeUnit.MILLISECONDS.toNanos(PAUSE_MS);
        later(idle ? PAUSE_MS : 0);
    }

    /**
     * Watches bytes as they come. Guards against an answer that begins and stalls, which would be waited for while what it
     * tells counts as told; should cover one that trickles, too. It does harm where a sound discovery pauses that long.
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
                timeout = loop.schedule(() -> failed(context.channel(), "the list stalls"), Math.max(0, Math.min(STALL_MS, left)),
                    TimeUnit.MILLISECONDS);
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
                failed(context.channel(), "connection broke");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
