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
 * A watch falls silent after many sound answers, and so do two calls after it; a server begins to drain. {@code SilentWatchTest} has
 * the same by a clock of its own, for any time before it.
 */
class SilentWatchDrainTest {
    private static final int SOUND = 13;
    /** What a silent watch misses counts as told so long after it fell silent. */
    private static final long TOLD_MS = 6_000;

    @Test
    void drainIsHeardInTimeAfterAWatchThatWasSoundForLong() throws Exception {
        try (FakeServer drains = new FakeServer("s1"); FakeServer stays = new FakeServer("s2");
                ScriptedDiscovery discovery = new ScriptedDiscovery(new SendList(Loopback.list(1, drains, stays)))) {
            Node node = discovery.startNode(drains, stays);
            try (Client client = new Client(node.address())) {
                ReadRequests.enqueueAnswers(drains, stays);
                for (int version = 2; version <= SOUND; version++) {
                    discovery.append(ScriptedDiscovery.change(version, stays, "ready"));
                }
                ReadRequests.sendUntilAllReached(client, "before", drains, stays);
                discovery.awaitCallAfter(SOUND);
                long silent = System.nanoTime();
                discovery.append(new WithholdAnswer(), new WithholdAnswer(), new WithholdAnswer(),
                    ScriptedDiscovery.change(SOUND + 1, drains, "draining"));
                discovery.awaitCallAfter(SOUND + 1);
                long told = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - silent);
                assertTrue(told < TOLD_MS, told + " ms until the drain is in force");
                int before = drains.requests.size();
                ReadRequests.assertAllServedBy(stays, client, "after");
                assertEquals(before, drains.requests.size());
            } finally {
                node.stop();
            }
        }
    }
}
