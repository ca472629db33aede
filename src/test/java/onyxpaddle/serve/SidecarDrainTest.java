package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;
import onyxpaddle.standin.StandInServer;
import org.junit.jupiter.api.Test;

/** The planned end of a sidecar: the application can still make outbound calls while it answers its open requests. */
class SidecarDrainTest {
    private static final String GET = "GET /slots HTTP/1.1\r\nHost: a\r\n";

    @Test
    void outboundSideServesUntilTheInboundOneHasDrained() throws Exception {
        try (FakeServer app = new FakeServer("app"); StandInServer box = new StandInServer("box", 0);
                SidecarRig rig = new SidecarRig(SidecarRig.simpleConfig("", box)
                    .replace("  in: {address: \"127.0.0.1:0\"}",
                        "  in: {address: \"127.0.0.1:0\"}\n  out: {address: \"127.0.0.1:0\", side: outbound}")
                    .replace("  app:\n", "  own: {servers: [\"" + app.address() + "\"]}\n  app:\n")
                    .replace("pool: app", "pool: own")
                    + "  - {name: out, listener: out, path: /, pool: app, class: look}\n");
                Client caller = new Client(rig.node.address("in"))) {
            caller.send("POST /visits HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            assertTrue(app.nextRequest().startsWith("POST /visits"));
            Thread drain = new Thread(rig.node::drain);
            drain.start();
            // The inbound side stops accepting connections; the application, which is still working, makes an outbound call.
            long end = System.nanoTime() + 10_000_000_000L;
            while (acceptsConnections(rig, "in")) {
                assertTrue(System.nanoTime() < end, "the inbound side still accepts connections after 10 s");
                Thread.sleep(20);
            }
            try (Client outbound = new Client(rig.node.address("out"))) {
                assertEquals("200 box GET /slots 0 bytes\n", outbound.send(GET + "Connection: close\r\n\r\n").readAnswer());
            }
            assertTrue(drain.isAlive());
            app.answers.add(Loopback.ok("done"));
            assertEquals("200 done", caller.readAnswer());
            caller.socket.close();
            drain.join(Loopback.TIMEOUT_MS);
            assertFalse(drain.isAlive());
            assertFalse(acceptsConnections(rig, "out"));
        }
    }

    private static boolean acceptsConnections(SidecarRig rig, String listener) throws Exception {
        try (Client client = new Client(rig.node.address(listener))) {
            return client.socket.isConnected();
        } catch (java.net.ConnectException e) {
            return false;
        }
    }
}
