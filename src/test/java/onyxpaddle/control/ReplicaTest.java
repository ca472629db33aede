package onyxpaddle.control;

import static onyxpaddle.control.ControlHarness.CLASS;
import static onyxpaddle.control.ControlHarness.at;
import static onyxpaddle.control.ControlHarness.bytes;
import static onyxpaddle.control.ControlHarness.changes;
import static onyxpaddle.control.ControlHarness.deadline;
import static onyxpaddle.control.ControlHarness.uri;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import onyxpaddle.control.ControlClient.Response;
import onyxpaddle.distribution.ConfigurationTable.Change;
import onyxpaddle.distribution.ConfigurationVersion;
import onyxpaddle.distribution.Entry;
import onyxpaddle.distribution.Update;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ReplicaTest {
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
    void aChangeReachesANodeThroughReplicasAndIsConfirmed() throws Exception {
        ControlProcess replica = harness.replica("r1", at(publisher));
        ControlProcess second = harness.replica("r2", at(replica));
        ConfigurationVersion initial = new ConfigurationVersion(1, 0);
        harness.await(second, status -> status.version().equals(initial));
        CompletableFuture<Update> call = harness.longPoll(second, "n1", initial);
        harness.await(second, status -> status.waiting() == 1);
        Response response = harness.post(publisher, "?acks=1&wait_ms=30000", changes(null, new Change(CLASS, deadline(100))));
        assertEquals(200, response.status(), response.text());
        assertEquals(1, PublishAnswer.read(response.body()).replicas());
        assertEquals(List.of(deadline(100)), ControlHarness.values(call.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).toList());
        Response misdirected = harness.post(replica, "", changes(null, new Change(CLASS, null)));
        assertEquals(421, misdirected.status());
    }

    @Test
    void aReplicaServesTheSameAfterARestartWithoutAPublisher() throws Exception {
        ControlProcess replica = harness.replica("r1", at(publisher));
        harness.publish(publisher, new Change(CLASS, deadline(100)));
        ConfigurationVersion last = harness.publish(publisher, new Change(CLASS, deadline(200)));
        harness.await(replica, status -> status.version().equals(last));
        harness.stop(publisher);
        harness.stop(replica);
        ControlProcess restarted = harness.replica("r1", at(publisher));
        Update update = harness.fetchUpdate(restarted, ConfigurationVersion.NONE, 0);
        assertEquals(List.of(new Entry(CLASS, deadline(200), last)), update.entries());
        assertEquals(last, update.version());
        assertEquals(Update.NO_PUBLISHER_CONTACT, update.staleMs());
        assertEquals(List.of(), harness.fetchUpdate(restarted, new ConfigurationVersion(1, 2), 0).entries());
    }

    @Test
    void aReplicaWithACorruptDiskServesNothingUntilItHasSynchronised() throws Exception {
        ControlProcess replica = harness.replica("r1", at(publisher));
        ConfigurationVersion last = harness.publish(publisher, new Change(CLASS, deadline(100)));
        harness.await(replica, status -> status.version().equals(last));
        harness.stop(replica);
        Files.write(harness.state("r1").resolve("configuration.0"), bytes("noise"));
        Files.write(harness.state("r1").resolve("configuration.1"), bytes("noise"));
        harness.stop(publisher);
        ControlProcess corrupted = harness.replica("r1", at(publisher));
        assertEquals(503, harness.get(corrupted, uri("n1", "booking", ConfigurationVersion.NONE, 0)).status());
        harness.start(new ControlSettings(at(publisher), "p", harness.state("p"), 1, List.of(), List.of(),
            ControlSettings.DEFAULT_FULL_UPDATE_RATE));
        harness.await(corrupted, status -> status.version().equals(last));
        assertEquals(List.of(deadline(100)), ControlHarness.values(harness.fetchUpdate(corrupted, ConfigurationVersion.NONE, 0)).toList());
    }

    @Test
    void aReplicaWithOneCorruptFileServesNothingUntilSynchronised() throws Exception {
        ControlProcess replica = harness.replica("r1", at(publisher));
        ConfigurationVersion last = harness.publish(publisher, new Change(CLASS, deadline(100)));
        harness.await(replica, status -> status.version().equals(last));
        harness.stop(replica);
        Path newest = Files.getLastModifiedTime(harness.state("r1").resolve("configuration.0"))
            .compareTo(Files.getLastModifiedTime(harness.state("r1").resolve("configuration.1"))) > 0
            ? harness.state("r1").resolve("configuration.0") : harness.state("r1").resolve("configuration.1");
        Files.write(newest, bytes("noise"));
        harness.stop(publisher);
        ControlProcess corrupted = harness.replica("r1", at(publisher));
        assertEquals(503, harness.get(corrupted, uri("n1", "booking", ConfigurationVersion.NONE, 0)).status());
        harness.start(new ControlSettings(at(publisher), "p", harness.state("p"), 1, List.of(), List.of(),
            ControlSettings.DEFAULT_FULL_UPDATE_RATE));
        harness.await(corrupted, status -> status.version().equals(last));
    }

    @Test
    void aReplicaThatCannotWriteServesItsLastVersion() throws Exception {
        ControlProcess replica = harness.replica("r1", at(publisher));
        ConfigurationVersion first = harness.publish(publisher, new Change(CLASS, deadline(100)));
        harness.await(replica, status -> status.version().equals(first));
        Path blocked = harness.state("r1").resolve("configuration.tmp");
        Files.createDirectories(blocked.resolve("in-the-way"));
        long staleMs = harness.status(replica).staleMs();
        ConfigurationVersion second = harness.publish(publisher, new Change(CLASS, deadline(200)));
        Status stale = harness.await(replica, status -> status.staleMs() > 3_000 && status.staleMs() > staleMs);
        assertEquals(first, stale.version());
        assertEquals(List.of(deadline(100)), ControlHarness.values(harness.fetchUpdate(replica, ConfigurationVersion.NONE, 0)).toList());
        Files.delete(blocked.resolve("in-the-way"));
        Files.delete(blocked);
        harness.await(replica, status -> status.version().equals(second));
    }

    @Test
    void aTakeOverContinuesFromTheNewestStateAndFencesTheOldPublisher() throws Exception {
        ControlProcess replica = harness.replica("r1", at(publisher));
        ConfigurationVersion last = harness.publish(publisher, new Change(CLASS, deadline(100)));
        harness.await(replica, status -> status.version().equals(last));
        ControlProcess next = harness.publisher("p2", 2, at(replica), at(publisher));
        assertEquals(new ConfigurationVersion(2, last.number() + 1), harness.status(next).version());
        assertEquals(List.of(new Entry(CLASS, deadline(100), last)), harness.fetchUpdate(next, ConfigurationVersion.NONE, 0).entries());
        assertEquals(410, harness.post(publisher, "", changes(null, new Change(CLASS, deadline(200)))).status());
        harness.stop(replica);
        ControlProcess switched = harness.replica("r1", at(publisher), at(next));
        ConfigurationVersion second = harness.publish(next, new Change(CLASS, deadline(300)));
        harness.await(switched, status -> status.version().equals(second));
        StartRefusedException late = assertThrows(StartRefusedException.class, () -> harness.publisher("p3", 2, at(switched)));
        assertTrue(late.getMessage().contains("epoch 2 has begun already"), late.getMessage());
    }

    @Test
    void aTakeOverWithoutAReachableProcessFails() throws Exception {
        harness.stop(publisher);
        assertThrows(IOException.class, () -> harness.publisher("p2", 2, at(publisher)));
    }

    @Test
    void aPublisherThatTookOverRestartsWithTheSameSettings() throws Exception {
        ControlProcess next = harness.publisher("p2", 2, at(publisher));
        ConfigurationVersion last = harness.publish(next, new Change(CLASS, deadline(300)));
        harness.stop(next);
        harness.stop(publisher);
        assertEquals(last, harness.status(harness.publisher("p2", 2, at(publisher))).version());
    }
}
