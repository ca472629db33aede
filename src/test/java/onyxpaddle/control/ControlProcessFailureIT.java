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
 * Control processes are killed, suspended or partitioned in one direction: nodes must get changes through another one and never go back
 * to an earlier version. All tests share a fleet of a publisher, two replicas and three nodes.
 */
class ControlProcessFailureIT {
    /** Longer than all timeouts of the callers of a suspended process. */
    private static final long SUSPENDED_MS = 10_000;

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
        publisher.awaitReady();
        first.awaitReady();
        second.awaitReady();
    }

    @AfterAll
    static void end() {
        fleet.close();
    }

    @AfterEach
    void restoreLinks() {
        fleet.restoreLinks();
    }

    /** Publishes routes to a new path, and returns the path. */
    private static String publish() throws Exception {
        String path = "/v" + ++changes;
        publisher.publish(ChangeBody.of(ChangeBody.ROUTES, ChangeBody.routesTo(path)));
        return path;
    }

    private static ControlMachine other(ControlMachine replica) {
        return replica == first ? second : first;
    }

    private static ConfigurationVersion servedVersion(ControlMachine control) throws Exception {
        return control.fetchUpdate(ConfigurationVersion.NONE).version();
    }

    private static void awaitNewest(ControlMachine control) throws Exception {
        ConfigurationVersion newest = publisher.status().version();
        Await.until(control.name() + " is at " + newest, () -> servedVersion(control).equals(newest), control.process()::log);
    }

    @Test
    void aKilledReplicaRestartsFromItsDisk() throws Exception {
        fleet.awaitInForce(publish());
        ControlMachine killed = fleet.nodes().get(0).activeControl();
        awaitNewest(killed);
        ConfigurationVersion before = servedVersion(killed);

        killed.process().kill();
        String path = publish();
        System.out.println("replica killed: in force on all nodes after " + fleet.awaitInForce(path) + " ms");
        assertSame(other(killed), fleet.nodes().get(0).activeControl());

        fleet.link(killed, publisher).cut();
        fleet.link(killed, other(killed)).cut();
        killed.restart().awaitReady();
        assertEquals(before, servedVersion(killed), "serves the version on its disk, as it is partitioned");
        fleet.restoreLinks();
        awaitNewest(killed);
    }

    /** The publisher is killed during a stream of changes, so the last one may or may not be stored. */
    @Test
    void aPublisherKilledWhilePublishingKeepsAllConfirmedChanges() throws Exception {
        fleet.awaitInForce(publish());
        ChangeStream stream = new ChangeStream(publisher, changes + 1);
        Await.until("twenty changes are confirmed", () -> stream.confirmed() >= 20, publisher.process()::log);
        publisher.process().kill();
        ChangeStream.Progress last = stream.end();
        changes = last.attempted();

        ConfigurationVersion highest = servedVersion(first).compareTo(servedVersion(second)) > 0 ? servedVersion(first)
            : servedVersion(second);
        publisher.restart().awaitReady();
        ConfigurationVersion after = servedVersion(publisher);
        assertFalse(last.version().isAfter(after), "confirmed " + last.version() + ", has " + after);
        assertFalse(highest.isAfter(after), "a replica has " + highest + ", the publisher " + after);
        System.out.println("publisher killed: the next change is in force on all nodes after " + fleet.awaitInForce(publish()) + " ms");
    }

    @Test
    void aReplicaIsSuspendedForTenSeconds() throws Exception {
        fleet.awaitInForce(publish());
        ControlMachine suspended = fleet.nodes().get(0).activeControl();
        suspended.process().signal("STOP");
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SUSPENDED_MS);
        String path = publish();
        System.out.println("replica suspended: in force on all nodes after " + fleet.awaitInForce(path) + " ms");
        path = publish();
        fleet.awaitInForce(path);
        TimeUnit.NANOSECONDS.sleep(end - System.nanoTime());
        suspended.process().signal("CONT");
        awaitNewest(suspended);
        for (ConfiguredNode node : fleet.nodes()) {
            assertEquals(path, node.inForce(), "the old version of the suspended replica is not applied");
        }
    }

    /** Requests reach a replica but its answers are held, and are then delivered late and all at once. */
    @Test
    void delayedAnswersOfAReplicaAreIgnored() throws Exception {
        fleet.awaitInForce(publish());
        ControlMachine delayed = fleet.nodes().get(0).activeControl();
        fleet.nodes().forEach(node -> node.link(delayed).holdAnswers());
        String held = publish();
        System.out.println("answers of a replica held: in force on all nodes after " + fleet.awaitInForce(held) + " ms");
        String newest = publish();
        fleet.awaitInForce(newest);

        fleet.restoreLinks();
        String after = publish();
        for (ConfiguredNode node : fleet.nodes()) {
            node.awaitInForceAfter(newest, after);
        }
    }

    /** A node that switches to a replica with an older version must not go back to that version. */
    @Test
    void nodesThatSwitchToAStaleReplicaKeepTheirVersion() throws Exception {
        fleet.awaitInForce(publish());
        awaitNewest(first);
        awaitNewest(second);
        ControlMachine fresh = fleet.nodes().get(0).activeControl();
        ControlMachine stale = other(fresh);
        fleet.link(stale, publisher).holdAnswers();
        fleet.link(stale, fresh).holdAnswers();
        String path = publish();
        fleet.awaitInForce(path);
        fresh.process().kill();
        List<ConfiguredNode> nodes = fleet.nodes();
        for (ConfiguredNode node : nodes) {
            long lastRequest = node.link(stale).lastNanos();
            Await.until(node.name() + " sends a request to the stale replica", () -> node.link(stale).lastNanos() > lastRequest,
                node.process()::log);
            assertEquals(path, node.inForce());
        }
        ConfigurationVersion newest = publisher.status().version();
        assertNotEquals(newest, servedVersion(stale));
        for (NodeReport report : stale.status().nodes()) {
            assertTrue(report.node().equals("probe") || report.ageMs() > 0 && report.held().equals(newest),
                "went back to an earlier version: " + report);
        }
        fleet.restoreLinks();
        awaitNewest(stale);
        for (ConfiguredNode node : nodes) {
            assertEquals(path, node.inForce());
        }
        fresh.restart().awaitReady();
        fleet.awaitInForce(publish());
    }
}
