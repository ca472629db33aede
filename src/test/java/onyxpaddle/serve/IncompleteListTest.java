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

/** Lists that break off, stall or announce a wrong length: a list that was not read completely is discarded and requested again. */
class IncompleteListTest {
    /**
     * Answers each call with the next of its answers. After an answer that ends with {@code -} it sends nothing more; after one that ends
     * with {@code !} it closes the connection.
     */
    private static final class FaultyDiscovery extends Loopback.Peer {
        final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
        final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
        final CountDownLatch over = new CountDownLatch(1);

        FaultyDiscovery(List<String> answers) throws java.io.IOException {
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

    private static Node node(FaultyDiscovery discovery, FakeServer known) throws Exception {
        String config = Loopback.config(new Loopback.FakeDiscovery("{}"), known);
        return Node.start(PlatformConfig.parse(config.getBytes(StandardCharsets.UTF_8),
            Map.of("GW_DISCOVERY", discovery.address())));
    }

    @ParameterizedTest
    @ValueSource(strings = {"break", "stall", "cut", "silence", "error"})
    void incompleteListIsDiscardedAndRequestedAgain(String fault) throws Exception {
        try (FakeServer before = new FakeServer("s1"); FakeServer after = new FakeServer("s2")) {
            String complete = Loopback.ok(Loopback.list(2, after));
            String truncated = complete.substring(0, complete.length() - 40);
            String faulty = switch (fault) {
                case "break" -> truncated + "!";
                case "stall" -> truncated + "-";
                case "silence" -> "-";
                case "cut" -> Loopback.ok(Loopback.list(2, after).substring(0, 80));
                default -> "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
            };
            try (FaultyDiscovery discovery = new FaultyDiscovery(List.of(faulty, faulty, complete))) {
                Node node = node(discovery, before);
                long start = System.nanoTime();
                try (Client client = new Client(node.address())) {
                    for (int i = 0; i < 3; i++) {
                        assertTrue(discovery.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS).startsWith("GET /v1/endpoints"));
                    }
                    // By the platform's rules, a node counts as told what a failed call missed at most 4 s after the call.
                    assertTrue(System.nanoTime() - start < 4_000_000_000L, "the third call comes too late");
                    // The fourth call is sent once the complete list is in force.
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
    @ValueSource(strings = {"cut", "endless", "no JSON", "without seq", "without hosts", "two documents"})
    void knownServersStayInUseWhileListsCannotBeRead(String fault) throws Exception {
        try (FakeServer known = new FakeServer("s1")) {
            String list = Loopback.list(2);
            String empty = Loopback.ok(list);
            String faulty = switch (fault) {
                case "cut" -> empty.substring(0, 60) + "!";
                case "endless" -> "HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n" + list + "-";
                case "no JSON" -> Loopback.ok("<list/>");
                case "without seq" -> Loopback.ok(list.replace("\"seq\"", "\"at\""));
                case "without hosts" -> Loopback.ok(list.replace("\"hosts\"", "\"servers\""));
                default -> Loopback.ok(list + list);
            };
            try (FaultyDiscovery discovery = new FaultyDiscovery(List.of(faulty, faulty, faulty, "-"))) {
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

    /** The list that a node starts with comes from the same source, and a node that does not start serves nobody. */
    @Test
    void oddEntryOfTheKnownListIsLeftOut() throws Exception {
        try (FakeServer known = new FakeServer("s1")) {
            String config = Loopback.config(new Loopback.FakeDiscovery("{}"), known).replace("\"hosts\":[", "\"hosts\":[{\"host\":\"s0\"},");
            PlatformConfig read = PlatformConfig.parse(config.getBytes(StandardCharsets.UTF_8), Map.of());
            assertEquals(List.of("s1"), read.known().entries().stream().map(e -> e.server()).toList());
        }
    }

    /** A whole list without servers can be read: those that the node knows are gone. */
    @Test
    void knownServersGetNothingOnceAWholeListHasNone() throws Exception {
        try (FakeServer known = new FakeServer("s1", Loopback.ok("known"));
                FaultyDiscovery discovery = new FaultyDiscovery(List.of(Loopback.ok(Loopback.list(2)), "-"))) {
            Node node = node(discovery, known);
            try (Client client = new Client(node.address())) {
                for (String after : List.of("after=1&wait_ms=0", "after=2&wait_ms=2000")) {
                    assertTrue(discovery.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS).contains(after));
                }
                assertEquals("503 ", client.send(Loopback.request("r1", "read", "X-Expires-In: 0.3")).readAnswer());
                assertEquals(0, known.requests.size());
            } finally {
                discovery.over.countDown();
                node.stop();
            }
        }
    }

    /** 1,100 servers with names of 2,000 characters, indented, and then 1,099 changes in one answer. */
    @Test
    void listOf1100ServersIsAcceptedCompletely() throws Exception {
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
            try (FaultyDiscovery discovery = new FaultyDiscovery(List.of(Loopback.ok(list)))) {
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

    /** After a watch without an answer, the next call asks with no wait for what the watch may have missed. */
    @Test
    void callAfterSilentWatchDoesNotWaitForChanges() throws Exception {
        try (FakeServer server = new FakeServer("s1"); Loopback on = new Loopback(server)) {
            assertTrue(on.discovery.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS).contains("after=1&wait_ms=0 "));
            assertTrue(on.discovery.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS).contains("after=1&wait_ms=2000 "));
            assertTrue(on.discovery.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS).contains("after=1&wait_ms=0 "));
        }
    }

    /** In membership mode `ask`, failed calls are repeated in time for rule 3, not with the longer delays for an overloaded discovery. */
    @Test
    void failedCallIsRepeatedSoonInAskMode() throws Exception {
        try (FakeServer before = new FakeServer("s1"); FakeServer after = new FakeServer("s2")) {
            String complete = Loopback.ok(Loopback.list(2, after));
            String faulty = complete.substring(0, complete.length() - 40) + "!";
            try (FaultyDiscovery discovery = new FaultyDiscovery(List.of(faulty, faulty, complete))) {
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
                    // The delays for an overloaded discovery would be 1 to 2 s and 2 to 4 s.
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
