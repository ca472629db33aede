package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.standin.StandInServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reloads while requests are in flight. */
class SidecarReloadTest {
    private static final long TIMEOUT_S = 20;

    private static void await(Condition condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!condition.isMet()) {
            assertTrue(System.nanoTime() < end, "condition not met within " + TIMEOUT_S + " s");
            Thread.sleep(5);
        }
    }

    private interface Condition {
        boolean isMet() throws Exception;
    }

    /**
     * A thousand unsafe requests stay open across twenty reloads that change servers, pool settings and routes, with more requests added
     * after each: every request gets one answer, none runs twice, and no retired configuration remains.
     */
    @Test
    void thousandRequestsInFlightOverTwentyReloads() throws Exception {
        try (StandInServer one = new StandInServer("one", 0).held(true);
                StandInServer two = new StandInServer("two", 0).held(true);
                SidecarRig rig = new SidecarRig(withManyClients(config(0, one, two)))) {
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            while (answers.size() < 1000) {
                book(rig, answers);
            }
            await(() -> one.served() + two.served() == 1000);
            assertEquals(0, answers.stream().filter(CompletableFuture::isDone).count(), "requests answered before the reloads");
            for (int change = 1; change <= 20; change++) {
                String next = withManyClients(config(change, one, two));
                assertNull(rig.node.change(SidecarRig.config(next)).get(TIMEOUT_S, TimeUnit.SECONDS));
                for (int i = 0; i < 10; i++) {
                    book(rig, answers);
                }
            }
            one.held(false);
            two.held(false);
            for (int i = 0; i < answers.size(); i++) {
                HttpResponse<String> answer = answers.get(i).get(TIMEOUT_S, TimeUnit.SECONDS);
                assertEquals(200, answer.statusCode());
                assertEquals(1, one.runs("v" + i) + two.runs("v" + i), "an unsafe request did not run exactly once");
            }
            await(() -> rig.node.retiringCount() == 0);
        }
    }

    private static void book(SidecarRig rig, List<CompletableFuture<HttpResponse<String>>> answers) {
        answers.add(rig.client.sendAsync(rig.request("/visits").header("X-Effect", "v" + answers.size())
            .POST(BodyPublishers.ofString("x")).build(), BodyHandlers.ofString()));
    }

    private static String withManyClients(String config) {
        return config.replace("listeners:", "limits: {descriptors: 10000}\nlisteners:")
            .replace("book: {effect: unsafe, deadline: 5 s}", "book: {effect: unsafe, deadline: 60 s}");
    }

    private static String config(int change, StandInServer one, StandInServer two) {
        String attempts = "attempts: " + (2 + change % 3);
        return switch (change % 4) {
            case 0 -> SidecarRig.simpleConfig(attempts, one, two);
            case 1 -> SidecarRig.simpleConfig(attempts, two);
            case 2 -> SidecarRig.simpleConfig("attempts: 3", one);
            default -> SidecarRig.simpleConfig(attempts, one, two).replace("pools:\n  app:", "pools:\n  box:")
                .replace("pool: app", "pool: box");
        };
    }

    @Test
    void removedPoolStillAnswersItsRequestsInFlight() throws Exception {
        try (StandInServer old = new StandInServer("old", 0).held(true);
                StandInServer next = new StandInServer("next", 0); SidecarRig rig = new SidecarRig(SidecarRig.simpleConfig("", old));
                Client open = new Client(rig.node.address("in"))) {
            open.send("POST /visits HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx");
            await(() -> old.served() == 1);
            String other = SidecarRig.simpleConfig("", next).replace("  app:", "  other:").replace("pool: app", "pool: other");
            assertNull(rig.node.change(SidecarRig.config(other)).get(TIMEOUT_S, TimeUnit.SECONDS));
            assertEquals("next POST /visits 1 bytes\n", rig.post("/visits", "y").body());
            assertEquals(1, rig.node.retiringCount());
            old.held(false);
            assertEquals("200 old POST /visits 1 bytes\n", open.readAnswer());
            await(() -> rig.node.retiringCount() == 0);
        }
    }

    /** The head of a request is routed before a reload, and its body arrives after it. */
    @Test
    void requestPartlyReadAtAReloadKeepsItsRoute() throws Exception {
        try (StandInServer old = new StandInServer("old", 0); StandInServer next = new StandInServer("next", 0);
                SidecarRig rig = new SidecarRig(SidecarRig.simpleConfig("", old));
                Client partial = new Client(rig.node.address("in"))) {
            partial.send("POST /visits HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n");
            assertTrue(partial.readAnswer().startsWith("100"));
            String other = SidecarRig.simpleConfig("", next).replace("  app:", "  other:").replace("pool: app", "pool: other");
            assertNull(rig.node.change(SidecarRig.config(other)).get(TIMEOUT_S, TimeUnit.SECONDS));
            Thread.sleep(150);
            assertEquals("200 old POST /visits 4 bytes\n", partial.send("late").readAnswer());
            await(() -> rig.node.retiringCount() == 0);
        }
    }

    @Test
    void reloadWithAPortInUseChangesNothing() throws Exception {
        ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        try (StandInServer old = new StandInServer("old", 0); StandInServer next = new StandInServer("next", 0);
                SidecarRig rig = new SidecarRig(SidecarRig.simpleConfig("", old))) {
            String wanted = SidecarRig.simpleConfig("", next).replace("  in: {address: \"127.0.0.1:0\"}",
                "  in: {address: \"127.0.0.1:0\"}\n  more: {address: \"127.0.0.1:" + occupied.getLocalPort() + "\"}")
                + "  - {name: more, listener: more, path: /, pool: app, class: book}\n";
            String error = rig.node.change(SidecarRig.config(wanted)).get(TIMEOUT_S, TimeUnit.SECONDS);
            assertTrue(error.startsWith("cannot listen on 127.0.0.1:" + occupied.getLocalPort() + " (more)"), error);
            assertEquals("old POST /visits 1 bytes\n", rig.post("/visits", "x").body());
            occupied.close();
            assertNull(rig.node.change(SidecarRig.config(wanted)).get(TIMEOUT_S, TimeUnit.SECONDS));
            assertEquals("next POST /visits 1 bytes\n", rig.post("/visits", "x").body());
            assertNotNull(rig.node.address("more"));
        }
    }

    @Test
    void removedListenerAnswersItsOpenConnectionsAndAcceptsNoMore() throws Exception {
        try (StandInServer app = new StandInServer("app", 0); SidecarRig rig = new SidecarRig(SidecarRig.simpleConfig("", app));
                Client open = new Client(rig.node.address("in"))) {
            assertEquals("200 app GET /slots 0 bytes\n", open.send("GET /slots HTTP/1.1\r\nHost: a\r\n\r\n").readAnswer());
            int port = rig.node.address("in").getPort();
            String moved = SidecarRig.simpleConfig("", app).replace("  in: {", "  new: {").replace("listener: in", "listener: new");
            assertNull(rig.node.change(SidecarRig.config(moved)).get(TIMEOUT_S, TimeUnit.SECONDS));
            // An open connection gets one more answer, marked as the last by `connection: close`.
            open.send("GET /slots HTTP/1.1\r\nHost: a\r\n\r\n");
            String head = Loopback.head(open.socket.getInputStream());
            assertTrue(head.startsWith("HTTP/1.1 200") && head.toLowerCase().contains("connection: close"), head);
            open.socket.close();
            await(() -> rig.node.retiringCount() == 0);
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                assertEquals(port, free.getLocalPort());
            }
        }
    }

    @Test
    void invalidFileChangesNothing(@TempDir Path folder) throws Exception {
        try (StandInServer app = new StandInServer("app", 0); SidecarRig rig = new SidecarRig(SidecarRig.simpleConfig("", app))) {
            Path file = Files.writeString(folder.resolve("node.yaml"), SidecarRig.simpleConfig("attemps: 2", app));
            rig.node.reload(file);
            rig.node.reload(folder.resolve("none.yaml"));
            assertEquals("app POST /visits 1 bytes\n", rig.post("/visits", "x").body());
            assertEquals(0, rig.node.retiringCount());
        }
    }

    /** Reloads every 50 ms for two seconds, without waiting for any of them to finish. */
    @Test
    void reloadEveryFiftyMillisecondsUnderLoad() throws Exception {
        try (StandInServer one = new StandInServer("one", 0).delay(5, 5); StandInServer two = new StandInServer("two", 0);
                SidecarRig rig = new SidecarRig(config(0, one, two))) {
            List<CompletableFuture<String>> changes = new ArrayList<>();
            for (int i = 1; i <= 40; i++) {
                changes.add(rig.node.change(SidecarRig.config(config(i, one, two))));
                long next = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(50);
                while (System.nanoTime() < next) {
                    assertEquals(200, rig.post("/visits", "x").statusCode());
                }
            }
            for (CompletableFuture<String> change : changes) {
                assertNull(change.get(TIMEOUT_S, TimeUnit.SECONDS));
            }
            await(() -> rig.node.retiringCount() == 0);
        }
    }

    @Test
    void listFileIsFollowedAndATruncatedListIsIgnored(@TempDir Path folder) throws Exception {
        try (StandInServer one = new StandInServer("one", 0); StandInServer two = new StandInServer("two", 0)) {
            Path list = Files.writeString(folder.resolve("boxes.yaml"), "servers: [\"" + one.hostPort() + "\"]\n");
            try (SidecarRig rig = new SidecarRig(SidecarRig.simpleConfig("", one)
                    .replace("servers: [" + one.hostPort() + "]", "file: " + list))) {
                await(() -> rig.get("/slots").statusCode() == 200);
                // Truncated within the second server, whose port number would then be that of another server.
                Files.writeString(list, "servers:\n  - \"" + two.hostPort() + "\"\n  - \"127.0.0.1:1");
                Thread.sleep(900);
                assertTrue(rig.get("/slots").body().startsWith("one "));
                Files.writeString(list, "servers: []\n");
                Thread.sleep(900);
                assertTrue(rig.get("/slots").body().startsWith("one "));
                Files.writeString(list, "servers: [\"" + two.hostPort() + "\"]\ncount: 1\n");
                await(() -> rig.get("/slots").body().startsWith("two "));
                Files.delete(list);
                Thread.sleep(900);
                assertTrue(rig.get("/slots").body().startsWith("two "));
            }
        }
    }

    /** Without this check two sidecars would share the port, each with a part of the connections, and neither would notice. */
    @Test
    void portOfAnotherSidecarIsRejected() throws Exception {
        try (StandInServer box = new StandInServer("box", 0); SidecarRig first = new SidecarRig(SidecarRig.simpleConfig("", box))) {
            String same = SidecarRig.simpleConfig("", box)
                .replace("127.0.0.1:0\"", "127.0.0.1:" + first.node.address("in").getPort() + "\"");
            String error = org.junit.jupiter.api.Assertions.assertThrows(java.io.IOException.class, () -> new SidecarRig(same))
                .getMessage();
            assertTrue(error.startsWith("cannot listen on "), error);
        }
    }
}
