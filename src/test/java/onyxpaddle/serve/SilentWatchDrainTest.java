package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;
import onyxpaddle.serve.ScriptedDiscovery.WithholdAnswer;
import onyxpaddle.serve.ScriptedDiscovery.SendList;
import org.junit.jupiter.api.Test;

/**
 * After many complete answers, a watch and the two calls after it get no answer while a server begins to drain. {@code SilentWatchTest}
 * covers the same with a simulated clock, for watches that fall silent at any time.
 */
class SilentWatchDrainTest {
    private static final int ANSWERED_VERSIONS = 13;
    /** By the platform's rules, a node counts as told this long after its watch fell silent. */
    private static final long KNOWN_AFTER_MS = 6_000;

    @Test
    void drainIsReceivedInTimeAfterALongWorkingWatchFallsSilent() throws Exception {
        try (FakeServer drains = new FakeServer("s1"); FakeServer stays = new FakeServer("s2");
                ScriptedDiscovery discovery = new ScriptedDiscovery(new SendList(Loopback.list(1, drains, stays)))) {
            Node node = discovery.startNode(drains, stays);
            try (Client client = new Client(node.address())) {
                ReadRequests.enqueueAnswers(drains, stays);
                for (int version = 2; version <= ANSWERED_VERSIONS; version++) {
                    discovery.append(ScriptedDiscovery.change(version, stays, "ready"));
                }
                ReadRequests.sendUntilAllReached(client, "before", drains, stays);
                discovery.awaitCallAfter(ANSWERED_VERSIONS);
                long silent = System.nanoTime();
                discovery.append(new WithholdAnswer(), new WithholdAnswer(), new WithholdAnswer(),
                    ScriptedDiscovery.change(ANSWERED_VERSIONS + 1, drains, "draining"));
                discovery.awaitCallAfter(ANSWERED_VERSIONS + 1);
                long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - silent);
                assertTrue(took < KNOWN_AFTER_MS, took + " ms until the drain is in force");
                int before = drains.requests.size();
                // The node may have closed the connection that was idle meanwhile.
                try (Client fresh = new Client(node.address())) {
                    ReadRequests.assertAllServedBy(stays, fresh, "after");
                }
                assertEquals(before, drains.requests.size());
            } finally {
                node.stop();
            }
        }
    }
}
