package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;
import onyxpaddle.serve.ScriptedDiscovery.WithholdAnswer;
import onyxpaddle.serve.ScriptedDiscovery.Step;
import onyxpaddle.serve.ScriptedDiscovery.SendList;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A new configuration moves discovery, and right after that a server begins to drain: nothing new goes to it once it is told. */
class ReloadDrainTest {
    /** What the new discovery has to tell counts as told so long after SIGHUP. */
    private static final long TOLD_MS = 4_000;

    /** How the new discovery tells of the server that drains; its version numbers are lower than those of the old one. */
    enum Told {
        CHANGE_RIGHT_AFTER_THE_LIST, LEFT_OUT_OF_THE_LIST,
        /** The first call is left without an answer. */
        AFTER_A_SILENT_CALL;

        private Step[] steps(FakeServer drains, FakeServer stays) {
            Step both = new SendList(Loopback.list(1, drains, stays));
            Step change = ScriptedDiscovery.change(2, drains, "draining");
            return switch (this) {
                case CHANGE_RIGHT_AFTER_THE_LIST -> new Step[] {both, change};
                case LEFT_OUT_OF_THE_LIST -> new Step[] {new SendList(Loopback.list(2, stays))};
                case AFTER_A_SILENT_CALL -> new Step[] {new WithholdAnswer(), both, change};
            };
        }
    }

    @ParameterizedTest
    @EnumSource(Told.class)
    void nothingGoesToAServerThatDrainsRightAfterTheMove(Told told, @TempDir Path folder) throws Exception {
        try (FakeServer drains = new FakeServer("s1"); FakeServer stays = new FakeServer("s2");
                ScriptedDiscovery old = new ScriptedDiscovery(new SendList(Loopback.list(40, drains, stays)));
                ScriptedDiscovery next = new ScriptedDiscovery(told.steps(drains, stays))) {
            Node node = old.startNode(drains, stays);
            try (Client client = new Client(node.address()); Loopback.FakeDiscovery other = new Loopback.FakeDiscovery("")) {
                ReadRequests.enqueueAnswers(drains, stays);
                ReadRequests.sendUntilAllReached(client, "before", drains, stays);
                old.awaitCallAfter(40);
                String config = Loopback.config(other, drains, stays).replace(other.address(), next.address())
                    .replace("\"seq\":1", "\"seq\":40");
                long hangup = System.nanoTime();
                node.reload(Map.of("GW_CONFIG", Files.writeString(folder.resolve("config.json"), config).toString()));
                next.awaitCallAfter(2);
                long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - hangup);
                assertTrue(took < TOLD_MS, took + " ms until the drain is in force");
                // What the old one still says changes nothing.
                old.append(new SendList(Loopback.list(41, drains, stays)));
                int before = drains.requests.size();
                ReadRequests.assertAllServedBy(stays, client, "after");
                assertEquals(before, drains.requests.size());
            } finally {
                node.stop();
            }
        }
    }
}
