package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;
import org.junit.jupiter.api.Test;

/** Drain on SIGTERM: accepted requests are answered, open connections are still served, and the node ends by itself. */
class DrainTest {
    private static final String READY = "GET /ready HTTP/1.1\r\n\r\n";

    @Test
    void openConnectionsAreServedUntilTheNodeEnds() throws Exception {
        try (FakeServer server = new FakeServer("s1"); Loopback loopback = new Loopback(server); Client taken = loopback.client();
                Client kept = loopback.client()) {
            while (!kept.send(READY).readAnswer().startsWith("200")) {
                Thread.onSpinWait();
            }
            taken.send(Loopback.request("r1", "book", "Content-Length: 0"));
            server.nextRequest();
            Thread drain = new Thread(loopback.node::drain);
            drain.start();
            while (!kept.send(READY).readAnswer().startsWith("503")) {
                Thread.onSpinWait();
            }
            server.answers.add(Loopback.ok("taken"));
            assertEquals("200 taken", taken.readAnswer());
            server.answers.add(Loopback.ok("kept"));
            assertEquals("200 kept", kept.send(Loopback.request("r2", "read", "X-Expires-In: 5")).readAnswer());
            taken.socket.close();
            kept.socket.close();
            drain.join(Loopback.TIMEOUT_MS);
            assertFalse(drain.isAlive());
        }
    }
}
