package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeDiscovery;
import onyxpaddle.serve.Loopback.FakeServer;
import org.junit.jupiter.api.Test;

/** A node that has had nothing but bad outcomes goes on trying: it serves as soon as its servers do. */
class RefusalRecoveryTest {
    private static final int AT_ONCE = 8;
    private static final int ROUNDS = 4;
    private static final int FAILURES = 20;
    /** Four times the aim; the fault itself, and not a wait for something. */
    private static final long LATE_MS = 80;

    private static double admitLimit(Node node) {
        return node.loop().submit(() -> node.pools().get("").snapshot().admitLimit()).syncUninterruptibly().getNow();
    }

    private static String booking(String id) {
        return Loopback.request(id, "book", "Content-Length: 0");
    }

    /** Late answers take the number of requests let in at once down to its floor, which lets one in. */
    @Test
    void nodeAtTheFloorOfItsAdmissionLimitSendsOn() throws Exception {
        try (LateServer server = new LateServer(); FakeDiscovery discovery = new FakeDiscovery(Loopback.list(1, server))) {
            String config = Loopback.config(discovery, server).replace("\"aimS\":5", "\"aimS\":0.02");
            Node node = Node.start(PlatformConfig.parse(config.getBytes(StandardCharsets.UTF_8), Map.of()));
            List<Client> clients = new ArrayList<>();
            try {
                for (int i = 0; i < AT_ONCE; i++) {
                    clients.add(new Client(node.address()).awaitReady());
                }
                for (int round = 0; round < ROUNDS; round++) {
                    for (int i = 0; i < AT_ONCE; i++) {
                        clients.get(i).send(booking("late" + round + "-" + i));
                    }
                    for (Client client : clients) {
                        String answer = client.readAnswer();
                        assertTrue(answer.equals("200 late") || answer.startsWith("503"), answer);
                    }
                }
                assertEquals(1, admitLimit(node));
                assertEquals("200 late", clients.get(0).send(booking("next")).readAnswer());
            } finally {
                for (Client client : clients) {
                    client.close();
                }
                node.stop();
            }
        }
    }

    /** Answers each request after four times its aim. */
    private static final class LateServer extends FakeServer {
        private LateServer() throws IOException {
            super("s1");
        }

        @Override
        void serve(Socket socket) throws Exception {
            while (Loopback.head(socket.getInputStream()) != null) {
                TimeUnit.MILLISECONDS.sleep(LATE_MS);
                socket.getOutputStream().write(Loopback.ok("late").getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    /** Each request is tried, however often all servers have failed before it. */
    @Test
    void nodeWhoseServersHaveAllFailedTriesThemAgain() throws Exception {
        try (FakeServer one = new FakeServer("s1"); FakeServer other = new FakeServer("s2"); Loopback on = new Loopback(one, other);
                Client client = on.client().awaitReady()) {
            for (int i = 0; i < FAILURES; i++) {
                one.answers.add(FakeServer.RESET);
                other.answers.add(FakeServer.RESET);
            }
            for (int i = 0; i < FAILURES; i++) {
                assertEquals("502 ", client.send(booking("fails" + i)).readAnswer());
                assertEquals(i + 1, one.requests.size() + other.requests.size(), "each was sent on once");
            }
            one.answers.clear();
            other.answers.clear();
            one.answers.add(Loopback.ok("back"));
            other.answers.add(Loopback.ok("back"));
            assertEquals("200 back", client.send(booking("next")).readAnswer());
        }
    }
}
