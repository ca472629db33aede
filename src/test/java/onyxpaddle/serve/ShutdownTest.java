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

/**
 * The end of a drain: each request that the node accepted gets a complete answer, and requests that it could no longer answer are turned
 * away.
 */
class ShutdownTest {
    /** The longest deadline of any class, which bounds the drain. */
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

    /** Drains the node; completes when its process would exit. */
    private CompletableFuture<Void> drain() {
        return CompletableFuture.runAsync(node::drain);
    }

    private static String booking(String id) {
        return Loopback.request(id, "book", "Content-Length: " + BODY.length());
    }

    /** The head arrives in time; the last byte of the body would arrive when no answer can be awaited any more. */
    @Test
    void requestWithALateBodyIsTurnedAwayAndNotSentOn() throws Exception {
        try (Client client = new Client(node.address())) {
            client.send(booking("r1") + BODY.substring(1));
            CompletableFuture<Void> ended = drain();
            String answer = client.readAnswer();
            assertTrue(answer != null && answer.startsWith("503"), () -> "answered " + answer);
            assertNull(client.readAnswer());
            ended.get();
            assertEquals(0, server.requests.size());
        }
    }

    /** Only part of a head has arrived, so the caller's deadline is not known. */
    @Test
    void incompleteHeadIsAnsweredBeforeTheNodeEnds() throws Exception {
        try (Client client = new Client(node.address())) {
            client.send(booking("r1").substring(0, 30));
            CompletableFuture<Void> ended = drain();
            String answer = client.readAnswer();
            assertTrue(answer != null && answer.startsWith("503"), () -> "answered " + answer);
            ended.get();
        }
    }
}
