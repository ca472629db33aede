package onyxpaddle.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import onyxpaddle.distribution.ConfigurationVersion;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * What carries the configuration is killed, stands still or is cut off in one direction: nodes get changes by way of another one,
 * and nobody goes back to what was before. One fleet for all of it: a publisher, two replicas, three nodes.
 */
class LostControlProcessIT {
    /** How long a process is stopped: past all waits of those that call it. */
    private static final long STOPPED_MS = 10_000;

    @TempDir
    private static Path folder;
    private static ControlFleet fleet;
    private static ControlMachine publisher;
    private static ControlMachine first;
    private static ControlMachine second;
    private static int changes;

    @BeforeAll
    static void start() throws Exception {
        fleet = new ControlFleet(folder);
        publisher = fleet.machine("publisher").startPublisher();
        first = fleet.machine("first");
        second = fleet.machine("second");
        fleet.startReplica(first, publisher, second);
        fleet.startReplica(second, publisher, first);
        for (int i = 0; i < 3; i++) {
            fleet.startNode("n" + i, first, second);
        }
        publisher.awaitAnswering();
        first.awaitAnswering();
        second.awaitAnswering();
    }

    @AfterAll
    static void end() {
        fleet.close();
    }

    @AfterEach
    void heal() {
        fleet.heal();
    }

    /** Publishes routes to a path that no test had before, and returns it. */
    private static String publish() throws Exception {
        String path = "/v" + ++changes;
        publisher.publish(Changes.of(Changes.ROUTES, Changes.routesTo(path)));
        return path;
    }

    private static ControlMachine other(ControlMachine replica) {
        return replica == first ? second : first;
    }

    private static ConfigurationVersion toldBy(ControlMachine control) throws Exception {
        return control.told(ConfigurationVersion.NONE).version();
    }

    private static void awaitLevel(ControlMachine control) throws Exception {
        ConfigurationVersion newest = publisher.status().version();
        Await.until(control.name() + " is at " + newest, () -> toldBy(control).equals(newest), control.process()::log);
    }

    @Test
    void aReplicaIsKilledAndStartsFromItsDisk() throws Exception {
        fleet.awaitInForce(publish());
        ControlMachine killed = fleet.nodes().get(0).attachedTo();
        awaitLevel(killed);
        ConfigurationVersion before = toldBy(killed);

        killed.process().kill();
        String path = publish();
        System.out.println("a replica killed: all nodes in " + fleet.awaitInForce(path) + " ms");
        assertSame(other(killed), fleet.nodes().get(0).attachedTo());

        fleet.link(killed, publisher).cut();
        fleet.link(killed, other(killed)).cut();
        killed.startAgain().awaitAnswering();
        assertEquals(before, toldBy(killed), "what its disk had, as nobody tells it more");
        fleet.heal();
        awaitLevel(killed);
    }

    /** The moment that hurts: changes are coming in, one after the other, and the last one may be kept or not. */
    @Test
    void thePublisherIsKilledAmongChangesAndKeepsAllThatItConfirmed() throws Exception {
        fleet.awaitInForce(publish());
        StreamOfChanges stream = new StreamOfChanges(publisher, changes + 1);
        Await.until("twenty changes are confirmed", () -> stream.confirmed() >= 20, publisher.process()::log);
        publisher.process().kill();
        StreamOfChanges.Last last = stream.end();
        changes = last.tried();

        ConfigurationVersion highest = toldBy(first).compareTo(toldBy(second)) > 0 ? toldBy(first) : toldBy(second);
        publisher.startAgain().awaitAnswering();
        ConfigurationVersion after = toldBy(publisher);
        assertFalse(last.version().isAfter(after), "confirmed " + last.version() + ", has " + after);
        assertFalse(highest.isAfter(after), "a replica has " + highest + ", the publisher " + after);
        System.out.println("the publisher killed: all nodes in " + fleet.awaitInForce(publish()) + " ms from the next change");
    }

    @Test
    void aReplicaIsStoppedForTenSeconds() throws Exception {
        fleet.awaitInForce(publish());
        ControlMachine stopped = fleet.nodes().get(0).attachedTo();
        stopped.process().signal("STOP");
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STOPPED_MS);
        String path = publish();
        System.out.println("a replica stopped: all nodes in " + fleet.awaitInForce(path) + " ms");
        path = publish();
        fleet.awaitInForce(path);
        TimeUnit.NANOSECONDS.sleep(end - System.nanoTime());
        stopped.process().signal("CONT");
        awaitLevel(stopped);
        for (ConfiguredNode node : fleet.nodes()) {
            assertEquals(path, node.inForce(), "what the stopped one believed is not taken");
        }
    }

    /** Requests arrive at a replica, its answers are held: the news of it come late, and all at once. */
    @Test
    void aReplicasAnswersAreHeldAndDeliveredLate() throws Exception {
        fleet.awaitInForce(publish());
        ControlMachine cut = fleet.nodes().get(0).attachedTo();
        fleet.nodes().forEach(node -> node.link(cut).holdAnswers());
        String held = publish();
        System.out.println("answers of a replica held: all nodes in " + fleet.awaitInForce(held) + " ms");
        String newest = publish();
        fleet.awaitInForce(newest);

        fleet.heal();
        String after = publish();
        for (ConfiguredNode node : fleet.nodes()) {
            node.awaitInForceAfter(newest, after);
        }
    }

    /** A replica that hears late is behind the others: a node that comes to it does not go back to what it has. */
    @Test
    void nodesThatComeToAReplicaThatIsBehindKeepWhatTheyHave() throws Exception {
        fleet.awaitInForce(publish());
        awaitLevel(first);
        awaitLevel(second);
        ControlMachine fresh = fleet.nodes().get(0).attachedTo();
        ControlMachine behind = other(fresh);
        fleet.link(behind, publisher).holdAnswers();
        fleet.link(behind, fresh).holdAnswers();
        String path = publish();
        fleet.awaitInForce(path);
        fresh.process().kill();
        List<ConfiguredNode> nodes = fleet.nodes();
        for (ConfiguredNode node : nodes) {
            long asked = node.link(behind).lastNanos();
            Await.until(node.name() + " asks the one that is behind", () -> node.link(behind).lastNanos() > asked, node.process()::log);
            assertEquals(path, node.inForce());
        }
        ConfigurationVersion newest = publisher.status().version();
        assertNotEquals(newest, toldBy(behind));
        for (NodeReport line : behind.status().nodes()) {
            assertTrue(line.node().equals("probe") || line.ageMs() > 0 && line.held().equals(newest), "went back: " + line);
        }
        fleet.heal();
        awaitLevel(behind);
        for (ConfiguredNode node : nodes) {
            assertEquals(path, node.inForce());
        }
        fresh.startAgain().awaitAnswering();
        fleet.awaitInForce(publish());
    }
}
