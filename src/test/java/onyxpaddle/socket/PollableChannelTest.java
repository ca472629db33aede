package onyxpaddle.socket;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import onyxpaddle.node.Sockets;
import onyxpaddle.socket.PollableChannel.Found;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** All looks are made on a loop that does nothing else meanwhile, so that its own reads come after them. */
class PollableChannelTest {
    private static final int PATIENCE_S = 20;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ByteArrayOutputStream read = new ByteArrayOutputStream();
    private final CompletableFuture<byte[]> ended = new CompletableFuture<>();
    private PollableChannel channel;
    private Socket peer;

    @BeforeEach
    void connect() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            channel = (PollableChannel) new Bootstrap().group(group).channel(PollableChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(Sockets.READ_SIZE))
                .handler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
                        ByteBuf bytes = (ByteBuf) message;
                        bytes.readBytes(read, bytes.readableBytes());
                        bytes.release();
                    }

                    @Override
                    public void channelInactive(ChannelHandlerContext context) {
                        ended.complete(read.toByteArray());
                    }
                }).connect(listener.getInetAddress(), listener.getLocalPort()).sync().channel();
            peer = listener.accept();
        }
    }

    @AfterEach
    void stop() throws Exception {
        peer.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return channel.eventLoop().submit(task).get(PATIENCE_S, TimeUnit.SECONDS);
    }

    /** What the first look finds that finds anything. */
    private Found awaitSomething() {
        Found found = channel.poll();
        while (found == Found.NOTHING) {
            found = channel.poll();
        }
        return found;
    }

    @Test
    void findsNothingWhereNothingCame() throws Exception {
        assertEquals(Found.NOTHING, onLoop(channel::poll));
        assertTrue(channel.isActive());
    }

    @Test
    void bytesThatAreFoundGoThroughThePipelineOnceAndInOrder() throws Exception {
        byte[] sent = new byte[300_000];
        new Random(1).nextBytes(sent);
        CompletableFuture<Void> writing = new CompletableFuture<>();
        Thread writer = new Thread(() -> {
            try {
                for (int at = 0; at < sent.length; at += 1000) {
                    peer.getOutputStream().write(sent, at, 1000);
                }
                peer.shutdownOutput();
                writing.complete(null);
            } catch (java.io.IOException e) {
                writing.completeExceptionally(e);
            }
        });
        writer.start();
        int seen = 0;
        while (!ended.isDone()) {
            seen += onLoop(channel::poll) == Found.BYTES ? 1 : 0;
            if (read.size() == sent.length) {
                break;
            }
        }
        writing.get(PATIENCE_S, TimeUnit.SECONDS);
        assertTrue(seen > 0, "no look found anything, so nothing was tested");
        // An end that a look finds takes what it found with it; here all but the last looks come before it.
        byte[] got = read.toByteArray();
        assertTrue(Arrays.equals(got, Arrays.copyOf(sent, got.length)), "other bytes than were sent");
    }

    @Test
    void bytesFoundWhileReadingIsPausedWaitForIt() throws Exception {
        onLoop(() -> channel.config().setAutoRead(false));
        peer.getOutputStream().write(new byte[] {1, 2, 3});
        assertEquals(Found.BYTES, onLoop(this::awaitSomething));
        assertEquals(0, onLoop(read::size));
        onLoop(() -> channel.config().setAutoRead(true));
        while (onLoop(read::size) < 3) {
            Thread.onSpinWait();
        }
        assertTrue(Arrays.equals(new byte[] {1, 2, 3}, read.toByteArray()));
    }

    @Test
    void endIsFoundBehindBytesAndWhileReadingIsPaused() throws Exception {
        onLoop(() -> channel.config().setAutoRead(false));
        peer.getOutputStream().write(new byte[20_000]);
        peer.close();
        onLoop(() -> {
            while (channel.poll() != Found.END) {
                Thread.onSpinWait();
            }
            return null;
        });
        assertFalse(channel.isActive());
        ended.get(PATIENCE_S, TimeUnit.SECONDS);
        assertEquals(Found.END, onLoop(channel::poll));
    }

    @Test
    void resetIsAnEnd() throws Exception {
        peer.setSoLinger(true, 0);
        peer.close();
        assertEquals(Found.END, onLoop(this::awaitSomething));
        ended.get(PATIENCE_S, TimeUnit.SECONDS);
    }

    /** Bounded: a peer that sends without end is not read without end. */
    @Test
    void looksAtSoMuchAndNoMore() throws Exception {
        onLoop(() -> channel.config().setAutoRead(false));
        Thread flood = new Thread(() -> {
            try {
                while (true) {
                    peer.getOutputStream().write(new byte[10_000]);
                }
            } catch (java.io.IOException e) {
                // The test is over.
            }
        });
        flood.start();
        for (int i = 0; i < 1000; i++) {
            onLoop(channel::poll);
        }
        assertEquals(0, onLoop(read::size));
        onLoop(() -> channel.config().setAutoRead(true));
        while (onLoop(read::size) < 200_000) {
            Thread.onSpinWait();
        }
        channel.close().sync();
        flood.join(TimeUnit.SECONDS.toMillis(PATIENCE_S));
    }
}
