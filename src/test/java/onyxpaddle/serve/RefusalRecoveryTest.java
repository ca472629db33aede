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

/** Guards against a node that stops sending requests after repeated failures and so never notices that its servers have recovered. */
class RefusalRecoveryTest {
    private static final int CLIENTS = 8;
    private static final int ROUNDS = 4;
    private static final int FAILURES = 20;
    /** Four times the class's aim of 20 ms. This sleep is the injected fault, not a wait for a condition. */
    private static final long ANSWER_DELAY_MS = 80;

    private static double admitLimit(Node node) {
        return node.loop().submit(() -> node.pools().get("").snapshot().admitLimit()).syncUninterruptibly().getNow();
    }

    private static String booking(String id) {
        return Loopback.request(id, "book", "Content-Length: 0");
    }

    /** Late answers lower the admission limit to its floor of one request. */
    @Test
    void nodeAtTheFloorOfItsAdmissionLimitKeepsSending() throws Exception {
        try (LateServer server = new LateServer(); FakeDiscovery discovery = new FakeDiscovery(Loopback.list(1, server))) {
            String config = Loopback.config(discovery, server).replace("\"aimS\":5", "\"aimS\":0.02");
            Node node = Node.start(PlatformConfig.parse(config.getBytes(StandardCharsets.UTF_8), Map.of()));
            List<Client> clients = new ArrayList<>();
            try {
                for (int i = 0; i < CLIENTS; i++) {
                    clients.add(new Client(node.address()).awaitReady());
                }
                for (int round = 0; round < ROUNDS; round++) {
                    for (int i = 0; i < CLIENTS; i++) {
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

    /** Answers each request after {@link #ANSWER_DELAY_MS}. */
    private static final class LateServer extends FakeServer {
        private LateServer() throws IOException {
            super("s1");
        }

        @Override
        void serve(Socket socket) throws Exception {
            while (Loopback.head(socket.getInputStream()) != null) {
                TimeUnit.MILLISECONDS.sleep(ANSWER_DELAY_MS);
                socket.getOutputStream().write(Loopback.ok("late").getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    /** Each request is sent, however often all servers have failed before. */
    @Test
    void nodeWhoseServersHaveAllFailedTriesThemAgain() throws Exception {
        try (FakeServer one = new FakeServer("s1"); FakeServer other = new FakeServer("s2"); Loopback rig = new Loopback(one, other);
                Client client = rig.client().awaitReady()) {
            for (int i = 0; i < FAILURES; i++) {
                one.answers.add(FakeServer.RESET);
                other.answers.add(FakeServer.RESET);
            }
            for (int i = 0; i < FAILURES; i++) {
                assertEquals("502 ", client.send(booking("fails" + i)).readAnswer());
                assertEquals(i + 1, one.requests.size() + other.requests.size(), "each request is sent once");
            }
            one.answers.clear();
            other.answers.clear();
            one.answers.add(Loopback.ok("back"));
            other.answers.add(Loopback.ok("back"));
            assertEquals("200 back", client.send(booking("next")).readAnswer());
        }
    }
}
