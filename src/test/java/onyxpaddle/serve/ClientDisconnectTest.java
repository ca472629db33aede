package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeDiscovery;
import onyxpaddle.serve.Loopback.FakeServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A client that has closed its connection has gone: no attempt begins for it from 0.1 s on, however late the node's loop is. */
class ClientDisconnectTest {
    private static final long BEHIND_MS = 250;
    /** More than can have begun before the client leaves, so that one more could begin after it. */
    private static final int MOST_ATTEMPTS = 20;
    /** Requests that leave a connection to the server each. */
    private static final int WARM = 2;
    /** Three reads of the node fill what may wait, and a few thousand bytes and the close lie behind them. */
    private static final int AHEAD = 56_000;
    private FakeServer server;
    private FakeDiscovery discovery;
    private Node node;

    @BeforeEach
    void start() throws Exception {
        server = new FakeServer("s1");
        discovery = new FakeDiscovery(Loopback.list(1, server));
        node = node(server);
    }

    /** By their aim calls take 50 ms until any has been served: what may be repeated is given up and sent again soon after that. */
    private Node node(FakeServer... servers) throws Exception {
        String config = Loopback.config(discovery, servers).replace("\"aimS\":5", "\"aimS\":0.2")
            .replace("\"maxAttempts\":3", "\"maxAttempts\":" + MOST_ATTEMPTS);
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

    /** What came before is dealt with: each question for readiness goes once round the loop. */
    private void settle() throws Exception {
        try (Client client = new Client(node.address())) {
            client.awaitReady().awaitReady();
        }
    }

    private long attempts() throws Exception {
        return node.loop().submit(() -> node.tally().attempts()).get(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Lets the loop stand right after the turn in which so many attempts are written. */
    private BlockedEventLoop heldOnceWritten(long attempts) {
        return BlockedEventLoop.blockWhen(node.loop(), () -> node.tally().attempts() >= attempts);
    }

    /** Each of these attempts was this request's. */
    private void serverHeard(String id, long count) throws Exception {
        for (long i = 0; i < count; i++) {
            assertTrue(server.nextRequest().contains("X-Trace-Id: " + id + "\r\n"));
        }
    }

    /** The server's part for attempts whose clients have left: each of its threads has taken what it writes to nobody. */
    private void answerNobody(long attempts) throws Exception {
        for (long i = 0; i < attempts; i++) {
            server.answers.add(Loopback.ok("for nobody"));
        }
        Loopback.await(server.answers::isEmpty);
        settle();
    }

    /**
     * Beyond these attempts there was none, and the server has heard of none. The request that shows it is of a class that is never
     * repeated: one that is would be sent again where the machine holds its answer up for 50 ms.
     */
    private void noAttemptBeyond(long written) throws Exception {
        assertEquals(written, attempts());
        server.answers.add(Loopback.ok("last"));
        try (Client client = new Client(node.address())) {
            assertEquals("200 last", client.send(Loopback.request("last", "book", "Content-Length: 0")).readAnswer());
        }
        serverHeard("last", 1);
        assertEquals(0, server.requests.size(), () -> String.join("", server.requests));
        assertEquals(written + 1, attempts());
    }

    @ParameterizedTest
    @ValueSource(strings = {"read", "book"})
    void requestAndCloseThatAreReadTogetherStartNothing(String requestClass) throws Exception {
        try (Client gone = new Client(node.address())) {
            gone.awaitReady();
            BlockedEventLoop held = new BlockedEventLoop(node.loop());
            gone.send(Loopback.request("gone", requestClass, "Content-Length: 0"));
            gone.socket.close();
            held.releaseAfter(BEHIND_MS);
            settle();
            noAttemptBeyond(0);
        }
    }

    /** Each is sent on with the answer before it; by then its client has left. */
    @Test
    void whatWasSentAheadIsNotSentOnOnceItsClientHasLeft() throws Exception {
        try (Client gone = new Client(node.address())) {
            gone.send(Loopback.request("r1", "book", "Content-Length: 0") + Loopback.request("r2", "book", "Content-Length: 0")
                + Loopback.request("r3", "read"));
            assertTrue(server.nextRequest().contains("r1"));
            gone.socket.close();
            settle();
            answerNobody(1);
            noAttemptBeyond(1);
        }
    }

    /** The first attempt is overdue, and another's request is read before the close: with it comes what is due, a second attempt. */
    @Test
    void attemptThatIsDueBeforeTheCloseIsReadDoesNotBegin() throws Exception {
        try (Client gone = new Client(node.address()); Client other = new Client(node.address())) {
            // Two connections to the server are kept, so that no dial stands between the decision and the attempt.
            gone.send(Loopback.request("w1", "book", "Content-Length: 0"));
            other.send(Loopback.request("w2", "book", "Content-Length: 0"));
            server.nextRequest();
            server.nextRequest();
            server.answers.add(Loopback.ok("warm"));
            server.answers.add(Loopback.ok("warm"));
            assertEquals("200 warm", gone.readAnswer());
            assertEquals("200 warm", other.readAnswer());
            // They rest before they are used again; the rest is the node's own, by its clock.
            TimeUnit.MILLISECONDS.sleep(30);
            BlockedEventLoop held = heldOnceWritten(WARM + 1);
            gone.send(Loopback.request("gone", "read"));
            held.awaitBlocked();
            long begun = node.tally().attempts() - WARM;
            serverHeard("gone", begun);
            other.send(Loopback.request("other", "book", "Content-Length: 0"));
            gone.socket.close();
            held.releaseAfter(BEHIND_MS);
            serverHeard("other", 1);
            settle();
            // Whichever of its threads comes first: the other's caller has one of them.
            answerNobody(begun + 1);
            assertEquals("200 for nobody", other.readAnswer());
            noAttemptBeyond(WARM + begun + 1);
        }
    }

    /** The client sends on while it waits, so its close lies behind what the node has not read. */
    @Test
    void closeBehindMoreThanWaitsIsSeen() throws Exception {
        try (Client gone = new Client(node.address())) {
            BlockedEventLoop beforeAll = new BlockedEventLoop(node.loop());
            BlockedEventLoop held = heldOnceWritten(1);
            // Read in one turn of the loop: the request, and of what is sent ahead as much as may wait.
            gone.send(Loopback.request("gone", "read") + Loopback.request("ahead", "book", "Content-Length: " + AHEAD) + "x".repeat(AHEAD));
            beforeAll.release();
            held.awaitBlocked();
            long begun = node.tally().attempts();
            serverHeard("gone", begun);
            gone.socket.close();
            held.releaseAfter(BEHIND_MS);
            settle();
            answerNobody(begun);
            noAttemptBeyond(begun);
        }
    }
}
