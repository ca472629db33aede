package onyxpaddle.control;

import static onyxpaddle.control.ControlRig.CLASS;
import static onyxpaddle.control.ControlRig.at;
import static onyxpaddle.control.ControlRig.bytes;
import static onyxpaddle.control.ControlRig.changes;
import static onyxpaddle.control.ControlRig.deadline;
import static onyxpaddle.control.ControlRig.uri;
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
    private static final int GENEROUS_SECONDS = 30;

    @TempDir
    private Path folder;
    private ControlRig rig;
    private ControlProcess publisher;

    @BeforeEach
    void start() throws Exception {
        rig = new ControlRig(folder);
        publisher = rig.publisher("p", 1);
    }

    @AfterEach
    void end() {
        rig.close();
    }

    @Test
    void aChangeReachesANodeOverAReplicaAndIsConfirmed() throws Exception {
        ControlProcess replica = rig.replica("r1", at(publisher));
        ControlProcess further = rig.replica("r2", at(replica));
        ConfigurationVersion begun = new ConfigurationVersion(1, 0);
        rig.await(further, status -> status.version().equals(begun));
        CompletableFuture<Update> call = rig.waiting(further, "n1", begun);
        rig.await(further, status -> status.waiting() == 1);
        Response response = rig.post(publisher, "?acks=1&wait_ms=30000", changes(null, new Change(CLASS, deadline(100))));
        assertEquals(200, response.status(), response.text());
        assertEquals(1, PublishAnswer.read(response.body()).replicas());
        assertEquals(List.of(deadline(100)), ControlRig.values(call.get(GENEROUS_SECONDS, TimeUnit.SECONDS)).toList());
        Response notHere = rig.post(replica, "", changes(null, new Change(CLASS, null)));
        assertEquals(421, notHere.status());
    }

    @Test
    void aReplicaTellsNoLessAfterARestartWithAllOthersGone() throws Exception {
        ControlProcess replica = rig.replica("r1", at(publisher));
        rig.publish(publisher, new Change(CLASS, deadline(100)));
        ConfigurationVersion last = rig.publish(publisher, new Change(CLASS, deadline(200)));
        rig.await(replica, status -> status.version().equals(last));
        rig.stop(publisher);
        rig.stop(replica);
        ControlProcess again = rig.replica("r1", at(publisher));
        Update update = rig.told(again, ConfigurationVersion.NONE, 0);
        assertEquals(List.of(new Entry(CLASS, deadline(200), last)), update.entries());
        assertEquals(last, update.version());
        assertEquals(Update.NO_PUBLISHER_CONTACT, update.staleMs());
        assertEquals(List.of(), rig.told(again, new ConfigurationVersion(1, 2), 0).entries());
    }

    @Test
    void aReplicaWithATornDiskTellsNothingUntilItHasFollowed() throws Exception {
        ControlProcess replica = rig.replica("r1", at(publisher));
        ConfigurationVersion last = rig.publish(publisher, new Change(CLASS, deadline(100)));
        rig.await(replica, status -> status.version().equals(last));
        rig.stop(replica);
        Files.write(rig.state("r1").resolve("configuration.0"), bytes("noise"));
        Files.write(rig.state("r1").resolve("configuration.1"), bytes("noise"));
        rig.stop(publisher);
        ControlProcess torn = rig.replica("r1", at(publisher));
        assertEquals(503, rig.get(torn, uri("n1", "booking", ConfigurationVersion.NONE, 0)).status());
        rig.start(new ControlSettings(at(publisher), "p", rig.state("p"), 1, List.of(), List.of(), ControlSettings.DEFAULT_FULL_UPDATE_RATE));
        rig.await(torn, status -> status.version().equals(last));
        assertEquals(List.of(deadline(100)), ControlRig.values(rig.told(torn, ConfigurationVersion.NONE, 0)).toList());
    }

    @Test
    void aReplicaWithOneTornFileTellsNothingUntilItHasFollowed() throws Exception {
        ControlProcess replica = rig.replica("r1", at(publisher));
        ConfigurationVersion last = rig.publish(publisher, new Change(CLASS, deadline(100)));
        rig.await(replica, status -> status.version().equals(last));
        rig.stop(replica);
        Path newest = Files.getLastModifiedTime(rig.state("r1").resolve("configuration.0"))
            .compareTo(Files.getLastModifiedTime(rig.state("r1").resolve("configuration.1"))) > 0
            ? rig.state("r1").resolve("configuration.0") : rig.state("r1").resolve("configuration.1");
        Files.write(newest, bytes("noise"));
        rig.stop(publisher);
        ControlProcess torn = rig.replica("r1", at(publisher));
        assertEquals(503, rig.get(torn, uri("n1", "booking", ConfigurationVersion.NONE, 0)).status());
        rig.start(new ControlSettings(at(publisher), "p", rig.state("p"), 1, List.of(), List.of(), ControlSettings.DEFAULT_FULL_UPDATE_RATE));
        rig.await(torn, status -> status.version().equals(last));
    }

    @Test
    void aReplicaWhoseDiskRefusesGoesOnTellingWhatItHad() throws Exception {
        ControlProcess replica = rig.replica("r1", at(publisher));
        ConfigurationVersion first = rig.publish(publisher, new Change(CLASS, deadline(100)));
        rig.await(replica, status -> status.version().equals(first));
        Path blocked = rig.state("r1").resolve("configuration.tmp");
        Files.createDirectories(blocked.resolve("in-the-way"));
        long staleMs = rig.status(replica).staleMs();
        ConfigurationVersion second = rig.publish(publisher, new Change(CLASS, deadline(200)));
        Status stale = rig.await(replica, status -> status.staleMs() > 3_000 && status.staleMs() > staleMs);
        assertEquals(first, stale.version());
        assertEquals(List.of(deadline(100)), ControlRig.values(rig.told(replica, ConfigurationVersion.NONE, 0)).toList());
        Files.delete(blocked.resolve("in-the-way"));
        Files.delete(blocked);
        rig.await(replica, status -> status.version().equals(second));
    }

    @Test
    void aTakeOverGoesOnWithTheNewestStateAndFencesTheOldPublisher() throws Exception {
        ControlProcess replica = rig.replica("r1", at(publisher));
        ConfigurationVersion last = rig.publish(publisher, new Change(CLASS, deadline(100)));
        rig.await(replica, status -> status.version().equals(last));
        ControlProcess next = rig.publisher("p2", 2, at(replica), at(publisher));
        assertEquals(new ConfigurationVersion(2, last.number() + 1), rig.status(next).version());
        assertEquals(List.of(new Entry(CLASS, deadline(100), last)), rig.told(next, ConfigurationVersion.NONE, 0).entries());
        assertEquals(410, rig.post(publisher, "", changes(null, new Change(CLASS, deadline(200)))).status());
        rig.stop(replica);
        ControlProcess moved = rig.replica("r1", at(publisher), at(next));
        ConfigurationVersion second = rig.publish(next, new Change(CLASS, deadline(300)));
        rig.await(moved, status -> status.version().equals(second));
        StartRefusedException late = assertThrows(StartRefusedException.class, () -> rig.publisher("p3", 2, at(moved)));
        assertTrue(late.getMessage().contains("epoch 2 has begun already"), late.getMessage());
    }

    @Test
    void aTakeOverFromNobodyDoesNotStart() throws Exception {
        rig.stop(publisher);
        assertThrows(IOException.class, () -> rig.publisher("p2", 2, at(publisher)));
    }

    @Test
    void aPublisherThatTookOverStartsAgainByTheSameCommand() throws Exception {
        ControlProcess next = rig.publisher("p2", 2, at(publisher));
        ConfigurationVersion last = rig.publish(next, new Change(CLASS, deadline(300)));
        rig.stop(next);
        rig.stop(publisher);
        assertEquals(last, rig.status(rig.publisher("p2", 2, at(publisher))).version());
    }
}
