package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import onyxpaddle.node.NodeDelay;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A node whose event loop reads its sockets late: a request's deadline counts from its arrival, not from when it is read. */
class EventLoopDelayTest {
    private static final double DEADLINE_S = 1.5;
    private static final long BLOCKED_MS = 1_200;
    private static final long BEHIND_MS = 300;

    @Test
    void requestThatWaitedForTheLoopIsAnsweredWithinItsDeadline() throws Exception {
        try (FakeServer silent = new FakeServer("s1");
                Loopback.FakeDiscovery discovery = new Loopback.FakeDiscovery(Loopback.list(1, silent))) {
            String config = Loopback.config(discovery, silent).replace("\"deadlineS\":10", "\"deadlineS\":" + DEADLINE_S);
            Node node = Node.start(PlatformConfig.parse(config.getBytes(StandardCharsets.UTF_8), Map.of()));
            try (Client open = new Client(node.address())) {
                while (!open.send("GET /ready HTTP/1.1\r\n\r\n").readAnswer().startsWith("200")) {
                    Thread.onSpinWait();
                }
                BlockedEventLoop blocked = new BlockedEventLoop(node.loop());
                long start = System.nanoTime();
                open.send(Loopback.request("r1", "book", "Content-Length: 0"));
                try (Client fresh = new Client(node.address())) {
                    fresh.send(Loopback.request("r2", "book", "Content-Length: 0"));
                    blocked.releaseAfter(BLOCKED_MS);
                    assertEquals('5', open.readAnswer().charAt(0));
                    assertWithinDeadline(start);
                    assertEquals('5', fresh.readAnswer().charAt(0));
                    assertWithinDeadline(start);
                }
            } finally {
                node.stop();
            }
        }
    }

    /**
     * Guards against telling a server the time from when the last bytes reached the node's socket, which took no more while the loop was
     * blocked: the client had written them to its own before.
     */
    @ParameterizedTest
    @ValueSource(ints = {60_000, 300_000, 1_000_000, 1_600_000})
    void serverIsToldTheTimeFromWhenTheClientWroteItsLastByte(int length) throws Exception {
        try (FakeServer server = new FakeServer("s1", Loopback.ok("fine")); Loopback rig = new Loopback(server);
                Client client = rig.client()) {
            client.awaitReady();
            BlockedEventLoop blocked = new BlockedEventLoop(rig.node.loop());
            String head = Loopback.request("r1", "book", "Content-Length: " + length, "X-Expires-In: " + 2 * DEADLINE_S);
            client.send(head + "x".repeat(length));
            blocked.releaseAfter(BLOCKED_MS);
            assertEquals("200 fine", client.readAnswer());
            double told = Double.parseDouble(server.nextRequest().replaceAll("(?si).*x-expires-in: *([0-9.]+).*", "$1"));
            double left = 2 * DEADLINE_S - BLOCKED_MS / 1e3;
            assertTrue(told <= left + 0.15, told + " s were told with at most " + left + " s left");
            assertTrue(told > 0, "no time was told");
        }
    }

    /** Guards against a lack of processor time that is reported where a request only waits behind another one of its client. */
    @Test
    void waitBehindAnotherRequestIsNoDelayOfTheEventLoop() throws Exception {
        try (FakeServer server = new FakeServer("s1"); Loopback rig = new Loopback(server); Client client = rig.client()) {
            client.awaitReady();
            long before = longDelays(rig.node, NodeDelay.READ);
            client.send(Loopback.request("r1", "book", "Content-Length: 0") + Loopback.request("r2", "book", "Content-Length: 0"));
            assertTrue(server.nextRequest().contains("r1"));
            // The server's own delay.
            TimeUnit.MILLISECONDS.sleep(BEHIND_MS);
            server.answers.add(Loopback.ok("one"));
            assertEquals("200 one", client.readAnswer());
            server.answers.add(Loopback.ok("two"));
            assertEquals("200 two", client.readAnswer());
            assertEquals(before, longDelays(rig.node, NodeDelay.READ));
            assertEquals(1, longDelays(rig.node, NodeDelay.QUEUE));
        }
    }

    private static long longDelays(Node node, NodeDelay delay) throws Exception {
        return node.loop().submit(() -> node.pools().get("").events().longDelays(delay)).get(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Allows the deadline and the platform's tolerance of 0.5 s. Counted from the read, the answer would come after 2.7 s. */
    private static void assertWithinDeadline(long start) {
        double took = (System.nanoTime() - start) / 1e9;
        assertTrue(took < DEADLINE_S + 0.5, "answered after " + took + " s");
    }
}
