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
class GoneClientTest {
    private static final long BEHIND_MS = 250;
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
        String config = Loopback.config(discovery, servers).replace("\"aimS\":5", "\"aimS\":0.2");
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

    /** Of all that was asked, the server has heard just this. */
    private void serverHasHeardOnly(String... ids) throws Exception {
        server.answers.add(Loopback.ok("last"));
        try (Client client = new Client(node.address())) {
            assertEquals("200 last", client.say(Loopback.request("last", "read")).hear());
        }
        for (String id : ids) {
            assertTrue(server.heard().contains("X-Trace-Id: " + id + "\r\n"));
        }
        assertTrue(server.heard().contains("X-Trace-Id: last\r\n"));
        assertEquals(0, server.heard.size(), () -> String.join("", server.heard));
    }

    @ParameterizedTest
    @ValueSource(strings = {"read", "book"})
    void requestAndCloseThatAreReadTogetherStartNothing(String requestClass) throws Exception {
        try (Client gone = new Client(node.address())) {
            gone.awaitReady();
            HeldLoop held = new HeldLoop(node.loop());
            gone.say(Loopback.request("gone", requestClass, "Content-Length: 0"));
            gone.socket.close();
            held.releaseAfter(BEHIND_MS);
            settle();
            serverHasHeardOnly();
        }
    }

    /** Each is sent on with the answer before it; by then its client has left. */
    @Test
    void whatWasSentAheadIsNotSentOnOnceItsClientHasLeft() throws Exception {
        try (Client gone = new Client(node.address())) {
            gone.say(Loopback.request("r1", "book", "Content-Length: 0") + Loopback.request("r2", "book", "Content-Length: 0")
                + Loopback.request("r3", "read"));
            assertTrue(server.heard().contains("r1"));
            gone.socket.close();
            settle();
            server.answers.add(Loopback.ok("for nobody"));
            settle();
            serverHasHeardOnly();
        }
    }

    /** The first attempt is overdue, and another's request is read before the close: with it comes what is due, a second attempt. */
    @Test
    void attemptThatIsDueBeforeTheCloseIsReadDoesNotBegin() throws Exception {
        try (Client gone = new Client(node.address()); Client other = new Client(node.address())) {
            // Two connections to the server are kept, so that no dial stands between the decision and the attempt.
            gone.say(Loopback.request("w1", "book", "Content-Length: 0"));
            other.say(Loopback.request("w2", "book", "Content-Length: 0"));
            server.heard();
            server.heard();
            server.answers.add(Loopback.ok("warm"));
            server.answers.add(Loopback.ok("warm"));
            assertEquals("200 warm", gone.hear());
            assertEquals("200 warm", other.hear());
            // They rest before they are used again; the rest is the node's own, by its clock.
            TimeUnit.MILLISECONDS.sleep(30);
            gone.say(Loopback.request("gone", "read"));
            assertTrue(server.heard().contains("gone"));
            HeldLoop held = new HeldLoop(node.loop());
            other.say(Loopback.request("other", "book", "Content-Length: 0"));
            gone.socket.close();
            held.releaseAfter(BEHIND_MS);
            assertTrue(server.heard().contains("other"));
            settle();
            server.answers.add(Loopback.ok("for nobody"));
            server.answers.add(Loopback.ok("for the other"));
            assertEquals('2', other.hear().charAt(0));
            serverHasHeardOnly();
        }
    }

    /** The client sends on while it waits, so its close lies behind what the node has not read. */
    @Test
    void closeBehindMoreThanWaitsIsSeen() throws Exception {
        try (Client gone = new Client(node.address())) {
            gone.say(Loopback.request("gone", "read"));
            assertTrue(server.heard().contains("gone"));
            gone.say(Loopback.request("ahead", "book", "Content-Length: 40000") + "x".repeat(40000));
            settle();
            HeldLoop held = new HeldLoop(node.loop());
            gone.socket.close();
            held.releaseAfter(BEHIND_MS);
            settle();
            server.answers.add(Loopback.ok("for nobody"));
            settle();
            serverHasHeardOnly();
        }
    }
}
