package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import onyxpaddle.serve.Loopback.FakeDiscovery;
import onyxpaddle.serve.Loopback.FakeServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** SIGHUP: the node goes on, with the discovery that the file names now. */
class ReloadTest {
    @Test
    void moveToTheDiscoveryThatTheFileNames(@TempDir Path folder) throws Exception {
        try (FakeServer before = new FakeServer("s1", Loopback.ok("before"));
                FakeServer after = new FakeServer("s2", Loopback.ok("after"));
                FakeDiscovery next = new FakeDiscovery(Loopback.list(0, after)); Loopback on = new Loopback(before);
                Loopback.Client client = on.client()) {
            assertEquals("200 before", client.send(Loopback.request("r1", "read")).readAnswer());
            // At the start nothing is waited for: an answer makes the node ready, be it news or none.
            assertEquals("GET /v1/endpoints?after=1&wait_ms=0 HTTP/1.1", on.discovery.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            Path file = folder.resolve("config.json");
            Files.writeString(file, Loopback.config(next, before));
            on.node.reload(Map.of("GW_CONFIG", file.toString(), "GW_DISCOVERY", on.discovery.address()));

            assertEquals("GET /v1/endpoints HTTP/1.1", next.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            // The second call comes when the first list is in force.
            assertNotNull(next.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            on.discovery.lists.add(Loopback.list(99, before));
            assertEquals("200 after", client.send(Loopback.request("r2", "read")).readAnswer());
            assertEquals(1, before.requests.size());
        }
    }

    /** The file knows of no server, and neither does the discovery that it names, yet: those held stay. */
    @Test
    void emptyListOfTheNextDiscoveryTakesNoServerAway(@TempDir Path folder) throws Exception {
        try (FakeServer held = new FakeServer("s1", Loopback.ok("before"), Loopback.ok("still")); FakeDiscovery next = new FakeDiscovery(Loopback.list(0));
                Loopback on = new Loopback(held); Loopback.Client client = on.client()) {
            assertEquals("200 before", client.send(Loopback.request("r1", "read")).readAnswer());
            Path file = Files.writeString(folder.resolve("config.json"), Loopback.config(next));
            on.node.reload(Map.of("GW_CONFIG", file.toString()));
            // It is asked again for the whole list, as the first was not believed.
            for (int call = 0; call < 2; call++) {
                assertEquals("GET /v1/endpoints HTTP/1.1", next.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            }
            assertEquals("200 still", client.send(Loopback.request("r2", "read")).readAnswer());
        }
    }

    @Test
    void fileThatMakesNoSenseChangesNothing(@TempDir Path folder) throws Exception {
        try (FakeServer server = new FakeServer("s1", Loopback.ok("first")); Loopback on = new Loopback(server);
                Loopback.Client client = on.client()) {
            Path file = Files.writeString(folder.resolve("config.json"), "{\"name\":");
            on.node.reload(Map.of("GW_CONFIG", file.toString()));
            assertEquals("200 first", client.send(Loopback.request("r1", "read")).readAnswer());
        }
    }

    @Test
    void theSignalRunsTheActionAndDoesNotEndTheProcess() throws Exception {
        CountDownLatch signalled = new CountDownLatch(1);
        SighupHandler.install(signalled::countDown);
        long self = ProcessHandle.current().pid();
        assertEquals(0, new ProcessBuilder("kill", "-HUP", Long.toString(self)).start().waitFor());
        assertEquals(true, signalled.await(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }
}
