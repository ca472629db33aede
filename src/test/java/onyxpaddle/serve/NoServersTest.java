package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;
import onyxpaddle.serve.ScriptedDiscovery.SendList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a node that is never ready, or keeps requests without an answer, where discovery lists no servers. */
class NoServersTest {
    private static final String READY = "GET /ready HTTP/1.1\r\n\r\n";

    @Test
    @Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void nodeThatStartsWithoutServersIsReadyRefusesInTimeAndServesOnceTheyAreListed() throws Exception {
        try (FakeServer server = new FakeServer("s1", Loopback.ok("waited"));
                ScriptedDiscovery discovery = new ScriptedDiscovery(new SendList(Loopback.list(4)))) {
            String config = Loopback.config(new Loopback.FakeDiscovery(""));
            Node node = Node.start(PlatformConfig.parse(config.getBytes(StandardCharsets.UTF_8),
                Map.of("GW_DISCOVERY", discovery.address(), "GW_ADMIN", "127.0.0.1:0")));
            try (Client client = new Client(node.address()); Client operator = new Client(node.adminAddress())) {
                client.awaitReady();
                assertEquals("200 yes, but no server is listed\n", operator.send(READY).readAnswer());
                long sentAt = System.nanoTime();
                assertEquals("503 ", client.send(Loopback.request("r1", "book", "Content-Length: 0", "X-Expires-In: 0.3")).readAnswer());
                assertTrue(System.nanoTime() - sentAt < 800_000_000L, "the refusal is late");
                client.send(Loopback.request("r2", "book", "Content-Length: 0"));
                discovery.append(new SendList(Loopback.list(5, server)));
                assertEquals("200 waited", client.readAnswer());
            } finally {
                node.stop();
            }
        }
        try (FakeServer server = new FakeServer("s1"); Loopback rig = new Loopback("", server);
                Client client = rig.client(); Client operator = new Client(rig.node.adminAddress())) {
            client.awaitReady();
            assertEquals("200 yes\n", operator.send(READY).readAnswer());
        }
    }
}
