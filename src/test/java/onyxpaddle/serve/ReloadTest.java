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

/** Reload of the configuration on SIGHUP: the node keeps running and uses the discovery that the file now names. */
class ReloadTest {
    @Test
    void reloadSwitchesToTheDiscoveryThatTheFileNames(@TempDir Path folder) throws Exception {
        try (FakeServer before = new FakeServer("s1", Loopback.ok("before"));
                FakeServer after = new FakeServer("s2", Loopback.ok("after"));
                FakeDiscovery next = new FakeDiscovery(Loopback.list(0, after)); Loopback rig = new Loopback(before);
                Loopback.Client client = rig.client()) {
            assertEquals("200 before", client.send(Loopback.request("r1", "read")).readAnswer());
            // The first call after the list does not wait for changes: any answer, also an empty one, makes the node ready.
            assertEquals("GET /v1/endpoints?after=1&wait_ms=0 HTTP/1.1",
                rig.discovery.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            Path file = folder.resolve("config.json");
            Files.writeString(file, Loopback.config(next, before));
            rig.node.reload(Map.of("GW_CONFIG", file.toString(), "GW_DISCOVERY", rig.discovery.address()));

            assertEquals("GET /v1/endpoints HTTP/1.1", next.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            // The second call shows that the node has applied the first list.
            assertNotNull(next.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            rig.discovery.lists.add(Loopback.list(99, before));
            assertEquals("200 after", client.send(Loopback.request("r2", "read")).readAnswer());
            assertEquals(1, before.requests.size());
        }
    }

    /** The next discovery says that there are no servers: what a whole list does not name is gone. */
    @Test
    void emptyListOfTheNextDiscoveryRemovesAllServers(@TempDir Path folder) throws Exception {
        try (FakeServer gone = new FakeServer("s1", Loopback.ok("before"), Loopback.ok("still"));
                FakeDiscovery next = new FakeDiscovery(Loopback.list(0));
                Loopback rig = new Loopback(gone); Loopback.Client client = rig.client()) {
            assertEquals("200 before", client.send(Loopback.request("r1", "read")).readAnswer());
            Path file = Files.writeString(folder.resolve("config.json"), Loopback.config(next));
            rig.node.reload(Map.of("GW_CONFIG", file.toString()));
            assertEquals("GET /v1/endpoints HTTP/1.1", next.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            // The call after the list shows that it is in force.
            assertEquals("GET /v1/endpoints?after=0&wait_ms=2000 HTTP/1.1",
                next.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            assertEquals("503 ", client.send(Loopback.request("r2", "read", "X-Expires-In: 0.3")).readAnswer());
            assertEquals(1, gone.requests.size());
        }
    }

    @Test
    void invalidFileChangesNothing(@TempDir Path folder) throws Exception {
        try (FakeServer server = new FakeServer("s1", Loopback.ok("first")); Loopback rig = new Loopback(server);
                Loopback.Client client = rig.client()) {
            Path file = Files.writeString(folder.resolve("config.json"), "{\"name\":");
            rig.node.reload(Map.of("GW_CONFIG", file.toString()));
            assertEquals("200 first", client.send(Loopback.request("r1", "read")).readAnswer());
        }
    }

    @Test
    void sighupRunsTheHandlerAndDoesNotEndTheProcess() throws Exception {
        CountDownLatch handlerRan = new CountDownLatch(1);
        SighupHandler.install(handlerRan::countDown);
        long self = ProcessHandle.current().pid();
        assertEquals(0, new ProcessBuilder("kill", "-HUP", Long.toString(self)).start().waitFor());
        assertEquals(true, handlerRan.await(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }
}
