package onyxpaddle.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import onyxpaddle.BalancerApi.BalancerSnapshot;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Two processes of a node tell each other of requests, and get on with one that does not. */
class HandoverSocketTest {
    private static final int TIMEOUT_S = 20;
    private static final RunMessage BEFORE = new RunMessage(RunMessage.Kind.MAY_HAVE_RUN, "", "before");
    private static final RunMessage NOW = new RunMessage(RunMessage.Kind.NEVER_RAN, "pool", "now");

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    @TempDir
    private Path folder;

    /** Holds one message, and records what it is told. */
    private static final class Register implements RunRegister {
        final BlockingQueue<RunMessage> told = new LinkedBlockingQueue<>();

        @Override
        public List<RunMessage> current() {
            return List.of(BEFORE);
        }

        @Override
        public void received(RunMessage message) {
            told.add(message);
        }
    }

    @AfterEach
    void stop() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private HandoverSocket socket(Register register) {
        return HandoverSocket.in(folder.toString(), "n", loop, register);
    }

    private void onLoop(Runnable task) throws Exception {
        loop.submit(task).get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private Path path() {
        return folder.resolve("node-" + Integer.toHexString("n".hashCode()) + ".sock");
    }

    private void listen(HandoverSocket socket) throws Exception {
        onLoop(() -> socket.listen(Map::of));
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!accepts()) {
            assertTrue(System.nanoTime() < end, "it does not listen");
            Thread.onSpinWait();
        }
    }

    private boolean accepts() {
        try (SocketChannel channel = SocketChannel.open(UnixDomainSocketAddress.of(path()))) {
            return channel.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    private static ByteBuffer read(SocketChannel channel, int count) throws Exception {
        ByteBuffer bytes = ByteBuffer.allocate(count);
        Channels.newInputStream(channel).readNBytes(bytes.array(), 0, count);
        return bytes;
    }

    @Test
    void bothProcessesAreToldWhatTheOtherKnowsAndLearns() throws Exception {
        Register ofFirst = new Register();
        Register ofNext = new Register();
        HandoverSocket first = socket(ofFirst);
        listen(first);
        HandoverSocket next = socket(ofNext);
        CompletableFuture<Map<String, BalancerSnapshot>> state = new CompletableFuture<>();
        onLoop(() -> next.requestState((present, pools) -> state.complete(pools)));
        assertEquals(Map.of(), state.get(TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(BEFORE, ofNext.told.poll(TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(BEFORE, ofFirst.told.poll(TIMEOUT_S, TimeUnit.SECONDS));
        onLoop(() -> first.tell(NOW));
        assertEquals(NOW, ofNext.told.poll(TIMEOUT_S, TimeUnit.SECONDS));
        onLoop(() -> next.tell(NOW));
        assertEquals(NOW, ofFirst.told.poll(TIMEOUT_S, TimeUnit.SECONDS));
    }

    /** Guards against a process of an earlier version that refuses its state for what follows it. */
    @Test
    void processOfAnEarlierVersionGetsItsStateAndNothingElse() throws Exception {
        HandoverSocket first = socket(new Register());
        listen(first);
        UnixDomainSocketAddress address = UnixDomainSocketAddress.of(path());
        try (SocketChannel earlier = SocketChannel.open(address); SocketChannel current = SocketChannel.open(address)) {
            earlier.write(ByteBuffer.wrap(HandoverMessage.request("n", HandoverMessage.VERSION_WITHOUT_RUNS)));
            ByteBuffer header = read(earlier, HandoverMessage.HEADER_SIZE);
            assertEquals(HandoverMessage.VERSION_WITHOUT_RUNS, header.getInt(4));
            read(earlier, header.getInt(8));
            current.write(ByteBuffer.wrap(HandoverMessage.request("n", HandoverMessage.VERSION)));
            read(current, read(current, HandoverMessage.HEADER_SIZE).getInt(8));
            assertEquals(RunMessage.Kind.HELLO.ordinal(), read(current, 1).get(0));
            onLoop(() -> first.tell(NOW));
            earlier.configureBlocking(false);
            assertEquals(0, earlier.read(ByteBuffer.allocate(1)));
        }
    }

    /** Guards against a replacement of an earlier version that starts without its state. */
    @Test
    void stateOfAProcessOfAnEarlierVersionIsRead() throws Exception {
        try (ServerSocketChannel earlier = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            earlier.bind(UnixDomainSocketAddress.of(path()));
            CompletableFuture<Map<String, BalancerSnapshot>> state = new CompletableFuture<>();
            onLoop(() -> socket(new Register()).requestState((present, pools) -> state.complete(pools)));
            byte[] known = HandoverMessage.request("n", HandoverMessage.VERSION_WITHOUT_RUNS);
            try (SocketChannel refused = earlier.accept()) {
                assertEquals(HandoverMessage.VERSION, read(refused, known.length).getInt(4));
            }
            try (SocketChannel accepted = earlier.accept()) {
                assertEquals(ByteBuffer.wrap(known), read(accepted, known.length));
                accepted.write(ByteBuffer.wrap(HandoverMessage.write(Map.of(), HandoverMessage.VERSION_WITHOUT_RUNS)));
                assertEquals(Map.of(), state.get(TIMEOUT_S, TimeUnit.SECONDS));
            }
        }
    }

    @Test
    void messagesAreReadWholeWhereverTheyAreCut() throws Exception {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            List<RunMessage> sent = new ArrayList<>();
            ByteBuf wire = Unpooled.buffer();
            for (int i = 0; i < 20; i++) {
                sent.add(new RunMessage(RunMessage.Kind.values()[random.nextInt(3)], "p".repeat(random.nextInt(3)),
                    Integer.toString(random.nextInt(), 36)));
                sent.get(i).write(wire);
            }
            List<RunMessage> received = new ArrayList<>();
            ByteBuf in = Unpooled.buffer();
            while (wire.isReadable()) {
                in.writeBytes(wire, Math.min(wire.readableBytes(), 1 + random.nextInt(30)));
                for (RunMessage message = RunMessage.read(in); message != null; message = RunMessage.read(in)) {
                    received.add(message);
                }
            }
            assertEquals(sent, received, "seed " + seed);
            assertNull(RunMessage.read(in));
        }
    }
}
