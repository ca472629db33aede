package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Races on a connection: within one iteration of the node's event loop, the peer acts on it and the node uses or closes it. */
class ConnectionRaceTest {
    /** Longer than an iteration of the loop, and shorter than any time-out in this test. */
    private static final long BLOCKED_MS = 50;
    /** Longer than a platform node keeps an idle connection. */
    private static final long LONGER_THAN_IDLE_MS = 600;
    /** With 256 file descriptors, the number of client connections at which the node closes an idle one. */
    private static final int CONNECTION_LIMIT = 93;

    /** The server counts from when it sent the answer, and may have forgotten a connection that the node takes for a fresh one. */
    @Test
    void pooledConnectionIsIdleFromTheArrivalOfItsAnswer() throws Exception {
        try (FakeServer server = new FakeServer("s1"); Loopback loopback = new Loopback(server); Client client = loopback.client()) {
            client.send(Loopback.request("r1", "book", "Content-Length: 0"));
            server.nextRequest();
            BlockedEventLoop blocked = new BlockedEventLoop(loopback.node.loop());
            server.answers.add(Loopback.ok("first"));
            blocked.releaseAfter(LONGER_THAN_IDLE_MS);
            assertEquals("200 first", client.readAnswer());
            TimeUnit.MILLISECONDS.sleep(30);
            server.answers.add(Loopback.ok("second"));
            assertEquals("200 second", client.send(Loopback.request("r2", "book", "Content-Length: 0")).readAnswer());
            assertEquals(2, server.connections.size());
        }
    }

    /** The loop reads the request first, and then what the server did to the connection that would carry the request. */
    @ParameterizedTest
    @ValueSource(strings = {"close", "reset", "half a line", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"})
    void pooledConnectionThatTheServerClosedOrWroteToIsNotReused(String fault) throws Exception {
        try (FakeServer server = new FakeServer("s1", Loopback.ok("first"), Loopback.ok("second"));
                Loopback loopback = new Loopback(server); Client client = loopback.client()) {
            assertEquals("200 first", client.send(Loopback.request("r1", "book", "Content-Length: 0")).readAnswer());
            Socket pooled = server.connections.take();
            // The node reuses a connection only after a pause, which it measures by its own clock.
            TimeUnit.MILLISECONDS.sleep(30);
            BlockedEventLoop blocked = new BlockedEventLoop(loopback.node.loop());
            client.send(Loopback.request("r2", "book", "Content-Length: 0"));
            switch (fault) {
                case "reset" -> {
                    pooled.setSoLinger(true, 0);
                    pooled.close();
                }
                case "close" -> pooled.close();
                default -> pooled.getOutputStream().write(fault.getBytes(StandardCharsets.ISO_8859_1));
            }
            blocked.releaseAfter(BLOCKED_MS);
            assertEquals("200 second", client.readAnswer());
        }
    }

    /** One connection exceeds the limit while the one that has been idle for longest has an unread request in its socket. */
    @Test
    void idleConnectionWithAnUnreadRequestIsNotClosed() throws Exception {
        List<Client> idle = new ArrayList<>();
        try (FakeServer server = new FakeServer("s1", Loopback.ok("served")); Loopback loopback = new Loopback(server)) {
            for (int i = 1; i < CONNECTION_LIMIT; i++) {
                idle.add(loopback.client().awaitReady());
            }
            BlockedEventLoop blocked = new BlockedEventLoop(loopback.node.loop());
            idle.add(loopback.client());
            idle.get(0).send(Loopback.request("r1", "book", "Content-Length: 0"));
            blocked.releaseAfter(BLOCKED_MS);
            assertEquals("200 served", idle.get(0).readAnswer());
            assertTrue(server.nextRequest().contains("r1"));
        } finally {
            for (Client client : idle) {
                client.close();
            }
        }
    }
}
