package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import onyxpaddle.serve.RpcRig.Box;
import onyxpaddle.standin.RpcCaller;
import onyxpaddle.standin.RpcCaller.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ArrayValue;

/** MessagePack-RPC calls that could not be sent on at once go out only for a caller that is still there, however many lie behind them. */
@Timeout(value = RpcCallerDepartureTest.MAX_TEST_S, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RpcCallerDepartureTest {
    /** A caller whose calls are never read would block its test for good. */
    static final int MAX_TEST_S = 90;

    private static final int OPEN_CALLS = 256;
    private static final int LEAVES_AFTER_MS = 150;
    /** An attempt may follow a close by 0.1 s. */
    private static final int GRACE_MS = 100;
    private static final String PADDING = "x".repeat(1_000);
    private static final String ONE_LATE_CONNECTION = "connect-timeout: 20 s\nrpc: {connections: 1, calls: 1000}\n";

    enum Kind {
        CALL, NOTIFICATION
    }

    private static RpcRig rig(FullBacklogServer full) throws Exception {
        return new RpcRig(RpcRig.config(ONE_LATE_CONNECTION, "{id: one, rpc: \"" + full.address() + "\"}"));
    }

    private static int unanswered(RpcRig rig) {
        return rig.node.loop().submit(() -> rig.node.pools().get("boxes").unanswered()).syncUninterruptibly().getNow();
    }

    private static byte[] frames(Kind kind, int count) {
        ByteArrayOutputStream frames = new ByteArrayOutputStream();
        for (int i = 0; i < count; i++) {
            frames.writeBytes(RpcCaller.frame(kind == Kind.CALL ? i : -1, "book", RpcRig.text("visit-" + i), RpcRig.text(PADDING)));
        }
        return frames.toByteArray();
    }

    /** What its writer meets when the connection ends is not of interest. */
    private static void write(Socket socket, byte[] bytes) {
        try {
            socket.getOutputStream().write(bytes);
        } catch (IOException e) {
            // The connection has ended.
        }
    }

    private static String firstParameter(ArrayValue frame) {
        return frame.get(frame.size() - 1).asArrayValue().get(0).asStringValue().asString();
    }

    /** Guards against calls that are sent on after their caller has left, as its close lies behind calls that are not read. */
    @ParameterizedTest
    @CsvSource({"200, CALL, CLOSE", "300, CALL, CLOSE", "400, CALL, CLOSE", "400, CALL, HALF_CLOSE", "400, CALL, RESET",
        "400, NOTIFICATION, CLOSE", "4000, CALL, CLOSE", "4000, CALL, RESET", "4000, NOTIFICATION, CLOSE"})
    void callsAreNotSentOnAfterTheirCallerHasLeft(int calls, Kind kind, Departure departure) throws Exception {
        try (FullBacklogServer full = new FullBacklogServer(); RpcRig rig = rig(full); RpcCaller other = rig.caller();
                Socket gone = new Socket(rig.node.address("in").getAddress(), rig.node.address("in").getPort())) {
            full.fillBacklog();
            CompletableFuture<Void> written = CompletableFuture.runAsync(() -> write(gone, frames(kind, calls)));
            RpcRig.await(() -> unanswered(rig) == Math.min(calls, OPEN_CALLS));
            TimeUnit.MILLISECONDS.sleep(LEAVES_AFTER_MS);
            departure.leave(gone);
            TimeUnit.MILLISECONDS.sleep(GRACE_MS);
            try (Socket late = full.acceptDelayed(); MessageUnpacker received = MessagePack.newDefaultUnpacker(late.getInputStream())) {
                // On the one connection to the server, whatever is sent on stands before it.
                other.call("book", RpcRig.text("still there"));
                assertEquals("still there", firstParameter(received.unpackValue().asArrayValue()));
            }
            written.get(RpcRig.TIMEOUT_S, TimeUnit.SECONDS);
        }
    }

    /** Guards against calls that are sent on for a caller which left while the event loop was held up: its close is not read at once. */
    @ParameterizedTest
    @EnumSource(Departure.class)
    void callsReadBeforeAHiddenCloseAreNotSentOn(Departure departure) throws Exception {
        int calls = 400;
        try (Box box = new Box("one"); RpcRig rig = new RpcRig(RpcRig.config("", box.rpcOnly("one"))); RpcCaller other = rig.caller();
                Socket gone = new Socket(rig.node.address("in").getAddress(), rig.node.address("in").getPort())) {
            assertTrue(other.callAndWait("book", RpcRig.text("warm")).ok());
            BlockedEventLoop blocked = new BlockedEventLoop(rig.node.loop());
            write(gone, frames(Kind.CALL, calls));
            departure.leave(gone);
            blocked.releaseAfter(LEAVES_AFTER_MS + GRACE_MS);
            RpcRig.await(() -> unanswered(rig) == 0 && other.callAndWait("book", RpcRig.text("after")).ok());
            for (int i = 0; i < calls; i++) {
                assertEquals(0, box.ledger.runs("visit-" + i), "visit-" + i);
            }
        }
    }

    /** Guards against a call that is sent on as its connection comes up, while its caller's close lies behind what is not read yet. */
    @ParameterizedTest
    @EnumSource(Departure.class)
    void callIsNotSentOnAConnectionThatComesUpBesideAHiddenClose(Departure departure) throws Exception {
        try (FullBacklogServer full = new FullBacklogServer(); RpcRig rig = rig(full); RpcCaller other = rig.caller();
                Socket gone = new Socket(rig.node.address("in").getAddress(), rig.node.address("in").getPort())) {
            full.fillBacklog();
            write(gone, frames(Kind.CALL, 1));
            RpcRig.await(() -> unanswered(rig) == 1);
            BlockedEventLoop blocked = new BlockedEventLoop(rig.node.loop());
            write(gone, new byte[] {(byte) 0x94, 0, 1, (byte) 0xa4, 'b', 'o', 'o', 'k', (byte) 0x91, (byte) 0xc6, 0, 6, 0, 0});
            write(gone, new byte[6 << 16]);
            departure.leave(gone);
            try (Socket late = full.acceptDelayed(); MessageUnpacker received = MessagePack.newDefaultUnpacker(late.getInputStream())) {
                blocked.releaseAfter(LEAVES_AFTER_MS + GRACE_MS);
                other.call("book", RpcRig.text("still there"));
                assertEquals("still there", firstParameter(received.unpackValue().asArrayValue()));
            }
        }
    }

    /** Guards against a caller that counts as gone because much of what it sent is unread. */
    @Test
    void callsBeyondTheOpenOnesAreServedForACallerThatStays() throws Exception {
        int calls = 1_000;
        Served served = serveLate(calls);
        assertEquals(calls, served.ok(), served.toString());
        assertEquals(calls, served.runs());
    }

    /** Guards against calls without an answer where more of them wait than are kept: each is served, or refused and never sent on. */
    @ParameterizedTest
    @ValueSource(ints = {6_000, 12_000})
    void callsBeyondThoseThatAreKeptAreRefusedAtOnce(int calls) throws Exception {
        Served served = serveLate(calls);
        assertTrue(served.ok() >= OPEN_CALLS, served.toString());
        assertEquals(calls, served.ok() + served.refused(), served.toString());
        assertEquals(served.ok(), served.runs());
    }

    private record Served(int ok, int refused, int runs) {
    }

    /** Sends calls to a server whose connection comes up late, and which answers each call then. */
    private static Served serveLate(int calls) throws Exception {
        try (FullBacklogServer full = new FullBacklogServer(); RpcRig rig = rig(full); RpcCaller caller = rig.caller()) {
            full.fillBacklog();
            List<CompletableFuture<Reply>> replies = new ArrayList<>();
            for (int i = 0; i < calls; i++) {
                replies.add(caller.call("book", RpcRig.text("visit-" + i), RpcRig.text(PADDING)));
            }
            RpcRig.await(() -> unanswered(rig) == OPEN_CALLS);
            Map<String, Integer> runs = new ConcurrentHashMap<>();
            try (Socket late = full.acceptDelayed()) {
                CompletableFuture<Void> server = CompletableFuture.runAsync(() -> answerAll(late, runs));
                int ok = 0;
                int refused = 0;
                for (CompletableFuture<Reply> reply : replies) {
                    Reply received = reply.get(RpcRig.TIMEOUT_S, TimeUnit.SECONDS);
                    ok += received.ok() ? 1 : 0;
                    refused += "refused".equals(received.nodeErrorCode()) ? 1 : 0;
                }
                rig.node.stop();
                server.get(RpcRig.TIMEOUT_S, TimeUnit.SECONDS);
                return new Served(ok, refused, runs.values().stream().mapToInt(Integer::intValue).sum());
            }
        }
    }

    private static void answerAll(Socket socket, Map<String, Integer> runs) {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(socket.getInputStream())) {
            while (in.hasNext()) {
                ArrayValue call = in.unpackValue().asArrayValue();
                runs.merge(firstParameter(call), 1, Integer::sum);
                MessageBufferPacker reply = MessagePack.newDefaultBufferPacker();
                reply.packArrayHeader(4).packInt(1).packValue(call.get(1)).packNil().packString("done");
                socket.getOutputStream().write(reply.toByteArray());
            }
        } catch (IOException e) {
            // The connection has ended.
        }
    }
}
