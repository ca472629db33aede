package onyxpaddle.socket;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
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
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import onyxpaddle.node.SocketBuffers;
import onyxpaddle.socket.PollableChannel.PollResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** All looks are made on a loop that does nothing else meanwhile, so that its own reads come after them. */
class PollableChannelTest {
    private static final int PATIENCE_S = 20;
    /** Pieces of each length; half of them are found by a look. */
    private static final int PIECES = 20;
    private static final int SMALL_PIECE = 1_000;
    /** More than a look takes in, and less than sockets hold. */
    private static final int LARGE_PIECE = 6 * SocketBuffers.READ_SIZE;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ByteArrayOutputStream read = new ByteArrayOutputStream();
    private final CompletableFuture<byte[]> ended = new CompletableFuture<>();
    private PollableChannel channel;
    private Socket peer;

    @BeforeEach
    void connect() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            channel = (PollableChannel) new Bootstrap().group(group).channel(PollableChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(SocketBuffers.READ_SIZE))
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

    /** What the first look finds that finds anything; nothing where there is none in a long time. */
    private PollResult awaitSomething() {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S / 2);
        PollResult found = channel.poll();
        while (found == PollResult.NOTHING && System.nanoTime() < end) {
            found = channel.poll();
        }
        return found;
    }

    @Test
    void findsNothingWhereNothingCame() throws Exception {
        assertEquals(PollResult.NOTHING, onLoop(channel::poll));
        assertTrue(channel.isActive());
    }

    /**
     * Every second piece is written while the loop stands in a look, so that only the look can find it. The others are left to the loop.
     * The large ones are more than a look takes in: what came early is followed by what is read in its turn.
     */
    @Test
    void bytesThatAreFoundGoThroughThePipelineOnceAndInOrder() throws Exception {
        byte[] sent = new byte[PIECES * (SMALL_PIECE + LARGE_PIECE)];
        new Random(1).nextBytes(sent);
        ExecutorService writer = Executors.newSingleThreadExecutor();
        try {
            int at = 0;
            for (int piece = 0; piece < 2 * PIECES; piece++) {
                int from = at;
                int length = piece / 2 % 2 == 0 ? SMALL_PIECE : LARGE_PIECE;
                Callable<Void> write = () -> {
                    peer.getOutputStream().write(sent, from, length);
                    return null;
                };
                Future<Void> written = piece % 2 == 0 ? writeDuringALook(writer, write) : writer.submit(write);
                at += length;
                written.get(PATIENCE_S, TimeUnit.SECONDS);
                awaitRead(at);
            }
            assertEquals(sent.length, at);
        } finally {
            writer.shutdownNow();
        }
        peer.shutdownOutput();
        assertArrayEquals(sent, ended.get(PATIENCE_S, TimeUnit.SECONDS));
    }

    /** The look begins before the first byte is written, and ends with the loop's turn in which it found some. */
    private Future<Void> writeDuringALook(ExecutorService writer, Callable<Void> write) throws Exception {
        return onLoop(() -> {
            assertEquals(PollResult.NOTHING, channel.poll());
            int before = read.size();
            Future<Void> written = writer.submit(write);
            assertEquals(PollResult.BYTES, awaitSomething());
            assertEquals(before, read.size(), "the pipeline has had them before its turn");
            return written;
        });
    }

    private void awaitRead(int count) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (onLoop(read::size) < count) {
            assertTrue(System.nanoTime() < end, "bytes that were sent are not read");
        }
    }

    @Test
    void bytesFoundWhileReadingIsPausedWaitForIt() throws Exception {
        onLoop(() -> channel.config().setAutoRead(false));
        peer.getOutputStream().write(new byte[] {1, 2, 3});
        assertEquals(PollResult.BYTES, onLoop(this::awaitSomething));
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
            while (channel.poll() != PollResult.END) {
                Thread.onSpinWait();
            }
            return null;
        });
        assertFalse(channel.isActive());
        ended.get(PATIENCE_S, TimeUnit.SECONDS);
        assertEquals(PollResult.END, onLoop(channel::poll));
    }

    @Test
    void resetIsAnEnd() throws Exception {
        peer.setSoLinger(true, 0);
        // The loop stands meanwhile, so that a look is the first to meet it.
        PollResult found = onLoop(() -> {
            assertEquals(PollResult.NOTHING, channel.poll());
            peer.close();
            return awaitSomething();
        });
        assertEquals(PollResult.END, found);
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
