package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeDiscovery;
import onyxpaddle.serve.Loopback.FakeServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The operators' door, drain and replacement, on sockets. */
class OperationsTest {
    private static final String READY = "GET /ready HTTP/1.1\r\n\r\n";

    private static Node node(FakeDiscovery discovery, String listen, Path folder, FakeServer... servers) throws Exception {
        return Node.start(PlatformConfig.parse(Loopback.config(discovery, servers).getBytes(StandardCharsets.UTF_8),
            Map.of("GW_LISTEN", listen, "GW_ADMIN", "127.0.0.1:0")), folder.toString());
    }

    private static String call(Node node, String call) throws Exception {
        try (Client operator = new Client(node.adminAddress())) {
            return operator.send(call + " HTTP/1.1\r\n\r\n").readAnswer();
        }
    }

    private static void untilReady(Node node) throws Exception {
        while (!call(node, "GET /ready").startsWith("200")) {
            Thread.onSpinWait();
        }
    }

    @Test
    void whatIsNoCallIsToldSoAndNothingElseIsReached(@TempDir Path folder) throws Exception {
        try (FakeServer server = new FakeServer("s1"); FakeDiscovery discovery = new FakeDiscovery(Loopback.list(1, server))) {
            Node node = node(discovery, "127.0.0.1:0", folder, server);
            assertTrue(call(node, "GET /").startsWith("404"));
            assertTrue(call(node, "GET /drain").startsWith("405"));
            assertTrue(call(node, "POST /ready").startsWith("405"));
            assertTrue(call(node, "nonsense").startsWith("4"));
            assertTrue(call(node, "GET /" + "x".repeat(5000)).startsWith("4"));
            try (Client client = new Client(node.address())) {
                assertTrue(client.send("POST /drain HTTP/1.1\r\nX-Trace-Id: a\r\nContent-Length: 0\r\n\r\n").readAnswer().startsWith("4"));
            }
            untilReady(node);
            node.stop();
        }
    }

    @Test
    void callersWhoSayNothingLeaveRoomForOneWhoSpeaks(@TempDir Path folder) throws Exception {
        List<Client> silent = new ArrayList<>();
        try (FakeServer server = new FakeServer("s1"); FakeDiscovery discovery = new FakeDiscovery(Loopback.list(1, server))) {
            Node node = node(discovery, "127.0.0.1:0", folder, server);
            for (int i = 0; i < 100; i++) {
                silent.add(new Client(node.adminAddress()).send(i % 2 == 0 ? "GET /rea" : ""));
            }
            untilReady(node);
            assertNull(silent.get(0).readAnswer(), "the one that was silent for longest has gone");
            node.stop();
        } finally {
            for (Client c : silent) {
                c.close();
            }
        }
    }

    @Test
    void figuresAreWhatClientsAndServersCounted(@TempDir Path folder) throws Exception {
        try (FakeServer server = new FakeServer("s1"); FakeDiscovery discovery = new FakeDiscovery(Loopback.list(1, server))) {
            Node node = node(discovery, "127.0.0.1:0", folder, server);
            untilReady(node);
            try (Client client = new Client(node.address()); Client waits = new Client(node.address())) {
                for (int i = 0; i < 5; i++) {
                    server.answers.add(Loopback.ok("fine"));
                    client.send(Loopback.request("r" + i, "book", "Content-Length: 0")).readAnswer();
                }
                server.answers.add("HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n");
                assertTrue(client.send(Loopback.request("b1", "book", "Content-Length: 0")).readAnswer().startsWith("502"));
                assertTrue(client.send(Loopback.request("b2", "book", "X-Expires-In: nonsense", "Content-Length: 0")).readAnswer()
                    .startsWith("400"));
                for (int i = 0; i < 6; i++) {
                    server.nextRequest();
                }
                waits.send(Loopback.request("b3", "book", "Content-Length: 0"));
                server.nextRequest();
                String figures = call(node, "GET /metrics");
                assertFigure(figures, "svc_calls_total{tier=\"book\",code=\"success\"} 5");
                assertFigure(figures, "svc_calls_total{tier=\"read\",code=\"busy\"} 0");
                assertFigure(figures, "svc_calls_total{tier=\"book\",code=\"failure\"} 1");
                assertFigure(figures, "svc_backend_calls_total 7");
                assertFigure(figures, "svc_inflight 1");
                assertFigure(figures, "svc_hosts_listed 1");
            }
            node.stop();
        }
    }

    private static void assertFigure(String figures, String line) {
        assertTrue(figures.lines().anyMatch(line::equals), () -> line + " is not in\n" + figures);
    }

    @Test
    void drainEmptiesWithoutLossAndUndrainServesAgain(@TempDir Path folder) throws Exception {
        try (FakeServer server = new FakeServer("s1"); FakeDiscovery discovery = new FakeDiscovery(Loopback.list(1, server))) {
            Node node = node(discovery, "127.0.0.1:0", folder, server);
            untilReady(node);
            try (Client busy = new Client(node.address()); Client idle = new Client(node.address());
                    Client half = new Client(node.address())) {
                server.answers.add(Loopback.ok("before"));
                assertEquals("200 before", idle.send(Loopback.request("r0", "read")).readAnswer());
                server.nextRequest();
                busy.send(Loopback.request("r1", "book", "Content-Length: 0"));
                server.nextRequest();
                half.send("GET /read HTTP/1.1\r\nX-Tra");
                assertTrue(call(node, "POST /drain").startsWith("200"));
                assertTrue(call(node, "GET /ready").startsWith("503"));
                assertNull(idle.readAnswer(), "an idle connection is closed");
                assertTrue(half.readAnswer().startsWith("503"), "what is not whole is turned away");
                server.answers.add(Loopback.ok("taken"));
                assertEquals("200 taken", busy.readAnswer(), "what was taken is answered");
                assertNull(busy.readAnswer(), "and its connection closed");
                assertTrue(call(node, "POST /undrain").startsWith("200"));
                untilReady(node);
                try (Client again = new Client(node.address())) {
                    server.answers.add(Loopback.ok("after"));
                    assertEquals("200 after", again.send(Loopback.request("r2", "read")).readAnswer());
                }
            }
            node.stop();
        }
    }

    @Test
    void nextProcessListensBesideGoesOnFromWhatIsKnownAndTheFirstEnds(@TempDir Path folder) throws Exception {
        try (FakeServer server = new FakeServer("s1"); FakeDiscovery discovery = new FakeDiscovery(Loopback.list(1, server));
                FakeDiscovery second = new FakeDiscovery(Loopback.list(1, server))) {
            Node first = node(discovery, "127.0.0.1:0", folder, server);
            untilReady(first);
            try (Client kept = new Client(first.address()); Client busy = new Client(first.address())) {
                server.answers.add(Loopback.ok("one"));
                assertEquals("200 one", kept.send(Loopback.request("r1", "read")).readAnswer());
                server.nextRequest();
                busy.send(Loopback.request("r2", "book", "Content-Length: 0"));
                server.nextRequest();
                Node next = node(second, "127.0.0.1:" + first.address().getPort(), folder, server);
                untilReady(next);
                Thread end = new Thread(first::drain);
                end.start();
                while (call(first, "GET /ready").startsWith("200")) {
                    Thread.onSpinWait();
                }
                server.answers.add(Loopback.ok("two"));
                server.answers.add(Loopback.ok("three"));
                assertEquals("200 two", busy.readAnswer(), "what the first took it answers");
                assertEquals("200 three", kept.send(Loopback.request("r3", "book", "Content-Length: 0")).readAnswer());
                assertNull(kept.readAnswer(), "and sends its clients to the next");
                end.join(Loopback.TIMEOUT_MS);
                assertFalse(end.isAlive());
                first.stop();
                for (int i = 0; i < 20; i++) {
                    try (Client fresh = new Client(next.address())) {
                        server.answers.add(Loopback.ok("four"));
                        assertEquals("200 four", fresh.send(Loopback.request("n" + i, "book", "Content-Length: 0")).readAnswer());
                    }
                }
                Node third = node(new FakeDiscovery(Loopback.list(1, server)), "127.0.0.1:" + next.address().getPort(), folder,
                    server);
                untilReady(third);
                next.drain();
                next.stop();
                third.stop();
            }
        }
    }

    @Test
    void serverTakenOutByHandStaysOutOverListsAndReplacement(@TempDir Path folder) throws Exception {
        try (FakeServer one = new FakeServer("s1"); FakeServer two = new FakeServer("s2");
                FakeDiscovery discovery = new FakeDiscovery(Loopback.list(1, one, two));
                FakeDiscovery second = new FakeDiscovery(Loopback.list(1, one, two))) {
            Node node = node(discovery, "127.0.0.1:0", folder, one, two);
            untilReady(node);
            assertTrue(call(node, "POST /servers/disable").startsWith("400"));
            assertTrue(call(node, "POST /servers/disable?id=%zz").startsWith("400"));
            assertTrue(call(node, "POST /servers/disable?id=s3").startsWith("404"));
            assertTrue(call(node, "GET /servers/disable?id=s1").startsWith("405"));
            assertTrue(call(node, "POST /servers/disable?id=s1").startsWith("200"));
            assertFigure(call(node, "GET /metrics"), "svc_hosts_down 1");
            discovery.lists.add(Loopback.list(2, one, two));
            for (int calls = 0; calls < 3; calls++) {
                assertTrue(discovery.calls.poll(Loopback.TIMEOUT_MS, java.util.concurrent.TimeUnit.MILLISECONDS) != null);
            }
            askTwenty(node, two);
            Node next = node(second, "127.0.0.1:" + node.address().getPort(), folder, one, two);
            untilReady(next);
            node.drain();
            node.stop();
            askTwenty(next, two);
            assertEquals(0, one.requests.size());
            assertTrue(call(next, "POST /servers/enable?id=s1").startsWith("200"));
            assertTrue(call(next, "POST /servers/disable?id=s2").startsWith("200"));
            askTwenty(next, one);
            assertEquals(40, two.requests.size());
            next.stop();
        }
    }

    private static void askTwenty(Node node, FakeServer server) throws Exception {
        try (Client client = new Client(node.address())) {
            for (int i = 0; i < 20; i++) {
                server.answers.add(Loopback.ok("fine"));
                // A booking, as a slow look-up might be sent twice and take two answers.
                assertEquals("200 fine", client.send(Loopback.request("x" + i, "book", "Content-Length: 0")).readAnswer());
            }
        }
    }

    @Test
    void processKilledAtAnyStepLeavesTheOtherServing(@TempDir Path folder) throws Exception {
        try (FakeServer server = new FakeServer("s1"); FakeDiscovery discovery = new FakeDiscovery(Loopback.list(1, server))) {
            Node first = node(discovery, "127.0.0.1:0", folder, server);
            untilReady(first);
            // The next one dies before its yes: its discovery never answers, so it has asked and listens not yet.
            try (FakeDiscovery mute = new FakeDiscovery("{}")) {
                Node dies = node(mute, "127.0.0.1:" + first.address().getPort(), folder, server);
                dies.stop();
            }
            askTwenty(first, server);
            // One that dies after its yes; the first serves on alone, and a third finds no socket that answers.
            Node second = node(new FakeDiscovery(Loopback.list(1, server)), "127.0.0.1:" + first.address().getPort(), folder, server);
            untilReady(second);
            second.stop();
            askTwenty(first, server);
            Node third = node(new FakeDiscovery(Loopback.list(1, server)), "127.0.0.1:" + first.address().getPort(), folder, server);
            untilReady(third);
            // The first one is killed with nothing said: the third serves all.
            first.stop();
            askTwenty(third, server);
            third.stop();
        }
    }

    @Test
    void processThatFindsASilentOneStartsAlone(@TempDir Path folder) throws Exception {
        try (FakeServer server = new FakeServer("s1"); FakeDiscovery discovery = new FakeDiscovery(Loopback.list(1, server));
                java.nio.channels.ServerSocketChannel silent = java.nio.channels.ServerSocketChannel
                    .open(java.net.StandardProtocolFamily.UNIX)) {
            silent.bind(java.net.UnixDomainSocketAddress.of(folder.resolve("node-" + Integer.toHexString("n0".hashCode())
                + ".sock")));
            Node node = node(discovery, "127.0.0.1:0", folder, server);
            untilReady(node);
            node.stop();
        }
    }
}
