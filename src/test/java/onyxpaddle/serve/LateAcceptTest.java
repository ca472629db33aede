package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeDiscovery;
import onyxpaddle.serve.Loopback.FakeServer;
import org.junit.jupiter.api.Test;

/** Connections that wait at the door of a node whose loop is behind: their requests' time counts from when they came, however many they are. */
class LateAcceptTest {
    private static final double PATIENCE_S = 0.8;
    /** Next to nothing of a request's time is left by then; counted from later it would have all of it. */
    private static final long BUSY_MS = 1_000;
    /** More than three times what one read of the listener takes in. */
    private static final int MANY = 50;

    @Test
    void requestsOfManyConnectionsThatWaitedAreAnsweredInTheirCallersTime() throws Exception {
        List<Client> waiting = new ArrayList<>();
        try (FakeServer silent = new FakeServer("s1"); FakeDiscovery discovery = new FakeDiscovery(Loopback.list(1, silent))) {
            String config = Loopback.config(discovery, silent).replace("\"deadlineS\":10", "\"deadlineS\":" + PATIENCE_S);
            Node node = Node.start(PlatformConfig.parse(config.getBytes(StandardCharsets.UTF_8), Map.of()));
            try (Client open = new Client(node.address())) {
                open.awaitReady();
                HeldLoop held = new HeldLoop(node.loop());
                for (int i = 0; i < MANY; i++) {
                    Client client = new Client(node.address());
                    waiting.add(client);
                    client.say(Loopback.request("r" + i, "book", "Content-Length: 0"));
                }
                held.releaseAfter(BUSY_MS);
                long released = System.nanoTime();
                for (Client client : waiting) {
                    assertEquals('5', client.hear().charAt(0));
                }
                double took = (System.nanoTime() - released) / 1e9;
                assertTrue(took < PATIENCE_S, "the last had its whole time from then on: " + took + " s");
            } finally {
                for (Client client : waiting) {
                    client.close();
                }
                node.stop();
            }
        }
    }
}
