package onyxpaddle.control;

import static onyxpaddle.control.ControlHarness.CLASS;
import static onyxpaddle.control.ControlHarness.OTHER;
import static onyxpaddle.control.ControlHarness.at;
import static onyxpaddle.control.ControlHarness.bytes;
import static onyxpaddle.control.ControlHarness.changes;
import static onyxpaddle.control.ControlHarness.deadline;
import static onyxpaddle.control.ControlHarness.uri;
import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.TimeUnit;
import onyxpaddle.control.ControlClient.Response;
import onyxpaddle.distribution.ConfigurationTable.Change;
import onyxpaddle.distribution.ConfigurationVersion;
import onyxpaddle.distribution.Entry;
import onyxpaddle.distribution.EntryKey;
import onyxpaddle.distribution.Update;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PublisherTest {
    private static final int TIMEOUT_SECONDS = 30;

    @TempDir
    private Path folder;
    private ControlHarness harness;
    private ControlProcess publisher;

    @BeforeEach
    void start() throws Exception {
        harness = new ControlHarness(folder);
        publisher = harness.publisher("p", 1);
    }

    @AfterEach
    void end() {
        harness.close();
    }

    @Test
    void aChangeAnswersAPendingLongPoll() throws Exception {
        ConfigurationVersion first = harness.publish(publisher, new Change(CLASS, deadline(100)));
        assertEquals(new ConfigurationVersion(1, 1), first);
        CompletableFuture<Update> call = harness.longPoll(publisher, "n1", first);
        harness.await(publisher, status -> status.waiting() == 1);
        harness.publish(publisher, new Change(OTHER, deadline(100)));
        ConfigurationVersion third = harness.publish(publisher, new Change(CLASS, deadline(200)));
        // All long polls are re-evaluated before the publisher's answer is sent.
        assertEquals(0, harness.status(publisher).waiting());
        Update update = call.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertFalse(update.full());
        assertEquals(List.of(new Entry(CLASS, deadline(200), third)), update.entries());
        assertEquals(third, update.version());
        assertEquals(0, update.staleMs());
    }

    @Test
    void aLongPollIsAnsweredWithTheVersionAtItsTimeout() throws Exception {
        ConfigurationVersion first = harness.publish(publisher, new Change(CLASS, deadline(100)));
        ConfigurationVersion second = harness.publish(publisher, new Change(OTHER, deadline(100)));
        Update update = harness.fetchUpdate(publisher, first, 1);
        assertEquals(List.of(), update.entries());
        assertEquals(second, update.version());
    }

    @Test
    void pendingLongPollsAreAnsweredAtShutdown() throws Exception {
        ConfigurationVersion first = harness.publish(publisher, new Change(CLASS, deadline(100)));
        CompletableFuture<Update> call = harness.longPoll(publisher, "n1", first);
        harness.await(publisher, status -> status.waiting() == 1);
        harness.stop(publisher);
        assertEquals(first, call.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).version());
    }

    @Test
    void concurrentChangesGetDistinctVersions() throws Exception {
        int publishers = 4;
        CyclicBarrier together = new CyclicBarrier(publishers);
        Set<ConfigurationVersion> versions = ConcurrentHashMap.newKeySet();
        CompletableFuture<?>[] all = new CompletableFuture<?>[publishers];
        for (int i = 0; i < publishers; i++) {
            EntryKey key = EntryKey.parse("service/booking/classes.c" + i);
            all[i] = CompletableFuture.runAsync(() -> {
                try {
                    together.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
                    versions.add(harness.publish(publisher, new Change(key, deadline(100))));
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            }, task -> new Thread(task).start());
        }
        CompletableFuture.allOf(all).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(publishers, versions.size());
        assertEquals(publishers, harness.fetchUpdate(publisher, ConfigurationVersion.NONE, 0).entries().size());
        assertEquals(new ConfigurationVersion(1, publishers), harness.status(publisher).version());
    }

    @Test
    void aKeyThatChangedSinceTheBaseIsAConflict() throws Exception {
        ConfigurationVersion base = harness.publish(publisher, new Change(CLASS, deadline(100)));
        ConfigurationVersion second = harness.publish(publisher, new Change(CLASS, deadline(200)));
        Response both = harness.post(publisher, "", changes(base, new Change(CLASS, deadline(300)), new Change(OTHER, deadline(300))));
        assertEquals(409, both.status());
        assertTrue(both.text().contains("service/booking/classes.look-up changed at 1.2, after the base 1.1"), both.text());
        assertEquals(second, harness.status(publisher).version());
        assertEquals(200, harness.post(publisher, "", changes(base, new Change(OTHER, deadline(300)))).status());
        assertEquals(409, harness.post(publisher, "", changes(new ConfigurationVersion(1, 99), new Change(CLASS, null))).status());
    }

    @Test
    void aFencedPublisherRefusesChangesAndDoesNotRestart() throws Exception {
        harness.publish(publisher, new Change(CLASS, deadline(100)));
        Update update = harness.fetchUpdate(publisher, new ConfigurationVersion(2, 5), 10_000);
        assertEquals(new ConfigurationVersion(1, 1), update.version());
        assertEquals(410, harness.post(publisher, "", changes(null, new Change(CLASS, deadline(200)))).status());
        Status status = harness.status(publisher);
        assertTrue(status.fenced());
        assertEquals(new ConfigurationVersion(1, 1), status.version());
        harness.stop(publisher);
        StartRefusedException refused = assertThrows(StartRefusedException.class, () -> harness.publisher("p", 1));
        assertTrue(refused.getMessage().contains("epoch 1 is over: 2"), refused.getMessage());
    }

    @Test
    void aPublisherThatLostVersionsRefusesChanges() throws Exception {
        harness.fetchUpdate(publisher, new ConfigurationVersion(1, 5), 10_000);
        Response response = harness.post(publisher, "", changes(null, new Change(CLASS, deadline(200))));
        assertEquals(410, response.status());
        assertTrue(response.text().contains("lost"), response.text());
    }

    @Test
    void aFullDiskRefusesTheChangeAndKeepsTheState() throws Exception {
        assumeTrue(Files.exists(Path.of("/dev/full")), "no /dev/full on this system");
        ConfigurationVersion first = harness.publish(publisher, new Change(CLASS, deadline(100)));
        Files.createSymbolicLink(harness.state("p").resolve("configuration.tmp"), Path.of("/dev/full"));
        Response full = harness.post(publisher, "", changes(null, new Change(CLASS, deadline(200))));
        assertEquals(507, full.status(), full.text());
        assertEquals(first, harness.fetchUpdate(publisher, ConfigurationVersion.NONE, 0).version());
        harness.stop(publisher);
        ControlProcess restarted = harness.publisher("p", 1);
        Update update = harness.fetchUpdate(restarted, ConfigurationVersion.NONE, 0);
        assertEquals(List.of(new Entry(CLASS, deadline(100), first)), update.entries());
        assertEquals(new ConfigurationVersion(1, 2), harness.publish(restarted, new Change(CLASS, deadline(300))));
        Files.createSymbolicLink(harness.state("p").resolve("configuration.tmp"), Path.of("/dev/full"));
        assertEquals(507, harness.post(restarted, "", changes(null, new Change(OTHER, deadline(200)))).status());
        assertEquals(new ConfigurationVersion(1, 3), harness.publish(restarted, new Change(CLASS, deadline(400))));
        assertEquals(List.of(deadline(400)), ControlHarness.values(harness.fetchUpdate(restarted, ConfigurationVersion.NONE, 0)).toList());
    }

    @Test
    void aCorruptDiskPreventsAPublisherFromStarting() throws Exception {
        harness.publish(publisher, new Change(CLASS, deadline(100)));
        harness.stop(publisher);
        Files.write(harness.state("p").resolve("configuration.1"), bytes("noise"));
        StartRefusedException refused = assertThrows(StartRefusedException.class, () -> harness.publisher("p", 1));
        assertTrue(refused.getMessage().contains("--take-over-from"), refused.getMessage());
    }

    @Test
    void aMissingStateWithAStoredEpochPreventsAPublisherFromStarting() throws Exception {
        harness.stop(publisher);
        Files.delete(harness.state("p").resolve("configuration.0"));
        Files.delete(harness.state("p").resolve("configuration.1"));
        assertThrows(StartRefusedException.class, () -> harness.publisher("p", 1));
        assertThrows(StartRefusedException.class, () -> harness.publisher("p", 2));
    }

    @Test
    void twoProcessesDoNotShareAFolder() {
        StartRefusedException refused = assertThrows(StartRefusedException.class, () -> harness.publisher("p", 1));
        assertTrue(refused.getMessage().contains("another control process"), refused.getMessage());
    }

    @Test
    void aChangeWithoutTheRequiredAcksIsStoredButNotConfirmed() throws Exception {
        Response response = harness.post(publisher, "?acks=1&wait_ms=1", changes(null, new Change(CLASS, deadline(200))));
        assertEquals(202, response.status());
        assertEquals(new PublishAnswer("1.1", 0, List.of()), PublishAnswer.read(response.body()));
        assertEquals(new ConfigurationVersion(1, 1), harness.status(publisher).version());
    }

    @Test
    void replicasConfirmAChangeWithTheirNextRequest() throws Exception {
        CompletableFuture<Response> call = CompletableFuture.supplyAsync(() -> {
            try {
                return harness.post(publisher, "?acks=2&wait_ms=30000", changes(null, new Change(CLASS, deadline(200))));
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        harness.await(publisher, status -> status.version().number() == 1);
        String held = "/v1/configuration?scope=all&epoch=1&after=1&replica=";
        harness.get(publisher, held + "r1");
        harness.get(publisher, held + "r1");
        harness.get(publisher, held + "p");
        assertFalse(call.isDone());
        harness.get(publisher, held + "r2");
        Response response = call.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(200, response.status());
        assertEquals(2, PublishAnswer.read(response.body()).replicas());
    }

    @Test
    void faultsAreReportedWithTheirLocations() throws Exception {
        Response response = harness.post(publisher, "", changes(null, new Change(CLASS, "effect: safe\ndeadline: 3 apples\n"),
            new Change(OTHER, deadline(100)), new Change(EntryKey.parse("fleet/limits"), "memory: 1 MiB"),
            new Change(EntryKey.parse("fleet/colour"), "red"), new Change(EntryKey.parse("fleet/routes.one"), "x")));
        assertEquals(422, response.status());
        List<String> faults = PublishAnswer.read(response.body()).reasons();
        assertEquals(4, faults.size(), faults.toString());
        assertTrue(faults.stream().anyMatch(f -> f.startsWith("service/booking/classes.look-up:2:11: deadline: ")), faults.toString());
        assertTrue(faults.stream().anyMatch(f -> f.startsWith("fleet/limits: limits: is local to each node")), faults.toString());
        assertEquals(0, harness.status(publisher).version().number());
    }

    @Test
    void aSectionIsRemovedByTheTextNull() throws Exception {
        ConfigurationVersion version = harness.publish(publisher, new Change(CLASS, "null\n"));
        assertEquals(List.of(new Entry(CLASS, "null\n", version)), harness.fetchUpdate(publisher, ConfigurationVersion.NONE, 0).entries());
    }

    @Test
    void invalidRequestsAreRefused() throws Exception {
        assertEquals(400, harness.post(publisher, "", bytes("{\"changes\":[")).status());
        assertEquals(400, harness.post(publisher, "", bytes("{\"changes\":[]}")).status());
        String twoKeys = "{\"changes\":[{\"key\":\"fleet/routes\",\"key\":\"x\",\"value\":null}]}";
        assertEquals(400, harness.post(publisher, "", bytes(twoKeys)).status());
        String twice = "{\"key\":\"fleet/routes\",\"value\":null}";
        assertEquals(400, harness.post(publisher, "", bytes("{\"changes\":[" + twice + "," + twice + "]}")).status());
        assertEquals(400, harness.post(publisher, "?acks=x", changes(null, new Change(CLASS, null))).status());
        assertEquals(413, harness.post(publisher, "", new byte[ChangeJson.MAX_BYTES + 1]).status());
        for (String query : List.of("", "?node=N1", "?node=n1&epoch=x", "?node=n1&epoch=0&after=3", "?node=n1&wait_ms=10001", "?scope=all",
                "?node=n1&node=n2", "?node=n1&in_force=1", "?node=n1&service=%ff")) {
            assertEquals(400, harness.get(publisher, "/v1/configuration" + query).status(), query);
        }
        assertEquals(404, harness.get(publisher, "/v1/other").status());
        assertEquals(405, harness.get(publisher, "/v1/changes").status());
        assertEquals(400, harness.get(publisher, "/v1/configuration?node=" + "a".repeat(9_000)).status());
        assertEquals(0, harness.status(publisher).version().number());
    }

    /** A client that writes its whole request first never gets to the answer if the connection is reset while it writes. */
    @Test
    void bodyThatIsRefusedCanBeSentToItsEnd() throws Exception {
        byte[] rest = new byte[ChangeJson.MAX_BYTES];
        try (Socket client = new Socket(publisher.address().getAddress(), publisher.address().getPort())) {
            client.setSoTimeout(TIMEOUT_SECONDS * 1_000);
            client.getOutputStream().write(("POST /v1/changes HTTP/1.1\r\nHost: a\r\nContent-Length: " + (rest.length + 1) + "\r\n\r\n{")
                .getBytes(StandardCharsets.US_ASCII));
            String answer = new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(answer.startsWith("HTTP/1.1 413 "), answer);
            assertDoesNotThrow(() -> client.getOutputStream().write(rest));
        }
    }

    @Test
    void fullUpdatesBeyondTheRateGetARetryAfter() throws Exception {
        harness.stop(publisher);
        ControlProcess slow = harness.start(new ControlSettings(at(publisher), "p", harness.state("p"), 1, List.of(), List.of(), 100));
        harness.publish(slow, new Change(CLASS, deadline(100) + "#" + "x".repeat(1_000)));
        assertEquals(200, harness.get(slow, uri("n1", "booking", ConfigurationVersion.NONE, 0)).status());
        Response later = harness.get(slow, uri("n2", "booking", ConfigurationVersion.NONE, 0));
        assertEquals(503, later.status());
        assertTrue(later.retryAfterSeconds() >= 10, later.retryAfterSeconds() + " s");
        assertEquals(200, harness.get(slow, uri("n2", "booking", new ConfigurationVersion(1, 0), 0)).status(),
            "a small delta is not rate-limited");
    }

    @Test
    void nodesAreListedWithTheirReports() throws Exception {
        ConfigurationVersion first = harness.publish(publisher, new Change(CLASS, deadline(100)));
        harness.get(publisher, uri("n1", "booking", first, 0) + "&in_force=1.0&refused=1.1&fault="
            + "a%20line%0Aand%20more" + "x".repeat(400));
        NodeReport node = harness.status(publisher).nodes().get(0);
        assertEquals("n1", node.node());
        assertEquals("booking", node.service());
        assertEquals(first, node.held());
        assertEquals(new ConfigurationVersion(1, 0), node.inForce());
        assertEquals(first, node.refused());
        assertTrue(node.fault().startsWith("a line?and more") && node.fault().length() == 300, node.fault());
    }
}
