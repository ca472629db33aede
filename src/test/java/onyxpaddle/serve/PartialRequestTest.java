package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeDiscovery;
import onyxpaddle.serve.Loopback.FakeServer;
import org.junit.jupiter.api.Test;

/** Requests that come in pieces, cut at every byte, of which a part has come as the node is told to end: each has an answer. */
class PartialRequestTest {
    /** Of the class that waits longest. The end goes by it. */
    private static final double DEADLINE_S = 0.6;
    private static final String BODY = "0123456789";

    private interface Scene {
        void play(Node node, FakeServer server) throws Exception;
    }

    private static void on(Scene scene) throws Exception {
        try (FakeServer server = new FakeServer("s1"); FakeDiscovery discovery = new FakeDiscovery(Loopback.list(1, server))) {
            String config = Loopback.config(discovery, server).replace("\"deadlineS\":10", "\"deadlineS\":" + DEADLINE_S)
                .replace("\"sockets\":256", "\"sockets\":4096");
            Node node = Node.start(PlatformConfig.parse(config.getBytes(StandardCharsets.UTF_8), Map.of()));
            try (Client client = new Client(node.address())) {
                client.awaitReady();
                scene.play(node, server);
            } finally {
                node.stop();
            }
        }
    }

    private static String booking(String id) {
        return Loopback.request(id, "book", "Content-Length: " + BODY.length()) + BODY;
    }

    /** What was sent is with the loop: each question for readiness goes once round it. */
    private static void settle(Node node) throws Exception {
        try (Client client = new Client(node.address())) {
            client.awaitReady().awaitReady();
        }
    }

    /** The rest never comes: whatever there is, the client is told before the node goes, and no server hears of it. */
    @Test
    void requestOfWhichAPartHasComeIsTurnedAwayAtTheEnd() throws Exception {
        on((node, server) -> {
            List<Client> clients = new ArrayList<>();
            for (int cut = 1; cut < booking("r000").length(); cut++) {
                Client client = new Client(node.address());
                clients.add(client);
                client.send(booking("r%03d".formatted(cut)).substring(0, cut));
            }
            settle(node);
            CompletableFuture<Void> ended = CompletableFuture.runAsync(node::drain);
            for (int i = 0; i < clients.size(); i++) {
                int cut = i + 1;
                String answer = clients.get(i).readAnswer();
                assertTrue(answer != null && answer.startsWith("503"), () -> "answered " + answer + " to what was cut at " + cut);
                clients.get(i).close();
            }
            ended.get();
            assertEquals(0, server.requests.size());
        });
    }
}
