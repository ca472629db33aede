package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import onyxpaddle.distribution.ConfigurationTable;
import onyxpaddle.distribution.ConfigurationVersion;
import onyxpaddle.distribution.EntryKey;
import onyxpaddle.distribution.FakeReplica;
import onyxpaddle.distribution.Subscription;
import onyxpaddle.distribution.ReplicaSelector;
import onyxpaddle.distribution.Update;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Configuration from control processes over loopback: what comes into force, what is refused, what is cached, and what a start uses. */
class DistributedConfigurationTest {
    private static final String APP = "{servers: [\"127.0.0.1:7001\"], attempts: %d}";

    @TempDir
    private Path state;

    private static ConfigurationVersion version(long epoch, long number) {
        return new ConfigurationVersion(epoch, number);
    }

    private static String app(int attempts) {
        return APP.formatted(attempts);
    }

    // ---- updates ----

    @Test
    void changeComesIntoForceAndIsReported() throws Exception {
        try (FakeReplica replica = new FakeReplica(); HollowNode node = new HollowNode(null, replica)) {
            node.start().get(20, TimeUnit.SECONDS);
            assertEquals(List.of(2), node.attempts());
            ConfigurationVersion at = replica.publish("service/booking/pools.app", app(7));
            Map<String, String> call = replica.awaitCall("in_force", at.toString());
            assertEquals("n1", call.get("node"));
            assertEquals("booking", call.get("service"));
            assertEquals(List.of(2, 7), node.attempts());
            replica.publish("service/booking/pools.app", null);
            node.awaitAttempts(2);
        }
    }

    /** Changes outside the node's scopes advance its version, and nothing is applied for them. */
    @Test
    void versionAdvancesWithoutARelevantChange() throws Exception {
        try (FakeReplica replica = new FakeReplica(); HollowNode node = new HollowNode(null, replica)) {
            node.start().get(20, TimeUnit.SECONDS);
            ConfigurationVersion at = replica.publish("service/records/pools.app", app(9));
            replica.awaitCall("in_force", at.toString());
            assertEquals(List.of(2), node.attempts());
        }
    }

    @Test
    void pagesAreAppliedTogether() throws Exception {
        ConfigurationTable table = ConfigurationTable.initial(1)
            .withChanges(1, List.of(change("fleet/pools.app", app(5)))).withChanges(1, List.of(change("fleet/tenant", "kigali")));
        Update full = table.fullUpdate(new Subscription("n1", "booking"), 0);
        Update first = new Update(table.version(), true, true, full.entries().subList(0, 1), 0);
        Update second = new Update(table.version(), false, false, full.entries().subList(1, 2), 0);
        try (FakeReplica replica = new FakeReplica(); HollowNode node = new HollowNode(null, replica)) {
            replica.setTable(table);
            // The second page is cut off at first, so the node starts again with the first.
            replica.enqueueAnswers(FakeReplica.ok(first), FakeReplica.RESET, FakeReplica.ok(first), FakeReplica.ok(second));
            node.start().get(20, TimeUnit.SECONDS);
            assertEquals(List.of(5), node.attempts());
            assertEquals("kigali", node.applied.get(0).tenant());
            List<Map<String, String>> calls = new ArrayList<>();
            replica.calls.drainTo(calls);
            assertNull(calls.get(0).get("page_of"));
            assertEquals("1.2", calls.get(1).get("page_of"));
            assertEquals("1", calls.get(1).get("after"));
            assertNull(calls.get(2).get("page_of"));
            assertEquals("1.2", calls.get(3).get("page_of"));
        }
    }

    @Test
    void onlyTheNewestOfSeveralPendingVersionsIsApplied() throws Exception {
        try (FakeReplica replica = new FakeReplica(); HollowNode node = new HollowNode(null, replica)) {
            node.start().get(20, TimeUnit.SECONDS);
            CompletableFuture<String> outcome = node.holdNextOutcome();
            replica.publish("fleet/pools.app", app(3));
            node.awaitAttempts(3);
            for (int attempts = 4; attempts <= 8; attempts++) {
                ConfigurationVersion at = replica.publish("fleet/pools.app", app(attempts));
                // The node has received this version once its next call continues from it.
                replica.awaitCall("after", Long.toString(at.number()));
            }
            outcome.complete(null);
            node.awaitAttempts(8);
            assertEquals(List.of(2, 3, 8), node.attempts());
        }
    }

    /** Even if every answer comes at once, at most four calls a second follow answers: seven further calls take 1.75 s. */
    @Test
    void callRateAfterAnswersIsLimited() throws Exception {
        try (FakeReplica replica = new FakeReplica(); HollowNode node = new HollowNode(null, replica)) {
            String empty = FakeReplica.ok(new Update(version(1, 0), false, false, List.of(), 0));
            String full = FakeReplica.ok(replica.table().fullUpdate(new Subscription("n1", "booking"), 0));
            replica.enqueueAnswers(full, empty, empty, empty, empty, empty, empty, empty);
            long start = System.nanoTime();
            node.start();
            for (int i = 0; i < 8; i++) {
                replica.calls.take();
            }
            long took = System.nanoTime() - start;
            assertTrue(took >= TimeUnit.MILLISECONDS.toNanos(1700), "eight calls in " + took / 1e9 + " s");
        }
    }

    // ---- broken answers and older versions ----

    @ParameterizedTest
    @ValueSource(strings = {"reset", "cut", "stall", "silence", "noise", "no update", "bad entry", "busy", "error"})
    void brokenAnswerChangesNothingAndIsRequestedAgain(String fault) throws Exception {
        try (FakeReplica replica = new FakeReplica(); HollowNode node = new HollowNode(null, replica)) {
            replica.publish("fleet/pools.app", app(6));
            String valid = FakeReplica.ok(replica.table().fullUpdate(new Subscription("n1", "booking"), 0));
            String bad = switch (fault) {
                case "reset" -> FakeReplica.RESET;
                case "cut" -> valid.substring(0, valid.length() - 20);
                case "stall" -> valid.substring(0, valid.length() - 20) + FakeReplica.STALL;
                case "silence" -> FakeReplica.STALL;
                case "noise" -> FakeReplica.ok("\u0000<html>");
                case "no update" -> FakeReplica.ok("{\"version\":\"1.1\",\"whole\":true}");
                case "bad entry" -> FakeReplica.ok("{\"version\":\"1.1\",\"whole\":true,"
                    + "\"entries\":[{\"key\":\"x\",\"value\":\"1\",\"changed\":\"1.1\"}]}");
                case "busy" -> FakeReplica.busy("1");
                default -> "HTTP/1.1 400 Bad\r\nContent-Length: 2\r\n\r\nno";
            };
            replica.enqueueAnswers(bad);
            node.start().get(20, TimeUnit.SECONDS);
            node.awaitAttempts(6);
            // A start that waited too long may have applied the file alone first; nothing else may have been applied.
            assertTrue(Stream.of(List.of(6), List.of(2, 6)).anyMatch(node.attempts()::equals), node.attempts().toString());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"1.3", "1.9"})
    void olderVersionIsIgnoredAndAnotherReplicaIsAsked(String old) throws Exception {
        try (FakeReplica one = new FakeReplica(); FakeReplica two = new FakeReplica(); HollowNode node = new HollowNode(state, one, two)) {
            ConfigurationTable second = table(1, 4, 4).withChanges(2, List.of(change("fleet/pools.app", app(7))));
            one.setTable(second);
            two.setTable(second);
            node.start().get(20, TimeUnit.SECONDS);
            node.awaitAttempts(7);
            ConfigurationVersion current = second.version();
            ConfigurationVersion lower = ConfigurationVersion.parse(old);
            // Both are older: one has a lower number, the other a lower epoch with a higher number.
            ConfigurationTable older = table(1, (int) lower.number(), 3);
            FakeReplica used = one.calls.isEmpty() ? two : one;
            FakeReplica other = used == one ? two : one;
            other.calls.clear();
            used.setTable(older);
            used.enqueueAnswers(FakeReplica.ok(older.fullUpdate(new Subscription("n1", "booking"), 0)));
            other.awaitCall("epoch", Long.toString(current.epoch()));
            assertEquals(current, node.configuration.currentStatus().inForce());
            assertEquals(List.of(7), node.attempts());
            ConfigurationVersion next = other.publish("fleet/pools.app", app(8));
            node.awaitAttempts(8);
            other.awaitCall("in_force", next.toString());
        }
    }

    /** The node has switched to another replica when a late answer of the first arrives with an older state. */
    @Test
    void lateAnswerWithAnOlderVersionIsIgnored() throws Exception {
        try (FakeReplica one = new FakeReplica(); FakeReplica two = new FakeReplica(); HollowNode node = new HollowNode(null, one, two)) {
            ConfigurationTable newest = table(1, 5, 5);
            one.setTable(newest);
            two.setTable(newest);
            String late = FakeReplica.DELAYED + FakeReplica.ok(table(1, 3, 3).fullUpdate(new Subscription("n1", "booking"), 0));
            FakeReplica first = preferred(one, two);
            FakeReplica second = first == one ? two : one;
            first.enqueueAnswers(late);
            node.start();
            second.awaitCall("after", "5");
            first.releaseDelayedAnswers();
            second.publish("fleet/pools.app", app(6));
            node.awaitAttempts(6);
            assertFalse(node.attempts().contains(3), node.attempts().toString());
        }
    }

    // ---- invalid configurations ----

    @Test
    void invalidChangeIsRefusedWithItsPositionAndALaterOneIsApplied() throws Exception {
        try (FakeReplica replica = new FakeReplica(); HollowNode node = new HollowNode(state, replica)) {
            node.start().get(20, TimeUnit.SECONDS);
            replica.publish("fleet/pools.app", app(5));
            node.awaitAttempts(5);
            ConfigurationVersion bad = replica.publish("fleet/pools.app", "servers: [\"127.0.0.1:7001\"]\nattemps: 3\n");
            Map<String, String> call = replica.awaitCall("refused", bad.toString());
            assertEquals("1.1", call.get("in_force"));
            assertEquals("fleet/pools.app:2:1: pools.app.attemps: unknown key; did you mean `attempts`?", call.get("fault"));
            assertEquals(List.of(2, 5), node.attempts());
            ConfigurationVersion good = replica.publish("fleet/pools.app", app(6));
            call = replica.awaitCall("in_force", good.toString());
            assertNull(call.get("refused"));
            assertEquals(List.of(2, 5, 6), node.attempts());
        }
    }

    @Test
    void changeThatCannotBeAppliedIsReported() throws Exception {
        try (FakeReplica replica = new FakeReplica(); HollowNode node = new HollowNode(null, replica)) {
            node.start().get(20, TimeUnit.SECONDS);
            node.holdNextOutcome().complete("cannot listen on 127.0.0.1:80");
            ConfigurationVersion at = replica.publish("fleet/pools.app", app(5));
            assertEquals("cannot listen on 127.0.0.1:80", replica.awaitCall("refused", at.toString()).get("fault"));
        }
    }

    @Test
    void reportedFaultIsBounded() throws Exception {
        try (FakeReplica replica = new FakeReplica(); HollowNode node = new HollowNode(null, replica)) {
            node.start().get(20, TimeUnit.SECONDS);
            node.holdNextOutcome().complete("é".repeat(5000));
            ConfigurationVersion at = replica.publish("fleet/pools.app", app(5));
            assertEquals(300, replica.awaitCall("refused", at.toString()).get("fault").length());
        }
    }

    // ---- start ----

    @Test
    void startWithoutReplicasUsesTheCache() throws Exception {
        InetSocketAddress gone = runOnce(5);
        try (HollowNode node = new HollowNode(state, List.of(gone))) {
            node.start().get(20, TimeUnit.SECONDS);
            assertEquals(List.of(5), node.attempts());
            assertEquals(version(1, 1), node.configuration.currentStatus().inForce());
        }
    }

    /** The node asks for changes since its cached version, not for a full update. */
    @Test
    void startContinuesFromTheCachedVersion() throws Exception {
        runOnce(5);
        try (FakeReplica replica = new FakeReplica(); HollowNode node = new HollowNode(state, replica)) {
            replica.setTable(table(1, 2, 6));
            node.start().get(20, TimeUnit.SECONDS);
            assertEquals(List.of(6), node.attempts());
            assertEquals("1", replica.calls.poll().get("after"));
        }
    }

    @Test
    void versionOlderThanTheCachedOneIsIgnoredAtStart() throws Exception {
        runOnce(5);
        try (FakeReplica replica = new FakeReplica(); HollowNode node = new HollowNode(state, replica)) {
            replica.setTable(ConfigurationTable.initial(1));
            node.start().get(20, TimeUnit.SECONDS);
            assertEquals(List.of(5), node.attempts());
        }
    }

    @Test
    void startWithAnInvalidNewestVersionUsesTheCache() throws Exception {
        runOnce(5);
        try (FakeReplica replica = new FakeReplica(); HollowNode node = new HollowNode(state, replica)) {
            replica.setTable(table(1, 1, 5).withChanges(1, List.of(change("fleet/pools.app", "noise"))));
            node.start().get(20, TimeUnit.SECONDS);
            assertEquals(List.of(5), node.attempts());
            assertEquals(version(1, 2), node.configuration.currentStatus().refused());
        }
    }

    @Test
    void startWithoutReplicasAndCacheUsesTheFile() throws Exception {
        try (HollowNode node = new HollowNode(state, List.of(unusedAddress()))) {
            node.start().get(20, TimeUnit.SECONDS);
            assertEquals(List.of(2), node.attempts());
        }
    }

    @Test
    void startFailsWithoutAnyValidConfiguration() throws Exception {
        try (HollowNode node = new HollowNode(HollowNode.BASE.replace("app:", "other:"), state, List.of(unusedAddress()))) {
            ExecutionException e = assertThrows(ExecutionException.class, () -> node.start().get(20, TimeUnit.SECONDS));
            assertTrue(e.getCause().getMessage().startsWith("node.yaml:"), e.getCause().getMessage());
        }
    }

    /** The file is complete only with the distributed entries: the node starts once a replica sends them, however late. */
    @Test
    void incompleteFileStartsWithTheDistributedEntries() throws Exception {
        String partial = HollowNode.BASE.replaceAll("(?m)^pools:\n.*\n", "");
        try (FakeReplica replica = new FakeReplica(); HollowNode node = new HollowNode(partial, state, List.of(replica.address()))) {
            replica.publish("service/booking/pools.app", app(4));
            node.start().get(20, TimeUnit.SECONDS);
            assertEquals(List.of(4), node.attempts());
        }
    }

    // ---- disk ----

    @ParameterizedTest
    @ValueSource(strings = {"torn", "empty", "noise"})
    void corruptCacheIsNotUsed(String damage) throws Exception {
        InetSocketAddress gone = runOnce(5);
        try (Stream<Path> files = Files.list(state)) {
            for (Path file : files.toList()) {
                byte[] bytes = Files.readAllBytes(file);
                Files.write(file, switch (damage) {
                    case "torn" -> java.util.Arrays.copyOf(bytes, bytes.length / 2);
                    case "empty" -> new byte[0];
                    default -> new byte[300];
                });
            }
        }
        try (HollowNode node = new HollowNode(state, List.of(gone))) {
            node.start().get(20, TimeUnit.SECONDS);
            assertEquals(List.of(2), node.attempts());
        }
    }

    @Test
    void fullDiskDoesNotPreventAnUpdate() throws Exception {
        Path full = Path.of("/dev/full");
        assumeTrue(Files.exists(full), "no /dev/full on this system");
        runOnce(5);
        try (FakeReplica replica = new FakeReplica(); HollowNode node = new HollowNode(state, replica)) {
            Files.createSymbolicLink(state.resolve("configuration-n1--booking.tmp"), full);
            replica.setTable(table(1, 2, 6));
            node.start().get(20, TimeUnit.SECONDS);
            replica.awaitCall("in_force", "1.2");
            assertEquals(List.of(6), node.attempts());
        }
        // The cache from before the disk was full is intact.
        try (HollowNode node = new HollowNode(state, List.of(unusedAddress()))) {
            node.start().get(20, TimeUnit.SECONDS);
            assertEquals(List.of(5), node.attempts());
        }
    }

    // ---- SIGHUP ----

    @Test
    void reloadedFileIsCombinedWithTheSameEntries() throws Exception {
        try (FakeReplica replica = new FakeReplica(); HollowNode node = new HollowNode(null, replica)) {
            replica.publish("fleet/tenant", "kigali");
            node.start().get(20, TimeUnit.SECONDS);
            node.configuration.rebase(HollowNode.parsed(HollowNode.BASE.replace("attempts: 2", "attempts: 4")));
            node.awaitAttempts(4);
            assertEquals("kigali", node.applied.get(1).tenant());
            node.configuration.rebase(HollowNode.parsed(HollowNode.BASE.replace("attempts", "attemps")));
            node.configuration.rebase(HollowNode.parsed(HollowNode.BASE.replace("name: n1", "name: n2")));
            replica.awaitCall("fault", "node.yaml:1:1: name: is `n2` where this process runs `n1`; start another process for another name");
            node.configuration.rebase(HollowNode.parsed(HollowNode.BASE.replace("attempts: 2", "attempts: 5")));
            node.awaitAttempts(5);
            assertEquals(List.of(2, 4, 5), node.attempts());
        }
    }

    // ---- helpers ----

    private static ConfigurationTable.Change change(String key, String value) {
        return new ConfigurationTable.Change(EntryKey.parse(key), value);
    }

    /** A table with this number of versions, the last of which sets the attempts. */
    private static ConfigurationTable table(long epoch, int versions, int attempts) {
        ConfigurationTable table = ConfigurationTable.initial(epoch);
        for (int i = 1; i < versions; i++) {
            table = table.withChanges(epoch, List.of(change("fleet/tenant", "t" + i)));
        }
        return table.withChanges(epoch, List.of(change("fleet/pools.app", app(attempts))));
    }

    /** Runs a node until version 1.1 with these attempts is cached; returns the address of its replica, which is closed. */
    private InetSocketAddress runOnce(int attempts) throws Exception {
        try (FakeReplica replica = new FakeReplica(); HollowNode node = new HollowNode(state, replica)) {
            replica.setTable(table(1, 1, attempts));
            node.start().get(20, TimeUnit.SECONDS);
            assertEquals(List.of(attempts), node.attempts());
            return replica.address();
        }
    }

    /** The replica that the node calls first. */
    private static FakeReplica preferred(FakeReplica one, FakeReplica two) {
        List<String> names = Stream.of(one, two).map(r -> "127.0.0.1:" + r.address().getPort()).toList();
        return new ReplicaSelector("n1", names, new SplittableRandom(1)).firstCall().replica() == 0 ? one : two;
    }

    /** An address without a listener. */
    private static InetSocketAddress unusedAddress() throws IOException {
        try (FakeReplica gone = new FakeReplica()) {
            return gone.address();
        }
    }
}
