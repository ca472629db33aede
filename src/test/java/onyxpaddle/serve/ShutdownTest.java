package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeDiscovery;
import onyxpaddle.serve.Loopback.FakeServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The last moments of a node that was told to end: each request that it took has a whole answer, and what it can't answer it doesn't take. */
class ShutdownTest {
    /** Of the class that waits longest. The end goes by it. */
    private static final double DEADLINE_S = 0.6;
    private static final String BODY = "x".repeat(100);
    private FakeServer server;
    private FakeDiscovery discovery;
    private Node node;

    @BeforeEach
    void start() throws Exception {
        server = new FakeServer("s1");
        discovery = new FakeDiscovery(Loopback.list(1, server));
        node = Node.start(PlatformConfig.parse(Loopback.config(discovery, server).replace("\"deadlineS\":10", "\"deadlineS\":" + DEADLINE_S)
            .getBytes(StandardCharsets.UTF_8), Map.of()));
        try (Client client = new Client(node.address())) {
            while (!client.send("GET /ready HTTP/1.1\r\n\r\n").readAnswer().startsWith("200")) {
                Thread.onSpinWait();
            }
        }
    }

    @AfterEach
    void stop() throws Exception {
        node.stop();
        discovery.close();
        server.close();
    }

    /** Told to end; done when it would exit. */
    private CompletableFuture<Void> end() {
        return CompletableFuture.runAsync(node::drain);
    }

    private static String booking(String id) {
        return Loopback.request(id, "book", "Content-Length: " + BODY.length());
    }

    /** The head came before the end and left time enough; its last byte comes when no answer could be waited for any more. */
    @Test
    void requestWhoseBodyComesTooLateIsTurnedAwayAndNotTaken() throws Exception {
        try (Client client = new Client(node.address())) {
            client.send(booking("r1") + BODY.substring(1));
            CompletableFuture<Void> ended = end();
            String answer = client.readAnswer();
            assertTrue(answer != null && answer.startsWith("503"), () -> "answered " + answer);
            assertNull(client.readAnswer());
            ended.get();
            assertEquals(0, server.requests.size());
        }
    }

    /** Nothing but a part of a head has come, so how long its caller would wait is not known. */
    @Test
    void halfAHeadIsAnsweredBeforeTheNodeGoes() throws Exception {
        try (Client client = new Client(node.address())) {
            client.send(booking("r1").substring(0, 30));
            CompletableFuture<Void> ended = end();
            String answer = client.readAnswer();
            assertTrue(answer != null && answer.startsWith("503"), () -> "answered " + answer);
            ended.get();
        }
    }
}
