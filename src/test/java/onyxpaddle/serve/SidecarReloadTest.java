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

/** Configurations that change while requests are under way. */
class SidecarReloadTest {
    private static final long PATIENCE_S = 20;

    private static void await(Check check) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!check.holds()) {
            assertTrue(System.nanoTime() < end, "waited in vain");
            Thread.sleep(5);
        }
    }

    private interface Check {
        boolean holds() throws Exception;
    }

    /**
     * A thousand bookings that stand open at the same time, more as they are answered, and twenty changes that move
     * servers, pools' settings and routes under them: each has one answer, none runs twice, and nothing of the old is
     * left behind.
     */
    @Test
    void aThousandInFlightOverTwentyChanges() throws Exception {
        try (StandInServer one = new StandInServer("one", 0).held(true);
                StandInServer two = new StandInServer("two", 0).held(true);
                SidecarRig rig = new SidecarRig(manyClients(config(0, one, two)))) {
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            while (answers.size() < 1000) {
                book(rig, answers);
            }
            await(() -> one.served() + two.served() == 1000);
            assertEquals(0, answers.stream().filter(CompletableFuture::isDone).count(), "not in flight any more");
            for (int change = 1; change <= 20; change++) {
                String next = manyClients(config(change, one, two));
                assertNull(rig.node.change(SidecarRig.config(next)).get(PATIENCE_S, TimeUnit.SECONDS));
                for (int i = 0; i < 10; i++) {
                    book(rig, answers);
                }
            }
            one.held(false);
            two.held(false);
            for (int i = 0; i < answers.size(); i++) {
                HttpResponse<String> answer = answers.get(i).get(PATIENCE_S, TimeUnit.SECONDS);
                assertEquals(200, answer.statusCode());
                assertEquals(1, one.runs("v" + i) + two.runs("v" + i), "a booking ran more than once, or never");
            }
            await(() -> rig.node.retiringCount() == 0);
        }
    }

    private static void book(SidecarRig rig, List<CompletableFuture<HttpResponse<String>>> answers) {
        answers.add(rig.client.sendAsync(rig.request("/visits").header("X-Effect", "v" + answers.size())
            .POST(BodyPublishers.ofString("x")).build(), BodyHandlers.ofString()));
    }

    private static String manyClients(String config) {
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
    void poolThatGoesWithRequestsInFlightStillAnswersThem() throws Exception {
        try (StandInServer old = new StandInServer("old", 0).held(true);
                StandInServer next = new StandInServer("next", 0); SidecarRig rig = new SidecarRig(SidecarRig.simpleConfig("", old));
                Client kept = new Client(rig.node.address("in"))) {
            kept.send("POST /visits HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx");
            await(() -> old.served() == 1);
            String other = SidecarRig.simpleConfig("", next).replace("  app:", "  other:").replace("pool: app", "pool: other");
            assertNull(rig.node.change(SidecarRig.config(other)).get(PATIENCE_S, TimeUnit.SECONDS));
            assertEquals("next POST /visits 1 bytes\n", rig.post("/visits", "y").body());
            assertEquals(1, rig.node.retiringCount());
            old.held(false);
            assertEquals("200 old POST /visits 1 bytes\n", kept.readAnswer());
            await(() -> rig.node.retiringCount() == 0);
        }
    }

    /** A request whose head was read by the old routes and whose body comes after the change. */
    @Test
    void requestHalfReadAtAChangeGoesWhereItsHeadSaid() throws Exception {
        try (StandInServer old = new StandInServer("old", 0); StandInServer next = new StandInServer("next", 0);
                SidecarRig rig = new SidecarRig(SidecarRig.simpleConfig("", old));
                Client half = new Client(rig.node.address("in"))) {
            half.send("POST /visits HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n");
            assertTrue(half.readAnswer().startsWith("100"));
            String other = SidecarRig.simpleConfig("", next).replace("  app:", "  other:").replace("pool: app", "pool: other");
            assertNull(rig.node.change(SidecarRig.config(other)).get(PATIENCE_S, TimeUnit.SECONDS));
            Thread.sleep(150);
            assertEquals("200 old POST /visits 4 bytes\n", half.send("late").readAnswer());
            await(() -> rig.node.retiringCount() == 0);
        }
    }

    @Test
    void portThatIsTakenChangesNothing() throws Exception {
        ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        try (StandInServer old = new StandInServer("old", 0); StandInServer next = new StandInServer("next", 0);
                SidecarRig rig = new SidecarRig(SidecarRig.simpleConfig("", old))) {
            String wanted = SidecarRig.simpleConfig("", next).replace("  in: {address: \"127.0.0.1:0\"}",
                "  in: {address: \"127.0.0.1:0\"}\n  more: {address: \"127.0.0.1:" + taken.getLocalPort() + "\"}")
                + "  - {name: more, listener: more, path: /, pool: app, class: book}\n";
            String why = rig.node.change(SidecarRig.config(wanted)).get(PATIENCE_S, TimeUnit.SECONDS);
            assertTrue(why.startsWith("cannot listen on 127.0.0.1:" + taken.getLocalPort() + " (more)"), why);
            assertEquals("old POST /visits 1 bytes\n", rig.post("/visits", "x").body());
            taken.close();
            assertNull(rig.node.change(SidecarRig.config(wanted)).get(PATIENCE_S, TimeUnit.SECONDS));
            assertEquals("next POST /visits 1 bytes\n", rig.post("/visits", "x").body());
            assertNotNull(rig.node.address("more"));
        }
    }

    @Test
    void listenerThatGoesAnswersWhatItHasAndTakesNoMore() throws Exception {
        try (StandInServer app = new StandInServer("app", 0); SidecarRig rig = new SidecarRig(SidecarRig.simpleConfig("", app));
                Client open = new Client(rig.node.address("in"))) {
            assertEquals("200 app GET /slots 0 bytes\n", open.send("GET /slots HTTP/1.1\r\nHost: a\r\n\r\n").readAnswer());
            int port = rig.node.address("in").getPort();
            String moved = SidecarRig.simpleConfig("", app).replace("  in: {", "  new: {").replace("listener: in", "listener: new");
            assertNull(rig.node.change(SidecarRig.config(moved)).get(PATIENCE_S, TimeUnit.SECONDS));
            // An open connection has one more answer, which says that it is the last.
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
    void faultyFileChangesNothing(@TempDir Path folder) throws Exception {
        try (StandInServer app = new StandInServer("app", 0); SidecarRig rig = new SidecarRig(SidecarRig.simpleConfig("", app))) {
            Path file = Files.writeString(folder.resolve("node.yaml"), SidecarRig.simpleConfig("attemps: 2", app));
            rig.node.reload(file);
            rig.node.reload(folder.resolve("none.yaml"));
            assertEquals("app POST /visits 1 bytes\n", rig.post("/visits", "x").body());
            assertEquals(0, rig.node.retiringCount());
        }
    }

    /** Changes every 50 ms for two seconds, none of them waited for. */
    @Test
    void changeEveryFiftyMillisecondsUnderLoad() throws Exception {
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
                assertNull(change.get(PATIENCE_S, TimeUnit.SECONDS));
            }
            await(() -> rig.node.retiringCount() == 0);
        }
    }

    @Test
    void listFileIsFollowedAndHalfAListIsNot(@TempDir Path folder) throws Exception {
        try (StandInServer one = new StandInServer("one", 0); StandInServer two = new StandInServer("two", 0)) {
            Path list = Files.writeString(folder.resolve("boxes.yaml"), "servers: [\"" + one.hostPort() + "\"]\n");
            try (SidecarRig rig = new SidecarRig(SidecarRig.simpleConfig("", one)
                    .replace("servers: [" + one.hostPort() + "]", "file: " + list))) {
                await(() -> rig.get("/slots").statusCode() == 200);
                // Cut off in the middle of its second server, whose port would be another's.
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

    /** Two of them would else share the port, each with a part of the connections, and neither be told. */
    @Test
    void portOfAnotherSidecarIsTaken() throws Exception {
        try (StandInServer box = new StandInServer("box", 0); SidecarRig first = new SidecarRig(SidecarRig.simpleConfig("", box))) {
            String same = SidecarRig.simpleConfig("", box).replace("127.0.0.1:0\"", "127.0.0.1:" + first.node.address("in").getPort() + "\"");
            String why = org.junit.jupiter.api.Assertions.assertThrows(java.io.IOException.class, () -> new SidecarRig(same))
                .getMessage();
            assertTrue(why.startsWith("cannot listen on "), why);
        }
    }
}
