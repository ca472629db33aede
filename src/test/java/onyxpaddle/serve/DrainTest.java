package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;
import org.junit.jupiter.api.Test;

/** SIGTERM: what was taken is answered, open connections serve on, and the node ends by itself. */
class DrainTest {
    private static final String READY = "GET /ready HTTP/1.1\r\n\r\n";

    @Test
    void openConnectionsServeOnAndTheNodeEnds() throws Exception {
        try (FakeServer server = new FakeServer("s1"); Loopback on = new Loopback(server); Client taken = on.client();
                Client kept = on.client()) {
            while (!kept.say(READY).hear().startsWith("200")) {
                Thread.onSpinWait();
            }
            taken.say(Loopback.request("r1", "book", "Content-Length: 0"));
            server.heard();
            Thread drain = new Thread(on.node::drain);
            drain.start();
            while (!kept.say(READY).hear().startsWith("503")) {
                Thread.onSpinWait();
            }
            server.answers.add(Loopback.ok("taken"));
            assertEquals("200 taken", taken.hear());
            server.answers.add(Loopback.ok("kept"));
            assertEquals("200 kept", kept.say(Loopback.request("r2", "read", "X-Expires-In: 5")).hear());
            taken.socket.close();
            kept.socket.close();
            drain.join(Loopback.PATIENCE_MS);
            assertFalse(drain.isAlive());
        }
    }
}
