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

/** What one side does with a connection in the same turn of the node's loop in which it is used, or let go, for another reason. */
class ConnectionRaceTest {
    /** Longer than the loop's turns, and shorter than any time-out here. */
    private static final long BEHIND_MS = 50;
    /** Of 256 descriptors, the connections from which on clients are too many. */
    private static final int CROWD = 93;

    /** The request is read first, then what the server did to the connection that would carry it. */
    @ParameterizedTest
    @ValueSource(strings = {"close", "reset", "half a line", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"})
    void keptConnectionThatItsServerHasSpoiltIsNotUsed(String how) throws Exception {
        try (FakeServer server = new FakeServer("s1", Loopback.ok("first"), Loopback.ok("second")); Loopback on = new Loopback(server);
                Client client = on.client()) {
            assertEquals("200 first", client.send(Loopback.request("r1", "book", "Content-Length: 0")).readAnswer());
            Socket kept = server.connections.take();
            // It rests before it is used again; the rest is the node's own, by its clock.
            TimeUnit.MILLISECONDS.sleep(30);
            BlockedEventLoop held = new BlockedEventLoop(on.node.loop());
            client.send(Loopback.request("r2", "book", "Content-Length: 0"));
            switch (how) {
                case "reset" -> {
                    kept.setSoLinger(true, 0);
                    kept.close();
                }
                case "close" -> kept.close();
                default -> kept.getOutputStream().write(how.getBytes(StandardCharsets.ISO_8859_1));
            }
            held.releaseAfter(BEHIND_MS);
            assertEquals("200 second", client.readAnswer());
        }
    }

    /** A connection makes one too many, and the one that has been idle for the longest has a request in its socket. */
    @Test
    void idleConnectionWithAnUnreadRequestDoesNotGiveWay() throws Exception {
        List<Client> idle = new ArrayList<>();
        try (FakeServer server = new FakeServer("s1", Loopback.ok("served")); Loopback on = new Loopback(server)) {
            for (int i = 1; i < CROWD; i++) {
                idle.add(on.client().awaitReady());
            }
            BlockedEventLoop held = new BlockedEventLoop(on.node.loop());
            idle.add(on.client());
            idle.get(0).send(Loopback.request("r1", "book", "Content-Length: 0"));
            held.releaseAfter(BEHIND_MS);
            assertEquals("200 served", idle.get(0).readAnswer());
            assertTrue(server.nextRequest().contains("r1"));
        } finally {
            for (Client client : idle) {
                client.close();
            }
        }
    }
}
