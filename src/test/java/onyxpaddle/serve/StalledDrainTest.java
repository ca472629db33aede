package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.NodeEvent;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;
import onyxpaddle.serve.ScriptedDiscovery.SendList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests that a stalled event loop reads before the news of a drain, in one turn with it, are not sent to the server that drains. */
class StalledDrainTest {
    /** Enough that two weighted draws for each would not avoid the server by chance. */
    private static final int CLIENTS = 16;
    /** Longer than the 2 s after which a draining server may get nothing new, and shorter than a watch may be silent. */
    private static final long BLOCKED_MS = 2_200;
    /** Longer than an idle connection rests before its reuse. */
    private static final long REST_MS = 50;
    private static final String BOOK = "POST /visits HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";

    /** Idle connections are kept for longer than the event loop is blocked, so that a request needs no dial. */
    private static Sidecar start(ScriptedDiscovery discovery) throws Exception {
        return Sidecar.start(SidecarRig.config("""
            version: 1
            name: rig
            listeners:
              in: {address: "127.0.0.1:0"}
            classes:
              book: {effect: unsafe, deadline: 10 s}
            pools:
              app: {discovery: "%s", keep-alive: 30 s}
            routes:
              - {name: book, listener: in, path: /visits, pool: app, class: book}
            """.formatted(discovery.address())));
    }

    @Test
    void requestsReadBeforeTheNewsOfADrainAvoidTheServer() throws Exception {
        List<Client> clients = new ArrayList<>();
        try (FakeServer drains = new FakeServer("s1"); FakeServer stays = new FakeServer("s2");
                ScriptedDiscovery discovery = new ScriptedDiscovery(new SendList(Loopback.list(1, drains, stays)))) {
            Sidecar node = start(discovery);
            try {
                for (int i = 0; i < CLIENTS; i++) {
                    clients.add(new Client(node.address("in")));
                    for (int answer = 0; answer < 2; answer++) {
                        drains.answers.add(Loopback.ok("drains"));
                        stays.answers.add(Loopback.ok("stays"));
                    }
                }
                discovery.awaitCallAfter(1);
                askAll(clients);
                TimeUnit.MILLISECONDS.sleep(REST_MS);
                int before = drains.requests.size();
                assertTrue(before > 0, "there is an idle connection to it");
                BlockedEventLoop blocked = new BlockedEventLoop(node.loop());
                for (Client client : clients) {
                    client.send(BOOK);
                }
                discovery.append(ScriptedDiscovery.change(2, drains, "draining"));
                blocked.releaseAfter(BLOCKED_MS);
                for (Client client : clients) {
                    assertTrue(client.readAnswer().startsWith("200"));
                }
                assertEquals(before, drains.requests.size());
            } finally {
                node.stop();
                for (Client client : clients) {
                    client.close();
                }
            }
        }
    }

    /** The dial succeeds before the news arrives, and the event loop gets to both late. */
    @ParameterizedTest
    @ValueSource(longs = {150, 500, BLOCKED_MS})
    void requestWhoseDialSucceededBeforeTheNewsOfADrainAvoidsTheServer(long blockedMs) throws Exception {
        try (FakeServer drains = new FakeServer("s1"); FakeServer stays = new FakeServer("s2"); FullBacklogServer full = new FullBacklogServer();
                ScriptedDiscovery discovery = new ScriptedDiscovery(
                    new SendList(Loopback.list(1, drains).replace(drains.address(), full.address())))) {
            Node node = discovery.startNode(drains);
            try (Client client = new Client(node.address())) {
                full.fillBacklog();
                client.send(Loopback.request("r1", "book", "Content-Length: 0"));
                Loopback.await(() -> node.loop().submit(() -> node.pools().get("").unanswered()).syncUninterruptibly().getNow() == 1);
                discovery.awaitWatch();
                BlockedEventLoop blocked = new BlockedEventLoop(node.loop());
                try (Socket late = full.acceptDelayed()) {
                    stays.answers.add(Loopback.ok("stays"));
                    discovery.append(new SendList(Loopback.list(2, stays)));
                    blocked.releaseAfter(blockedMs);
                    assertEquals(-1, late.getInputStream().read());
                }
                assertEquals("200 stays", client.readAnswer());
                Dispatcher dispatcher = node.pools().get("");
                assertEquals(1, node.loop().submit(() -> dispatcher.events().total(NodeEvent.ATTEMPT_SERVER_LEAVING)).get());
            } finally {
                node.stop();
            }
        }
    }

    /** Asks over all connections at once, and waits for the answers. */
    private static void askAll(List<Client> clients) throws Exception {
        for (Client client : clients) {
            client.send(BOOK);
        }
        for (Client client : clients) {
            assertTrue(client.readAnswer().startsWith("200"));
        }
    }
}
