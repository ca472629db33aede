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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests of which only a part has arrived when the node starts its final drain, cut at every byte: each is answered. */
class PartialRequestTest {
    /** The longest deadline of any class, which bounds the final drain. */
    private static final double DEADLINE_S = 0.6;
    /** Within this time of connecting a client is owed an error or a close. */
    private static final double OWED_S = 3;
    private static final String BODY = "0123456789";

    private interface Scenario {
        void run(Node node, FakeServer server) throws Exception;
    }

    private static void runWithNode(Scenario scenario) throws Exception {
        try (FakeServer server = new FakeServer("s1"); FakeDiscovery discovery = new FakeDiscovery(Loopback.list(1, server))) {
            String config = Loopback.config(discovery, server).replace("\"deadlineS\":10", "\"deadlineS\":" + DEADLINE_S)
                .replace("\"sockets\":256", "\"sockets\":4096");
            Node node = Node.start(PlatformConfig.parse(config.getBytes(StandardCharsets.UTF_8), Map.of()));
            try (Client client = new Client(node.address())) {
                client.awaitReady();
                scenario.run(node, server);
            } finally {
                node.stop();
            }
        }
    }

    private static String booking(String id) {
        return Loopback.request(id, "book", "Content-Length: " + BODY.length()) + BODY;
    }

    /** Waits until the event loop has read what was sent: each readiness request takes one turn of the loop. */
    private static void awaitRead(Node node) throws Exception {
        try (Client client = new Client(node.address())) {
            client.awaitReady().awaitReady();
        }
    }

    /** The remaining bytes never arrive: each client gets a 503 before the node ends, and no server gets a request. */
    @Test
    void partialRequestIsRefusedAtTheFinalDrain() throws Exception {
        runWithNode((node, server) -> {
            List<Client> clients = new ArrayList<>();
            for (int cut = 1; cut < booking("r000").length(); cut++) {
                Client client = new Client(node.address());
                clients.add(client);
                client.send(booking("r%03d".formatted(cut)).substring(0, cut));
            }
            awaitRead(node);
            CompletableFuture<Void> ended = CompletableFuture.runAsync(node::drain);
            for (int i = 0; i < clients.size(); i++) {
                int cut = i + 1;
                String answer = clients.get(i).readAnswer();
                assertTrue(answer != null && answer.startsWith("503"), () -> "answer to the request cut at byte " + cut + ": " + answer);
                clients.get(i).close();
            }
            ended.get();
            assertEquals(0, server.requests.size());
        });
    }

    /** Guards against a client that stops halfway through a long body and is told nothing for longer than it is owed. */
    @ParameterizedTest
    @CsvSource({"60000, false", "1000000, false", "1000000, true", "4000000, false"})
    void clientThatStopsInABodyHasItsErrorInTime(int length, boolean chunked) throws Exception {
        try (FakeServer server = new FakeServer("s1"); Loopback rig = new Loopback(server)) {
            rig.client().awaitReady().close();
            long start = System.nanoTime();
            try (Client client = rig.client()) {
                String head = Loopback.request("r1", "book", chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + length);
                client.send(head + (chunked ? Integer.toHexString(length) + "\r\n" : "") + "x".repeat(length / 2));
                String answer = client.readAnswer();
                assertTrue(answer == null || answer.startsWith("4") || answer.startsWith("5"), answer);
                double took = (System.nanoTime() - start) / 1e9;
                assertTrue(took < OWED_S, "after " + took + " s");
            }
        }
    }
}
