package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import onyxpaddle.node.NodeEvent;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeDiscovery;
import onyxpaddle.serve.Loopback.FakeServer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A long body waits for a server whose connection comes up late: its request goes out only for a client that is still there. */
class StreamedBodyDepartureTest {
    private static final int LEAVES_AFTER_MS = 150;
    /** An attempt may follow a close by 0.1 s. */
    private static final int GRACE_MS = 100;

    private static Node node(FakeDiscovery discovery, FakeServer named, String effect) throws Exception {
        Node node = Node.start(PlatformConfig.parse(Loopback.config(discovery, named)
            .replace("\"cancel\":true", "\"cancel\":false").replace("\"effect\":\"non_idempotent\"",
                "\"effect\":\"" + effect + "\",\"memorySpanS\":5").getBytes(StandardCharsets.UTF_8), Map.of()));
        try (Client client = new Client(node.address())) {
            client.awaitReady();
        }
        return node;
    }

    private static String request(int bytes, boolean chunked) {
        String body = "x".repeat(bytes);
        return chunked
            ? Loopback.request("r1", "book", "Idempotency-Key: k", "Transfer-Encoding: chunked") + Integer.toHexString(bytes) + "\r\n" + body
                + "\r\n0\r\n\r\n"
            : Loopback.request("r1", "book", "Idempotency-Key: k", "Content-Length: " + bytes) + body;
    }

    private static <T> T onLoop(Node node, Callable<T> task) {
        return node.loop().submit(task).syncUninterruptibly().getNow();
    }

    private static int unanswered(Node node) {
        return onLoop(node, () -> node.pools().get("").unanswered());
    }

    /** Guards against a close that lies behind the unread rest of a body which waits for a server. */
    @ParameterizedTest
    @CsvSource({"1100000, false, CLOSE", "2000000, false, CLOSE", "2000000, true, CLOSE", "2000000, false, HALF_CLOSE",
        "2000000, false, RESET", "5000000, false, CLOSE", "5000000, true, RESET"})
    void bodyIsNotSentOnAfterItsClientHasLeft(int bytes, boolean chunked, Departure departure) throws Exception {
        try (FakeServer named = new FakeServer("s1"); FullBacklogServer full = new FullBacklogServer();
                FakeDiscovery discovery = new FakeDiscovery(Loopback.list(1, named).replace(named.address(), full.address()))) {
            Node node = node(discovery, named, "idempotency_key");
            try (Client gone = new Client(node.address())) {
                full.fillBacklog();
                CompletableFuture<Void> written = CompletableFuture.runAsync(() -> write(gone, request(bytes, chunked)));
                Loopback.await(() -> unanswered(node) == 1);
                TimeUnit.MILLISECONDS.sleep(LEAVES_AFTER_MS);
                departure.leave(gone.socket);
                TimeUnit.MILLISECONDS.sleep(GRACE_MS);
                try (Socket late = full.acceptDelayed()) {
                    assertEquals(-1, late.getInputStream().read());
                }
                written.handle((done, failure) -> null).get(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            } finally {
                node.stop();
            }
        }
    }

    /** Guards against a request that a server begins for a client which left while the event loop was held up: the last byte stays away. */
    @ParameterizedTest
    @CsvSource({"3000000, false, CLOSE", "3000000, true, CLOSE", "3000000, false, RESET"})
    void serverDoesNotHaveTheLastByteForAClientThatHasLeft(int bytes, boolean chunked, Departure departure) throws Exception {
        try (FakeServer server = new FakeServer("s1"); FakeDiscovery discovery = new FakeDiscovery(Loopback.list(1, server))) {
            Node node = node(discovery, server, "idempotency_key");
            try (Client gone = new Client(node.address())) {
                gone.awaitReady();
                BlockedEventLoop blocked = new BlockedEventLoop(node.loop());
                write(gone, request(bytes, chunked));
                departure.leave(gone.socket);
                blocked.releaseAfter(LEAVES_AFTER_MS + GRACE_MS);
                // That of the readiness check when the node started, and this one.
                Loopback.await(() -> onLoop(node, () -> node.pools().get("").events().total(NodeEvent.CLIENT_LEFT)) == 2L);
                Loopback.await(() -> onLoop(node, () -> node.pools().get("").idle()));
                TimeUnit.MILLISECONDS.sleep(GRACE_MS);
                for (String request = server.requests.poll(); request != null; request = server.requests.poll()) {
                    assertTrue(request.length() < bytes && !request.endsWith("0\r\n\r\n"), "the server has the whole request");
                }
            } finally {
                node.stop();
            }
        }
    }

    /** Guards against a client that counts as gone because its body is long. */
    @ParameterizedTest
    @CsvSource({"2000000, false", "2000000, true", "5000000, false"})
    void bodyOfAClientThatStaysGoesOutWholeWhenItsServerComesUpLate(int bytes, boolean chunked) throws Exception {
        try (FakeServer named = new FakeServer("s1"); FullBacklogServer full = new FullBacklogServer();
                FakeDiscovery discovery = new FakeDiscovery(Loopback.list(1, named).replace(named.address(), full.address()))) {
            Node node = node(discovery, named, "idempotency_key");
            try (Client client = new Client(node.address())) {
                full.fillBacklog();
                CompletableFuture<Void> written = CompletableFuture.runAsync(() -> write(client, request(bytes, chunked)));
                Loopback.await(() -> unanswered(node) == 1);
                try (Socket late = full.acceptDelayed()) {
                    String head = Loopback.head(late.getInputStream());
                    assertTrue(head.contains("r1"), head);
                    long received = chunked ? readChunks(late) : late.getInputStream().readNBytes(bytes).length;
                    assertEquals(bytes, received);
                    late.getOutputStream().write(Loopback.ok("done").getBytes(StandardCharsets.US_ASCII));
                    assertEquals("200 done", client.readAnswer());
                }
                written.get(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            } finally {
                node.stop();
            }
        }
    }

    private static long readChunks(Socket from) throws Exception {
        long sum = 0;
        while (true) {
            StringBuilder line = new StringBuilder();
            while (line.indexOf("\r\n") < 0) {
                line.append((char) from.getInputStream().read());
            }
            int size = Integer.parseInt(line.toString().trim(), 16);
            from.getInputStream().readNBytes(size + 2);
            if (size == 0) {
                return sum;
            }
            sum += size;
        }
    }

    /** What its writer meets when the connection ends is not of interest. */
    private static void write(Client client, String text) {
        try {
            client.send(text);
        } catch (java.io.IOException e) {
            // The connection has ended.
        }
    }
}
