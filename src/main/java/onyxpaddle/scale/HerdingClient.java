package onyxpaddle.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import onyxpaddle.membership.RosterJson;
import onyxpaddle.node.ServerList;

/** The fault {@link SeededFault#HERD}: a client without jitter, that calls again at the machine's next whole second after a failed call. */
final class HerdingClient implements ListClient {
    private static final long SECOND = 1_000_000_000L;
    private static final int WAIT_MS = 2_000;
    private static final int LARGEST_ANSWER = 8 << 20;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Consumer<ServerList> onList;
    private Channel channel;
    private long held;
    private boolean stopped;

    HerdingClient(EventLoop loop, InetSocketAddress address, Consumer<ServerList> onList) {
        this.loop = loop;
        this.address = address;
        this.onList = onList;
    }

    @Override
    public void start() {
        call();
    }

    @Override
    public void subscribe() {
        // It calls by itself.
    }

    @Override
    public void stop() {
        stopped = true;
        if (channel != null) {
            channel.close();
        }
    }

    private void call() {
        if (stopped) {
            return;
        }
        if (channel != null && channel.isActive()) {
            write();
            return;
        }
        ChannelFuture dial = new Bootstrap().group(loop).channel(NioSocketChannel.class).handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel opened) {
                opened.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(LARGEST_ANSWER), new Answers());
            }
        }).connect(address);
        channel = dial.channel();
        dial.addListener(done -> {
            if (done.isSuccess()) {
                write();
            } else {
                later();
            }
        });
    }

    private void write() {
        String uri = "/v1/endpoints" + (held == 0 ? "" : "?after=" + held + "&wait_ms=" + WAIT_MS);
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, address.getHostString());
        channel.writeAndFlush(request);
    }

    private void later() {
        loop.schedule(this::call, SECOND - System.nanoTime() % SECOND, TimeUnit.NANOSECONDS);
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) throws IOException {
            if (response.status().code() != 200) {
                later();
                return;
            }
            ServerList roster = RosterJson.parse(ByteBufUtil.getBytes(response.content())).list();
            held = roster.seq();
            onList.accept(roster);
            call();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            later();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
