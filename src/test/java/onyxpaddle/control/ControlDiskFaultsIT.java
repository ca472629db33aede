package onyxpaddle.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import onyxpaddle.distribution.ConfigurationVersion;
import onyxpaddle.drill.ServeProcess;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Disks that are full or corrupt, and nodes without control processes. All tests share a fleet of a publisher, a replica and a node, and
 * leave it intact.
 */
class ControlDiskFaultsIT {
    @TempDir
    private static Path folder;
    private static ControlFleet fleet;
    private static ControlMachine publisher;
    private static ControlMachine replica;
    private static ConfiguredNode node;
    private static int changes;

    @BeforeAll
    static void start() throws Exception {
        fleet = new ControlFleet(folder);
        publisher = fleet.machine("publisher").startPublisher();
        replica = fleet.machine("replica");
        fleet.startReplica(replica, publisher);
        node = fleet.startNode("n0", replica);
        publisher.awaitReady();
        replica.awaitReady();
    }

    /** Publishes twice, so that there are two generations on each disk. */
    @BeforeEach
    void change() throws Exception {
        publisher.publish(next());
        node.awaitInForce(newest());
        publisher.publish(next());
        node.awaitInForce(newest());
        Await.until("the node has stored it", () -> {
            List<Path> files = snapshots(node.state());
            return files.size() == 2 && Files.readString(files.get(1), StandardCharsets.ISO_8859_1).contains("rewrite: " + newest() + "}");
        }, node.process()::log);
    }

    @AfterAll
    static void end() {
        fleet.close();
    }

    private static ChangeBody next() {
        return ChangeBody.of(ChangeBody.ROUTES, ChangeBody.routesTo("/v" + ++changes));
    }

    private static String newest() {
        return "/v" + changes;
    }

    /** Returns the snapshot files of a state, the newest last. */
    private static List<Path> snapshots(Path state) throws IOException {
        try (Stream<Path> files = Files.list(state)) {
            return files.filter(file -> file.toString().matches(".*/configuration[^/]*\\.[01]"))
                .sorted(Comparator.comparing(ControlDiskFaultsIT::written)).toList();
        }
    }

    private static java.nio.file.attribute.FileTime written(Path file) {
        try {
            return Files.getLastModifiedTime(file);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static Path temporaryOf(Path state) throws IOException {
        String file = snapshots(state).get(0).toString();
        return Path.of(file.substring(0, file.lastIndexOf('.')) + ".tmp");
    }

    /** Truncates the newest file, as a crash of the machine may do. */
    private static void truncateNewest(Path state) throws IOException {
        List<Path> files = snapshots(state);
        Path newest = files.get(files.size() - 1);
        try (FileChannel file = FileChannel.open(newest, StandardOpenOption.WRITE)) {
            file.truncate(file.size() - 3);
        }
    }

    @Test
    void aPublisherWithAFullDiskRefusesChangesUntilThereIsSpace() throws Exception {
        ConfigurationVersion before = publisher.status().version();
        String inForce = newest();
        Files.createSymbolicLink(temporaryOf(publisher.state()), Path.of("/dev/full"));
        assertEquals(507, publisher.post(next(), 0).status());
        assertEquals(before, publisher.status().version());
        assertEquals(before, publisher.fetchUpdate(ConfigurationVersion.NONE).version());
        assertEquals(inForce, node.inForce());
        Files.deleteIfExists(temporaryOf(publisher.state()));
        publisher.publish(next());
        node.awaitInForce(newest());
    }

    @Test
    void aReplicaThatCannotWriteServesItsLastVersionAndReportsStaleness() throws Exception {
        ConfigurationVersion before = replica.status().version();
        String inForce = newest();
        Path temporary = temporaryOf(replica.state());
        Files.createDirectories(temporary.resolve("in-the-way"));
        publisher.publish(next());
        Await.until("its staleness grows", () -> replica.status().staleMs() > 3_000, replica.process()::log);
        assertEquals(before, replica.fetchUpdate(ConfigurationVersion.NONE).version());
        assertEquals(inForce, node.inForce());
        Files.delete(temporary.resolve("in-the-way"));
        Files.deleteIfExists(temporary);
        node.awaitInForce(newest());
        Await.until("it is up to date again", () -> replica.status().staleMs() < 3_000, replica.process()::log);
    }

    @Test
    void aReplicaWithACorruptDiskServesNothingUntilSynchronised() throws Exception {
        ConfigurationVersion before = replica.status().version();
        replica.process().kill();
        truncateNewest(replica.state());
        fleet.link(replica, publisher).cut();
        replica.restart().awaitReady();
        assertEquals(503, replica.get("/v1/configuration?node=probe&service=booking&epoch=0&after=0&wait_ms=0").status());
        assertEquals(newest(), node.inForce());
        fleet.restoreLinks();
        Await.until("it has synchronised", () -> replica.fetchUpdate(ConfigurationVersion.NONE).version().equals(before),
            replica.process()::log);
        publisher.publish(next());
        node.awaitInForce(newest());
    }

    @Test
    void aPublisherWithACorruptDiskDoesNotStart() throws Exception {
        publisher.process().kill();
        truncateNewest(publisher.state());
        publisher.restart();
        assertEquals(78, publisher.process().exitCode());
        assertTrue(publisher.process().log().contains("--take-over-from"), publisher.process().log());
        // Follows the advice of the message: a higher epoch, taken over from the replica.
        publisher.startTakeOver(2, ServeProcess.hostPort(replica.address())).awaitReady();
        publisher.publish(next());
        node.awaitInForce(newest());
    }

    @Test
    void aNodeWithACorruptCacheStartsAndIsUpdated() throws Exception {
        node.process().kill();
        truncateNewest(node.state());
        node.start();
        node.awaitInForce(newest());
        publisher.publish(next());
        node.awaitInForce(newest());
    }

    @Test
    void aNodeWithoutControlProcessesStartsFromItsCache() throws Exception {
        String stored = newest();
        publisher.process().kill();
        replica.process().kill();
        node.process().kill();
        node.start();
        node.awaitInForce(stored);
        Await.until("its log states the age of the stored configuration",
            () -> node.process().log().matches("(?s).* as kept [0-9]+ s ago.*"), node.process()::log);
        publisher.restart().awaitReady();
        replica.restart().awaitReady();
        publisher.publish(next());
        node.awaitInForce(newest());
    }
}
