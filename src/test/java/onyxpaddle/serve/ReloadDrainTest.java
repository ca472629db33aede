package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;
import onyxpaddle.serve.ScriptedDiscovery.SendList;
import onyxpaddle.serve.ScriptedDiscovery.Step;
import onyxpaddle.serve.ScriptedDiscovery.WithholdAnswer;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A reload switches to another discovery service, and directly afterwards a server starts to drain: the server gets no new requests once
 * the node has received the drain.
 */
class ReloadDrainTest {
    /** The drain has to be in force this long after the reload at the latest. */
    private static final long DRAIN_IN_FORCE_MS = 4_000;

    /** How the new discovery reports the draining server; its version numbers are lower than those of the old one. */
    enum Report {
        CHANGE_RIGHT_AFTER_THE_LIST, OMITTED_FROM_THE_LIST,
        /** The first call gets no answer. */
        AFTER_AN_UNANSWERED_CALL;

        private Step[] steps(FakeServer draining, FakeServer remaining) {
            Step both = new SendList(Loopback.list(1, draining, remaining));
            Step change = ScriptedDiscovery.change(2, draining, "draining");
            return switch (this) {
                case CHANGE_RIGHT_AFTER_THE_LIST -> new Step[] {both, change};
                case OMITTED_FROM_THE_LIST -> new Step[] {new SendList(Loopback.list(2, remaining))};
                case AFTER_AN_UNANSWERED_CALL -> new Step[] {new WithholdAnswer(), both, change};
            };
        }
    }

    @ParameterizedTest
    @EnumSource(Report.class)
    void serverThatDrainsRightAfterTheReloadGetsNoNewRequests(Report report, @TempDir Path folder) throws Exception {
        try (FakeServer draining = new FakeServer("s1"); FakeServer remaining = new FakeServer("s2");
                ScriptedDiscovery old = new ScriptedDiscovery(new SendList(Loopback.list(40, draining, remaining)));
                ScriptedDiscovery next = new ScriptedDiscovery(report.steps(draining, remaining))) {
            Node node = old.startNode(draining, remaining);
            try (Client client = new Client(node.address()); Loopback.FakeDiscovery placeholder = new Loopback.FakeDiscovery("")) {
                ReadRequests.enqueueAnswers(draining, remaining);
                ReadRequests.sendUntilAllReached(client, "before", draining, remaining);
                old.awaitCallAfter(40);
                String config = Loopback.config(placeholder, draining, remaining).replace(placeholder.address(), next.address())
                    .replace("\"seq\":1", "\"seq\":40");
                long reloadedAt = System.nanoTime();
                node.reload(Map.of("GW_CONFIG", Files.writeString(folder.resolve("config.json"), config).toString()));
                next.awaitCallAfter(2);
                long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - reloadedAt);
                assertTrue(elapsedMs < DRAIN_IN_FORCE_MS, elapsedMs + " ms until the drain is in force");
                // Lists from the old discovery have no effect any more.
                old.append(new SendList(Loopback.list(41, draining, remaining)));
                int before = draining.requests.size();
                ReadRequests.assertAllServedBy(remaining, client, "after");
                assertEquals(before, draining.requests.size());
            } finally {
                node.stop();
            }
        }
    }
}
