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

/** Disks that are full or torn, and nodes that find nobody. One fleet, which each test leaves whole: a publisher, a replica, a node. */
class ControlDisksIT {
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
        publisher.awaitAnswering();
        replica.awaitAnswering();
    }

    /** So that there are two generations on each disk. */
    @BeforeEach
    void change() throws Exception {
        publisher.publish(next());
        node.awaitInForce(newest());
        publisher.publish(next());
        node.awaitInForce(newest());
        Await.until("the node keeps it", () -> {
            List<Path> kept = snapshots(node.state());
            return kept.size() == 2 && Files.readString(kept.get(1), StandardCharsets.ISO_8859_1).contains("rewrite: " + newest() + "}");
        }, node.process()::log);
    }

    @AfterAll
    static void end() {
        fleet.close();
    }

    private static Changes next() {
        return Changes.of(Changes.ROUTES, Changes.routesTo("/v" + ++changes));
    }

    private static String newest() {
        return "/v" + changes;
    }

    /** The files of a state, the one that was written last at the end. */
    private static List<Path> snapshots(Path state) throws IOException {
        try (Stream<Path> files = Files.list(state)) {
            return files.filter(file -> file.toString().matches(".*/configuration[^/]*\\.[01]"))
                .sorted(Comparator.comparing(ControlDisksIT::written)).toList();
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

    /** As a crash of the machine may leave it: the newest file has lost its end. */
    private static void tearNewest(Path state) throws IOException {
        List<Path> files = snapshots(state);
        Path newest = files.get(files.size() - 1);
        try (FileChannel file = FileChannel.open(newest, StandardOpenOption.WRITE)) {
            file.truncate(file.size() - 3);
        }
    }

    @Test
    void aPublisherWhoseDiskIsFullRefusesAndGoesOnOnceThereIsRoom() throws Exception {
        ConfigurationVersion before = publisher.status().version();
        String force = newest();
        Files.createSymbolicLink(temporaryOf(publisher.state()), Path.of("/dev/full"));
        assertEquals(507, publisher.post(next(), 0).status());
        assertEquals(before, publisher.status().version());
        assertEquals(before, publisher.told(ConfigurationVersion.NONE).version());
        assertEquals(force, node.inForce());
        Files.deleteIfExists(temporaryOf(publisher.state()));
        publisher.publish(next());
        node.awaitInForce(newest());
    }

    @Test
    void aReplicaWhoseDiskRefusesTellsWhatItHasAndItsAge() throws Exception {
        ConfigurationVersion before = replica.status().version();
        String force = newest();
        Path temporary = temporaryOf(replica.state());
        Files.createDirectories(temporary.resolve("in-the-way"));
        publisher.publish(next());
        Await.until("its age grows", () -> replica.status().staleMs() > 3_000, replica.process()::log);
        assertEquals(before, replica.told(ConfigurationVersion.NONE).version());
        assertEquals(force, node.inForce());
        Files.delete(temporary.resolve("in-the-way"));
        Files.deleteIfExists(temporary);
        node.awaitInForce(newest());
        Await.until("it is fresh again", () -> replica.status().staleMs() < 3_000, replica.process()::log);
    }

    @Test
    void aReplicaWhoseDiskIsTornTellsNothingUntilItHasFollowed() throws Exception {
        ConfigurationVersion before = replica.status().version();
        replica.process().kill();
        tearNewest(replica.state());
        fleet.link(replica, publisher).cut();
        replica.startAgain().awaitAnswering();
        assertEquals(503, replica.get("/v1/configuration?node=probe&service=booking&epoch=0&after=0&wait_ms=0").status());
        assertEquals(newest(), node.inForce());
        fleet.heal();
        Await.until("it has followed", () -> replica.told(ConfigurationVersion.NONE).version().equals(before), replica.process()::log);
        publisher.publish(next());
        node.awaitInForce(newest());
    }

    @Test
    void aPublisherWhoseDiskIsTornDoesNotStart() throws Exception {
        publisher.process().kill();
        tearNewest(publisher.state());
        publisher.startAgain();
        assertEquals(78, publisher.process().exitCode());
        assertTrue(publisher.process().log().contains("--take-over-from"), publisher.process().log());
        // As it says: a higher epoch, from what the replica has.
        publisher.startTakeOver(2, ServeProcess.text(replica.address())).awaitAnswering();
        publisher.publish(next());
        node.awaitInForce(newest());
    }

    @Test
    void aNodeWhoseKeptStateIsTornStartsAndIsTold() throws Exception {
        node.process().kill();
        tearNewest(node.state());
        node.start();
        node.awaitInForce(newest());
        publisher.publish(next());
        node.awaitInForce(newest());
    }

    @Test
    void aNodeThatFindsNobodyStartsWithWhatItKept() throws Exception {
        String kept = newest();
        publisher.process().kill();
        replica.process().kill();
        node.process().kill();
        node.start();
        node.awaitInForce(kept);
        Await.until("its log says how old it is", () -> node.process().log().matches("(?s).* as kept [0-9]+ s ago.*"),
            node.process()::log);
        publisher.startAgain().awaitAnswering();
        replica.startAgain().awaitAnswering();
        publisher.publish(next());
        node.awaitInForce(newest());
    }
}
