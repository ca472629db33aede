package onyxpaddle.scale;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategyFactory;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.spi.SelectorProvider;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * The least that can answer a call: the same small answer to each head, from one loop that never sleeps, so that its wake-ups are
 * not in what is measured. It listens twice: at once, and after a delay (a fault to be found).
 */
public final class OpenLoadServer implements AutoCloseable {
    /** What each answer carries: 64 bytes. */
    static final byte[] BODY = ("x".repeat(63) + "\n").getBytes(StandardCharsets.US_ASCII);
    private static final byte[] HEAD = ("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + BODY.length + "\r\n\r\n")
        .getBytes(StandardCharsets.US_ASCII);
    private static final byte[] HEAD_END = {'\r', '\n', '\r', '\n'};

    /** Always looks and never waits. */
    private static final SelectStrategyFactory NEVER_WAITS = () -> (supplier, hasTasks) -> supplier.get();

    private final MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory(SelectorProvider.provider(), NEVER_WAITS));
    private final InetSocketAddress prompt;
    private final InetSocketAddress delayed;

    /** Listens on two ports of loopback that the system chooses; {@code delayMicros}: of the second. */
    public OpenLoadServer(long delayMicros) throws InterruptedException {
        prompt = listen(0);
        delayed = listen(delayMicros);
    }

    private InetSocketAddress listen(long delayMicros) throws InterruptedException {
        return (InetSocketAddress) new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(new Answers(delayMicros));
                }
            }).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).sync().channel().localAddress();
    }

    /** Where it answers at once. */
    public InetSocketAddress prompt() {
        return prompt;
    }

    /** Where it answers after its delay. */
    public InetSocketAddress delayed() {
        return delayed;
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** One for each connection: finds the ends of heads without a body, also where one comes in pieces. */
    private static final class Answers extends ChannelInboundHandlerAdapter {
        private final long delayMicros;
        private int matched;

        Answers(long delayMicros) {
            this.delayMicros = delayMicros;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            try {
                while (bytes.isReadable()) {
                    byte next = bytes.readByte();
                    matched = next == HEAD_END[matched] ? matched + 1 : next == HEAD_END[0] ? 1 : 0;
                    if (matched == HEAD_END.length) {
                        matched = 0;
                        answer(context);
                    }
                }
            } finally {
                bytes.release();
            }
        }

        private void answer(ChannelHandlerContext context) {
            if (delayMicros == 0) {
                write(context);
            } else {
                context.executor().schedule(() -> write(context), delayMicros, TimeUnit.MICROSECONDS);
            }
        }

        private static void write(ChannelHandlerContext context) {
            byte[] answer = Arrays.copyOf(HEAD, HEAD.length + BODY.length);
            System.arraycopy(BODY, 0, answer, HEAD.length, BODY.length);
            context.writeAndFlush(Unpooled.wrappedBuffer(answer), context.voidPromise());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Runs one until its standard input ends; says both ports in one line. {@code args}: the delay in microseconds. */
    public static void main(String[] args) throws Exception {
        try (OpenLoadServer server = new OpenLoadServer(args.length == 0 ? 0 : Long.parseLong(args[0]))) {
            System.out.println(server.prompt().getPort() + " " + server.delayed().getPort());
            while (System.in.read() >= 0) {
                // Whoever started it holds the other end.
            }
        }
    }
}
