package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Lists that break off, stall or lie about their length: what was not read whole does not count, and is asked for again. */
class IncompleteListTest {
    /** Answers call after call as its script says; {@code -} holds the answer back for good. */
    private static final class Flaky extends Loopback.Peer {
        final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
        final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
        final CountDownLatch over = new CountDownLatch(1);

        Flaky(List<String> answers) throws java.io.IOException {
            this.answers.addAll(answers);
        }

        @Override
        void serve(Socket socket) throws Exception {
            for (String head = Loopback.head(socket.getInputStream()); head != null;
                    head = Loopback.head(socket.getInputStream())) {
                calls.add(head.split("\r\n")[0]);
                String answer = answers.take();
                socket.getOutputStream().write(answer.replaceFirst("[-!]$", "").getBytes(StandardCharsets.UTF_8));
                if (answer.endsWith("-")) {
                    over.await();
                } else if (answer.endsWith("!")) {
                    return;
                }
            }
        }
    }

    private static Node node(Flaky discovery, FakeServer known) throws Exception {
        String config = Loopback.config(new Loopback.FakeDiscovery("{}"), known);
        return Node.start(PlatformConfig.parse(config.getBytes(StandardCharsets.UTF_8),
            Map.of("GW_DISCOVERY", discovery.address())));
    }

    @ParameterizedTest
    @ValueSource(strings = {"break", "stall", "cut", "silence", "error"})
    void listIsTakenWholeOrNotAtAllAndAskedForAgain(String fault) throws Exception {
        try (FakeServer before = new FakeServer("s1"); FakeServer after = new FakeServer("s2")) {
            String whole = Loopback.ok(Loopback.list(2, after));
            String half = whole.substring(0, whole.length() - 40);
            String bad = switch (fault) {
                case "break" -> half + "!";
                case "stall" -> half + "-";
                case "silence" -> "-";
                case "cut" -> Loopback.ok(Loopback.list(2, after).substring(0, 80));
                default -> "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
            };
            try (Flaky discovery = new Flaky(List.of(bad, bad, whole))) {
                Node node = node(discovery, before);
                long start = System.nanoTime();
                try (Client client = new Client(node.address())) {
                    for (int i = 0; i < 3; i++) {
                        assertTrue(discovery.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS).startsWith("GET /v1/endpoints"));
                    }
                    // What two calls had to tell counted as told 4 s after each, at the latest.
                    assertTrue(System.nanoTime() - start < 4_000_000_000L, "the third call comes too late");
                    // The fourth call comes when the list that was whole is in force.
                    assertTrue(discovery.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS).contains("after=2"));
                    after.answers.add(Loopback.ok("after"));
                    assertEquals("200 after", client.send(Loopback.request("r1", "read")).readAnswer());
                    assertEquals(0, before.requests.size());
                } finally {
                    discovery.over.countDown();
                    node.stop();
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"half", "empty"})
    void whatIsHeldServesOnWhileListsAreOfNoUse(String fault) throws Exception {
        try (FakeServer known = new FakeServer("s1")) {
            String empty = Loopback.ok(Loopback.list(2));
            String bad = fault.equals("half") ? empty.substring(0, 60) + "!" : empty;
            try (Flaky discovery = new Flaky(List.of(bad, bad, bad, "-"))) {
                Node node = node(discovery, known);
                try (Client client = new Client(node.address())) {
                    for (int i = 0; i < 4; i++) {
                        assertTrue(discovery.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS).startsWith("GET /v1/endpoints"));
                    }
                    known.answers.add(Loopback.ok("known"));
                    assertEquals("200 known", client.send(Loopback.request("r1", "read")).readAnswer());
                } finally {
                    discovery.over.countDown();
                    node.stop();
                }
            }
        }
    }

    /** 1,100 servers with long names, indented, and then some hundred changes at once. */
    @Test
    void aListOfElevenHundredIsTakenWhole() throws Exception {
        try (FakeServer before = new FakeServer("s1"); FakeServer only = new FakeServer("z")) {
            StringBuilder hosts = new StringBuilder();
            StringBuilder changes = new StringBuilder();
            String form = "%s\n      {\n        \"host\" : \"%s\",\n        \"dial\" : \"%s\",\n        \"site\" : \"a\",\n        "
                + "\"health\" : \"%s\",\n        \"share\" : 1.0,\n        \"born_ms\" : 0\n      }";
            for (int i = 0; i < 1_100; i++) {
                String name = i == 0 ? only.name : "s-" + i + "-" + "x".repeat(2_000);
                hosts.append(form.formatted(i == 0 ? "" : ",", name, only.address(), "ready"));
                if (i > 0) {
                    changes.append(form.formatted(i == 1 ? "" : ",", name, only.address(), "gone"));
                }
            }
            String list = "{\"seq\":2,\"whole\":true,\n \"hosts\":[" + hosts + "]}";
            String gone = "{\"seq\":3,\"whole\":false,\n \"hosts\":[" + changes + "]}";
            try (Flaky discovery = new Flaky(List.of(Loopback.ok(list)))) {
                Node node = node(discovery, before);
                try (Client client = new Client(node.address())) {
                    for (String after : List.of("wait_ms=0", "after=2")) {
                        assertTrue(discovery.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS).contains(after));
                    }
                    assertEquals(1_100, node.pools().get("").fleet().listed());
                    discovery.answers.add(Loopback.ok(gone));
                    assertTrue(discovery.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS).contains("after=3"));
                    only.answers.add(Loopback.ok("left"));
                    assertEquals("200 left", client.send(Loopback.request("r1", "book", "Content-Length: 0")).readAnswer());
                } finally {
                    discovery.over.countDown();
                    node.stop();
                }
            }
        }
    }

    /** What a watch that fell silent would have told is asked for at once by the next call, which waits for no news. */
    @Test
    void callAfterASilentWatchDoesNotWaitForNews() throws Exception {
        try (FakeServer server = new FakeServer("s1"); Loopback on = new Loopback(server)) {
            assertTrue(on.discovery.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS).contains("after=1&wait_ms=0 "));
            assertTrue(on.discovery.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS).contains("after=1&wait_ms=2000 "));
            assertTrue(on.discovery.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS).contains("after=1&wait_ms=0 "));
        }
    }

    /** Where discovery is asked, calls that broke off are made good within rule 3's time, not by the pauses of an overbooked one. */
    @Test
    void askedDiscoveryIsCalledAgainSoonAfterItBrokeOff() throws Exception {
        try (FakeServer before = new FakeServer("s1"); FakeServer after = new FakeServer("s2")) {
            String whole = Loopback.ok(Loopback.list(2, after));
            String bad = whole.substring(0, whole.length() - 40) + "!";
            try (Flaky discovery = new Flaky(List.of(bad, bad, whole))) {
                String config = Loopback.config(new Loopback.FakeDiscovery("{}"), before)
                    .replace("\"rules\":{", "\"membershipMode\":\"ask\",\"rules\":{\"askEveryS\":10,");
                Node node = Node.start(PlatformConfig.parse(config.getBytes(StandardCharsets.UTF_8),
                    Map.of("GW_DISCOVERY", discovery.address())));
                try {
                    assertTrue(discovery.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS) != null);
                    long start = System.nanoTime();
                    for (int i = 0; i < 3; i++) {
                        assertTrue(discovery.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS) != null);
                    }
                    // The module's own pauses would be 1 to 2 s and 2 to 4 s.
                    long took = System.nanoTime() - start;
                    assertTrue(took < 2_500_000_000L, took / 1_000_000 + " ms until the list is in force");
                } finally {
                    discovery.over.countDown();
                    node.stop();
                }
            }
        }
    }
}
