package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeDiscovery;
import onyxpaddle.serve.Loopback.FakeServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** No attempt begins for a client that closed its connection 0.1 s ago or earlier, however late the node's event loop runs. */
class ClientDisconnectTest {
    private static final long BLOCKED_MS = 250;
    private static final long GRACE_MS = 100;
    /** More than can begin before the client disconnects, so that the limit does not prevent a further attempt after it. */
    private static final int MAX_ATTEMPTS = 20;
    /** Each of these requests leaves a pooled connection to the server. */
    private static final int WARM_UP_REQUESTS = 2;
    /** The node buffers what three reads return; a few thousand bytes and the close stay unread in its socket. */
    private static final int PIPELINED_BYTES = 56_000;
    private FakeServer server;
    private FakeDiscovery discovery;
    private Node node;

    @BeforeEach
    void start() throws Exception {
        server = new FakeServer("s1");
        discovery = new FakeDiscovery(Loopback.list(1, server));
        node = node(server);
    }

    /** With this aim, calls are expected to take 50 ms until one has been served, so a safe request is repeated soon after that. */
    private Node node(FakeServer... servers) throws Exception {
        String config = Loopback.config(discovery, servers).replace("\"aimS\":5", "\"aimS\":0.2")
            .replace("\"maxAttempts\":3", "\"maxAttempts\":" + MAX_ATTEMPTS);
        Node started = Node.start(PlatformConfig.parse(config.getBytes(StandardCharsets.UTF_8), Map.of()));
        try (Client client = new Client(started.address())) {
            client.awaitReady();
        }
        return started;
    }

    @AfterEach
    void stop() throws Exception {
        node.stop();
        discovery.close();
        server.close();
    }

    /** Waits until earlier input is processed: each readiness check takes an iteration of the loop. */
    private void settle() throws Exception {
        try (Client client = new Client(node.address())) {
            client.awaitReady().awaitReady();
        }
    }

    private long attempts() throws Exception {
        return node.loop().submit(() -> node.tally().attempts()).get(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Blocks the loop right after the iteration in which this number of attempts is reached. */
    private BlockedEventLoop blockedAfterAttempts(long attempts) {
        return BlockedEventLoop.blockWhen(node.loop(), () -> node.tally().attempts() >= attempts);
    }

    /** The next attempts at the server are all of this request. */
    private void assertServerReceived(String id, long count) throws Exception {
        for (long i = 0; i < count; i++) {
            assertTrue(server.nextRequest().contains("X-Trace-Id: " + id + "\r\n"));
        }
    }

    /** Answers attempts whose clients have disconnected, and waits until the server's threads have taken the answers. */
    private void answerDisconnected(long attempts) throws Exception {
        for (long i = 0; i < attempts; i++) {
            server.answers.add(Loopback.ok("for nobody"));
        }
        Loopback.await(server.answers::isEmpty);
        settle();
    }

    /**
     * There was no further attempt, neither by the node's count nor at the server. The request that shows it is of a class that is never
     * repeated: a safe one would be sent again if the machine delayed its answer by 50 ms.
     */
    private void assertNoFurtherAttempt(long expected) throws Exception {
        assertEquals(expected, attempts());
        server.answers.add(Loopback.ok("last"));
        try (Client client = new Client(node.address())) {
            assertEquals("200 last", client.send(Loopback.request("last", "book", "Content-Length: 0")).readAnswer());
        }
        assertServerReceived("last", 1);
        assertEquals(0, server.requests.size(), () -> String.join("", server.requests));
        assertEquals(expected + 1, attempts());
    }

    @ParameterizedTest
    @ValueSource(strings = {"read", "book"})
    void requestReadTogetherWithTheCloseIsNotAttempted(String requestClass) throws Exception {
        try (Client gone = new Client(node.address())) {
            gone.awaitReady();
            BlockedEventLoop blocked = new BlockedEventLoop(node.loop());
            gone.send(Loopback.request("gone", requestClass, "Content-Length: 0"));
            gone.socket.close();
            blocked.releaseAfter(BLOCKED_MS);
            settle();
            assertNoFurtherAttempt(0);
        }
    }

    /** Each pipelined request would be sent on after the answer before it, when its client has already disconnected. */
    @Test
    void pipelinedRequestsAreNotSentOnAfterTheClientDisconnected() throws Exception {
        try (Client gone = new Client(node.address())) {
            gone.send(Loopback.request("r1", "book", "Content-Length: 0") + Loopback.request("r2", "book", "Content-Length: 0")
                + Loopback.request("r3", "read"));
            assertTrue(server.nextRequest().contains("r1"));
            gone.socket.close();
            settle();
            answerDisconnected(1);
            assertNoFurtherAttempt(1);
        }
    }

    /** Guards against an effect that is repeated when a client comes again with its request after its connection has ended. */
    @ParameterizedTest
    @EnumSource(Departure.class)
    void unsafeRequestThatComesAgainAfterItsClientLeftRunsOnce(Departure departure) throws Exception {
        try (Client gone = new Client(node.address()); Client again = new Client(node.address())) {
            gone.send(Loopback.request("r1", "book", "Content-Length: 0"));
            assertServerReceived("r1", 1);
            departure.leave(gone.socket);
            String answer = again.send(Loopback.request("r1", "book", "Content-Length: 0")).readAnswer();
            assertTrue(answer.startsWith("502") || answer.startsWith("400"), answer);
            answerDisconnected(1);
            assertNoFurtherAttempt(1);
        }
    }

    /** As above, for a request that had its answer, which its client may not have read. */
    @Test
    void unsafeRequestThatComesAgainAfterItsAnswerRunsOnce() throws Exception {
        server.answers.add(Loopback.ok("first"));
        try (Client gone = new Client(node.address()); Client again = new Client(node.address())) {
            assertEquals("200 first", gone.send(Loopback.request("r1", "book", "Content-Length: 0")).readAnswer());
            assertServerReceived("r1", 1);
            assertEquals("502 ", again.send(Loopback.request("r1", "book", "Content-Length: 0")).readAnswer());
            assertNoFurtherAttempt(1);
        }
    }

    /** Guards against a close that lies behind unread bytes of a next request while further servers are tried. */
    @ParameterizedTest
    @CsvSource({"70000, CLOSE", "300000, CLOSE", "300000, HALF_CLOSE", "300000, RESET", "2000000, CLOSE", "5000000, CLOSE",
        "5000000, RESET"})
    void noAttemptFollowsADepartureBehindMuchOfANextRequest(int bytes, Departure departure) throws Exception {
        try (Client gone = new Client(node.address())) {
            String next = Loopback.request("next", "book", "Content-Length: " + bytes) + "x".repeat(bytes);
            CompletableFuture<Void> written = CompletableFuture.runAsync(() -> {
                try {
                    gone.send(Loopback.request("r1", "book", "Content-Length: 0") + next);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
            assertTrue(server.nextRequest().contains("r1"));
            written.get(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            departure.leave(gone.socket);
            // An attempt may follow a close by 0.1 s.
            TimeUnit.MILLISECONDS.sleep(GRACE_MS);
            server.answers.add("HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
            Loopback.await(server.answers::isEmpty);
            settle();
            assertNoFurtherAttempt(1);
        }
    }

    /**
     * The first attempt is overdue and another client's request is read before the close. Processing that request also starts attempts that
     * are due, here a second one for the disconnected client.
     */
    @Test
    void attemptDueBeforeTheCloseIsReadDoesNotBegin() throws Exception {
        try (Client gone = new Client(node.address()); Client other = new Client(node.address())) {
            // Two pooled connections to the server, so that an attempt needs no dial.
            gone.send(Loopback.request("w1", "book", "Content-Length: 0"));
            other.send(Loopback.request("w2", "book", "Content-Length: 0"));
            server.nextRequest();
            server.nextRequest();
            server.answers.add(Loopback.ok("warm"));
            server.answers.add(Loopback.ok("warm"));
            assertEquals("200 warm", gone.readAnswer());
            assertEquals("200 warm", other.readAnswer());
            // The node reuses a connection only after a pause, which it measures by its own clock.
            TimeUnit.MILLISECONDS.sleep(30);
            BlockedEventLoop blocked = blockedAfterAttempts(WARM_UP_REQUESTS + 1);
            gone.send(Loopback.request("gone", "read"));
            blocked.awaitBlocked();
            long begun = node.tally().attempts() - WARM_UP_REQUESTS;
            assertServerReceived("gone", begun);
            other.send(Loopback.request("other", "book", "Content-Length: 0"));
            gone.socket.close();
            blocked.releaseAfter(BLOCKED_MS);
            assertServerReceived("other", 1);
            settle();
            // One answer more, for the other client: any of the server's threads may take any of them.
            answerDisconnected(begun + 1);
            assertEquals("200 for nobody", other.readAnswer());
            assertNoFurtherAttempt(WARM_UP_REQUESTS + begun + 1);
        }
    }

    /** The client sends more than the node buffers, so its close is behind unread bytes. */
    @Test
    void closeBehindUnreadBytesIsDetected() throws Exception {
        try (Client gone = new Client(node.address())) {
            BlockedEventLoop initialBlock = new BlockedEventLoop(node.loop());
            BlockedEventLoop blocked = blockedAfterAttempts(1);
            // One iteration of the loop reads the request and as many pipelined bytes as the node buffers.
            gone.send(Loopback.request("gone", "read") + Loopback.request("ahead", "book", "Content-Length: " + PIPELINED_BYTES)
                + "x".repeat(PIPELINED_BYTES));
            initialBlock.release();
            blocked.awaitBlocked();
            long begun = node.tally().attempts();
            assertServerReceived("gone", begun);
            gone.socket.close();
            blocked.releaseAfter(BLOCKED_MS);
            settle();
            answerDisconnected(begun);
            assertNoFurtherAttempt(begun);
        }
    }
}
