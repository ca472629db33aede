package onyxpaddle.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import onyxpaddle.distribution.ConfigurationVersion;
import onyxpaddle.drill.ServeProcess;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Control machines in two regions: the publisher is suspended and replaced, and the regions are partitioned. */
class TakeOverIT {
    private static final long SUSPENDED_MS = 10_000;
    /** The documented limit from a change until it is in force on all reachable nodes. */
    private static final long PROPAGATION_LIMIT_MS = 8_000;

    /** Above the staleness of a reachable replica, which sends a request every two seconds. */
    private static final long STALE_MS = 4_000;

    private static int changes;

    private static ChangeBody next() {
        return ChangeBody.of(ChangeBody.ROUTES, ChangeBody.routesTo("/v" + ++changes));
    }

    private static String newest() {
        return "/v" + changes;
    }

    private static void awaitVersion(ControlMachine control, ConfigurationVersion version) throws Exception {
        Await.until(control.name() + " is at " + version, () -> control.status().version().equals(version), control.process()::log);
    }

    /**
     * The publisher is suspended with unread requests in its connections, replaced under the next epoch, and resumed. It must refuse
     * changes from the first request on that names the higher epoch.
     */
    @Test
    void aPublisherThatResumesAfterItsReplacementIsFenced(@TempDir Path folder) throws Exception {
        try (ControlFleet fleet = new ControlFleet(folder)) {
            ControlMachine old = fleet.machine("old").startPublisher();
            ControlMachine successor = fleet.machine("successor");
            ControlMachine replica = fleet.machine("replica");
            fleet.startReplica(successor, old, replica);
            fleet.startReplica(replica, old, successor);
            ConfiguredNode near = fleet.startNode("near", old, replica);
            ConfiguredNode far = fleet.startNode("far", replica, successor);
            old.awaitReady();
            ConfigurationVersion last = old.publish(next());
            fleet.awaitInForce(newest());
            awaitVersion(successor, last);
            awaitVersion(replica, last);

            old.process().signal("STOP");
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SUSPENDED_MS);
            successor.process().kill();
            successor.startTakeOver(2, ServeProcess.hostPort(replica.address())).awaitReady();
            ConfigurationVersion published = successor.publish(next());
            assertEquals(2, published.epoch());
            assertTrue(published.number() > last.number(), "numbers continue: " + last + ", " + published);
            System.out.println("take-over: in force on all nodes after " + fleet.awaitInForce(newest()) + " ms");
            awaitVersion(replica, published);
            TimeUnit.NANOSECONDS.sleep(end - System.nanoTime());
            old.process().signal("CONT");

            // Until it learns of the new epoch it may store a change, but no replica acknowledges it, so it must not confirm it.
            ChangeBody stray = ChangeBody.of(ChangeBody.ROUTES, ChangeBody.routesTo("/stray"));
            int status = old.post(stray, 1).status();
            assertTrue(status == 202 || status == 410, "confirmed with " + status);
            near.link(replica).cut();
            Await.until("the old publisher refuses changes, as a node has named the higher epoch", () -> old.post(stray, 1).status() == 410,
                old.process()::log);
            near.link(replica).restore();
            String before = newest();
            ConfigurationVersion after = successor.publish(next());
            near.awaitInForceAfter(before, newest());
            far.awaitInForceAfter(before, newest());
            awaitVersion(replica, after);
            old.process().kill();
            old.startPublisher();
            assertEquals(78, old.process().exitCode(), "the higher epoch is stored on disk");
            assertTrue(old.process().log().contains("epoch 1 is over"), old.process().log());
        }
    }

    /**
     * The publisher is partitioned together with a replica and a node and replaced on the other side, and accepts a change that the other
     * side never receives. After the partition heals, its side must switch to the next epoch, which drops that change.
     */
    @Test
    void thePartitionOfAReplacedPublisherSwitchesToTheNextEpochAfterItHeals(@TempDir Path folder) throws Exception {
        try (ControlFleet fleet = new ControlFleet(folder)) {
            ControlMachine old = fleet.machine("old").startPublisher();
            ControlMachine neighbour = fleet.machine("neighbour");
            ControlMachine successor = fleet.machine("successor");
            ControlMachine replica = fleet.machine("replica");
            fleet.startReplica(neighbour, old, successor, replica);
            fleet.startReplica(successor, old, neighbour, replica);
            fleet.startReplica(replica, old, neighbour, successor);
            ConfiguredNode near = fleet.startNode("near", old, neighbour, successor, replica);
            ConfiguredNode far = fleet.startNode("far", old, neighbour, successor, replica);
            old.awaitReady();
            ConfigurationVersion last = old.publish(next());
            fleet.awaitInForce(newest());
            awaitVersion(replica, last);

            List<PartitionableLink> crossLinks = List.of(fleet.link(neighbour, successor), fleet.link(neighbour, replica),
                fleet.link(successor, old), fleet.link(successor, neighbour), fleet.link(replica, old), fleet.link(replica, neighbour),
                near.link(successor), near.link(replica), far.link(old), far.link(neighbour));
            crossLinks.forEach(PartitionableLink::refuse);
            successor.process().kill();
            PartitionableLink announcementLink = fleet.extraLink(old);
            announcementLink.refuse();
            successor.startTakeOver(2, ServeProcess.hostPort(replica.address()), announcementLink.address()).awaitReady();
            successor.publish(next());
            far.awaitInForce(newest());
            assertEquals(202, old.post(ChangeBody.of(ChangeBody.ROUTES, ChangeBody.routesTo("/stray")), 2).status(),
                "fewer than two replicas hold it");
            near.awaitInForce("/stray");

            crossLinks.forEach(PartitionableLink::restore);
            announcementLink.restore();
            long elapsed = near.awaitInForce(newest());
            System.out.println("partition of the replaced publisher: the next epoch is in force after " + elapsed + " ms");
            assertTrue(elapsed <= PROPAGATION_LIMIT_MS, "the next epoch was in force " + elapsed + " ms after the partition healed");
            awaitVersion(neighbour, successor.status().version());
            assertEquals(410, old.post(next(), 0).status());
        }
    }

    /** Two of four control machines are partitioned during three changes: they report staleness, their nodes keep serving, all catch up. */
    @Test
    void aPartitionOfRegionsHeals(@TempDir Path folder) throws Exception {
        try (ControlFleet fleet = new ControlFleet(folder)) {
            ControlMachine publisher = fleet.machine("publisher").startPublisher();
            ControlMachine east = fleet.machine("east");
            ControlMachine west = fleet.machine("west");
            ControlMachine far = fleet.machine("far");
            fleet.startReplica(east, publisher, west, far);
            fleet.startReplica(west, publisher, east, far);
            fleet.startReplica(far, publisher, east, west);
            ConfiguredNode here = fleet.startNode("here", publisher, east, west, far);
            ConfiguredNode there = fleet.startNode("there", west, far, publisher, east);
            publisher.awaitReady();
            ConfigurationVersion first = publisher.publish(next());
            String before = newest();
            fleet.awaitInForce(before);
            awaitVersion(west, first);
            awaitVersion(far, first);

            List<PartitionableLink> crossLinks = List.of(fleet.link(west, publisher), fleet.link(west, east), fleet.link(far, publisher),
                fleet.link(far, east), fleet.link(east, west), fleet.link(east, far), here.link(west), here.link(far),
                there.link(publisher), there.link(east));
            crossLinks.forEach(PartitionableLink::cut);
            for (int i = 0; i < 3; i++) {
                publisher.publish(next());
                here.awaitInForce(newest());
            }
            Await.until("the far side reports its staleness", () -> west.status().staleMs() > STALE_MS && far.status().staleMs() > STALE_MS,
                west.process()::log);
            assertEquals(before, there.inForce(), "keeps its last configuration");

            crossLinks.forEach(PartitionableLink::restore);
            long elapsed = there.awaitInForce(newest());
            System.out.println("regions rejoined: the newest version is in force after " + elapsed + " ms");
            assertTrue(elapsed <= PROPAGATION_LIMIT_MS, "the newest version was in force " + elapsed + " ms after the partition healed");
            ConfigurationVersion newest = publisher.status().version();
            awaitVersion(west, newest);
            awaitVersion(far, newest);
        }
    }
}
