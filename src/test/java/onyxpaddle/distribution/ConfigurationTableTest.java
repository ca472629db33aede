package onyxpaddle.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import onyxpaddle.distribution.ConfigurationTable.ApplyResult;
import onyxpaddle.distribution.ConfigurationTable.Change;
import onyxpaddle.distribution.ConfigurationTable.Outcome;
import org.junit.jupiter.api.Test;

class ConfigurationTableTest {
    private static final Subscription BOOKING = new Subscription("n1", "booking");
    private static final EntryKey ROUTES = EntryKey.parse("service/booking/routes");
    private static final EntryKey OTHER_ROUTES = EntryKey.parse("service/reminders/routes");
    /** Small, so that the random changes cause tombstones to be dropped. */
    private static final int FEW_TOMBSTONES = 3;

    /** A set of changes, whether they begin a new epoch, and whether the clients synchronize after them. */
    record Step(List<Change> changes, boolean newEpoch, boolean sync) {
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<EntryKey> keys = Arbitraries.of("fleet/classes.a", "fleet/routes", "service/booking/routes",
            "service/booking/pools.p", "service/reminders/routes", "node/n1/routes", "node/n1/pools.q", "node/n2/routes")
            .map(EntryKey::parse);
        Arbitrary<String> values = Arbitraries.of("1", "2", "3").injectNull(0.4);
        Arbitrary<List<Change>> changes = Combinators.combine(keys, values).as(Change::new).list().uniqueElements(Change::key).ofMaxSize(4);
        return Combinators.combine(changes, Arbitraries.integers().between(0, 9).map(i -> i == 0), Arbitraries.of(true, false))
            .as(Step::new).list().ofMinSize(1).ofMaxSize(40);
    }

    @Property(tries = 500, seed = "41")
    void applyingDeltasGivesTheSameEntriesAsTheSource(@ForAll("steps") List<Step> steps) {
        ConfigurationTable publisher = ConfigurationTable.withMaxTombstones(FEW_TOMBSTONES).withChanges(1, List.of());
        ConfigurationTable node = ConfigurationTable.EMPTY;
        ConfigurationTable replica = ConfigurationTable.withMaxTombstones(FEW_TOMBSTONES);
        ConfigurationTable nodeOfReplica = ConfigurationTable.EMPTY;
        for (Step step : steps) {
            long epoch = publisher.version().epoch() + (step.newEpoch() ? 1 : 0);
            publisher = publisher.withChanges(epoch, step.changes());
            if (!step.sync()) {
                continue;
            }
            node = synced(node, publisher, BOOKING);
            replica = synced(replica, publisher, Subscription.ALL);
            nodeOfReplica = synced(nodeOfReplica, replica, BOOKING);
            assertEquals(publisher.entries(BOOKING), node.entries(BOOKING));
            assertEquals(publisher.entries(Subscription.ALL), replica.entries(Subscription.ALL));
            assertEquals(publisher.entries(BOOKING), nodeOfReplica.entries(BOOKING));
        }
    }

    private static ConfigurationTable synced(ConfigurationTable client, ConfigurationTable server, Subscription subscription) {
        Update update = server.deltaSince(client.version(), subscription, 0);
        update.entries().forEach(entry -> assertTrue(subscription.matches(entry.key()), entry.toString()));
        ApplyResult applied = client.apply(update);
        assertTrue(Set.of(Outcome.APPLIED, Outcome.UNCHANGED).contains(applied.outcome()), applied.outcome().toString());
        assertEquals(server.version(), applied.table().version());
        return applied.table();
    }

    @Property(tries = 200, seed = "42")
    void versionNeverDecreasesInAnyOrderOfUpdates(@ForAll("steps") List<Step> steps, @ForAll List<Integer> order) {
        List<Update> updates = new ArrayList<>();
        ConfigurationTable publisher = ConfigurationTable.initial(1);
        for (Step step : steps) {
            publisher = publisher.withChanges(publisher.version().epoch() + (step.newEpoch() ? 1 : 0), step.changes());
            updates.add(publisher.fullUpdate(BOOKING, 0));
        }
        ConfigurationTable table = ConfigurationTable.EMPTY;
        for (int index : order) {
            Update update = updates.get(Math.floorMod(index, updates.size()));
            ConfigurationTable before = table;
            ApplyResult applied = before.apply(update);
            table = applied.table();
            assertFalse(before.version().isAfter(table.version()));
            boolean older = before.version().isAfter(update.version());
            assertEquals(older, applied.outcome() == Outcome.BEHIND);
            if (older) {
                assertSame(before, table);
            }
        }
    }

    @Test
    void clientAThousandVersionsBehindGetsOneDeltaWithTheLatestValues() {
        ConfigurationTable table = ConfigurationTable.initial(1);
        ConfigurationVersion before = table.withChanges(1, List.of(new Change(OTHER_ROUTES, "0"))).version();
        for (int i = 0; i <= 1_000; i++) {
            table = table.withChanges(1, List.of(new Change(i % 2 == 0 ? ROUTES : OTHER_ROUTES, "v" + i)));
        }
        Update update = table.deltaSince(before, BOOKING, 0);
        assertFalse(update.full());
        assertEquals(List.of(new Entry(ROUTES, "v1000", new ConfigurationVersion(1, 1001))), update.entries());
        assertEquals(table.version(), update.version());
    }

    @Test
    void versionThatTheNewEpochDoesNotDescendFromGetsAFullUpdate() {
        ConfigurationTable copied = ConfigurationTable.initial(1).withChanges(1, List.of(new Change(ROUTES, "a")));
        ConfigurationTable diverged = copied.withChanges(1, List.of(new Change(ROUTES, "diverged"), new Change(OTHER_ROUTES, "diverged")));
        ConfigurationTable next = copied.withChanges(2, List.of());
        assertEquals(new ConfigurationVersion(2, 2), next.version());
        assertFalse(next.deltaSince(copied.version(), Subscription.ALL, 0).full());
        Update update = next.deltaSince(diverged.version(), Subscription.ALL, 0);
        assertTrue(update.full());
        ApplyResult applied = diverged.apply(update);
        assertEquals(Outcome.APPLIED, applied.outcome());
        assertEquals("a", applied.table().value(ROUTES));
        assertNull(applied.table().value(OTHER_ROUTES));
    }

    @Test
    void deltaOfAnEpochThatDoesNotDescendFromTheTableIsAGap() {
        ConfigurationTable copied = ConfigurationTable.initial(1).withChanges(1, List.of(new Change(ROUTES, "a")));
        ConfigurationTable diverged = copied.withChanges(1, List.of(new Change(ROUTES, "diverged")));
        Update update = copied.withChanges(2, List.of()).deltaSince(copied.version(), Subscription.ALL, 0);
        assertEquals(Outcome.GAP, diverged.apply(update).outcome());
        assertEquals(Outcome.GAP, ConfigurationTable.EMPTY.apply(update).outcome());
        assertEquals(Outcome.APPLIED, copied.apply(update).outcome());
    }

    @Test
    void replicaLearnsTheEndOfAnEpochThatItSawOnlyInPart() {
        ConfigurationTable early = ConfigurationTable.initial(1).withChanges(1, List.of(new Change(ROUTES, "a")));
        ConfigurationTable late = early.withChanges(1, List.of(new Change(ROUTES, "b")));
        ConfigurationTable replica = synced(early, late.withChanges(2, List.of()), Subscription.ALL);
        assertFalse(replica.deltaSince(late.version(), BOOKING, 0).full());
    }

    @Test
    void clientThatIsAheadGetsAnEmptyUpdate() {
        ConfigurationTable old = ConfigurationTable.initial(1);
        Update update = old.deltaSince(new ConfigurationVersion(2, 5), BOOKING, 0);
        assertEquals(old.version(), update.version());
        assertFalse(update.full());
        assertEquals(Outcome.BEHIND, old.withChanges(2, List.of()).apply(update).outcome());
    }

    @Test
    void changeOutsideTheSubscriptionOnlyAdvancesTheVersion() {
        ConfigurationTable before = ConfigurationTable.initial(1);
        ConfigurationTable table = before.withChanges(1, List.of(new Change(OTHER_ROUTES, "x")));
        assertFalse(table.hasChangesSince(before.version(), BOOKING));
        assertTrue(table.hasChangesSince(before.version(), Subscription.ALL));
        assertTrue(table.hasChangesSince(before.version(), new Subscription("n2", "reminders")));
        Update update = table.deltaSince(before.version(), BOOKING, 0);
        assertEquals(List.of(), update.entries());
        assertEquals(table.version(), update.version());
    }

    @Test
    void pagesApplyAtomically() {
        ConfigurationTable table = ConfigurationTable.initial(1).withChanges(1, List.of(new Change(ROUTES, "a")))
            .withChanges(1, List.of(new Change(OTHER_ROUTES, "b")));
        Update full = table.fullUpdate(Subscription.ALL, 0);
        Update first = new Update(full.version(), true, true, full.entries().subList(0, 1), 0, full.history());
        assertEquals(Outcome.GAP, ConfigurationTable.EMPTY.apply(first).outcome());
        UpdateAssembler assembler = new UpdateAssembler();
        assertNull(assembler.add(first));
        // Between the pages, an entry of the first page is removed and another one changes.
        ConfigurationTable later = table.withChanges(1, List.of(new Change(ROUTES, null), new Change(OTHER_ROUTES, "c")));
        Update rest = later.remainingFullUpdate(first.lastChange(), assembler.firstPageVersion(), Subscription.ALL, 0);
        assertFalse(rest.full());
        ApplyResult applied = ConfigurationTable.EMPTY.apply(assembler.add(rest));
        assertEquals(Outcome.APPLIED, applied.outcome());
        assertEquals(later.entries(Subscription.ALL), applied.table().entries(Subscription.ALL));
        assertFalse(assembler.inProgress());
    }

    @Test
    void pagedFullUpdateRestartsIfTombstonesSinceItsFirstPageWereDropped() {
        ConfigurationTable table = ConfigurationTable.withMaxTombstones(1)
            .withChanges(1, List.of(new Change(ROUTES, "a"), new Change(OTHER_ROUTES, "b")));
        ConfigurationVersion pageOf = table.version();
        ConfigurationTable later = table.withChanges(1, List.of(new Change(ROUTES, null)))
            .withChanges(1, List.of(new Change(OTHER_ROUTES, null)));
        assertTrue(later.history().floor().isAfter(pageOf));
        assertTrue(later.remainingFullUpdate(pageOf, pageOf, Subscription.ALL, 0).full());
    }

    @Test
    void clientBehindDroppedTombstonesGetsAFullUpdate() {
        ConfigurationTable table = ConfigurationTable.withMaxTombstones(10).withChanges(1, List.of());
        ConfigurationVersion start = table.version();
        for (int i = 0; i < 40; i++) {
            table = table.withChanges(1, List.of(new Change(EntryKey.parse("fleet/pools.p" + i), null)));
            long kept = table.fullUpdate(Subscription.ALL, 0).entries().size();
            assertTrue(kept <= 10, kept + " kept");
        }
        assertTrue(table.deltaSince(start, BOOKING, 0).full());
        assertFalse(table.deltaSince(new ConfigurationVersion(1, 40), BOOKING, 0).full());
    }

    @Test
    void keyTextRoundTripsAndInvalidKeysAreRejected() {
        for (String text : List.of("fleet/routes", "service/booking/pools.records", "node/n-1/listeners.in")) {
            assertEquals(text, EntryKey.parse(text).toString());
        }
        assertEquals("records", EntryKey.parse("fleet/pools.records").sectionName());
        assertEquals("pools", EntryKey.parse("fleet/pools.records").topKey());
        Set<String> wrong = List.of("", "/", "fleet", "fleet/", "fleet/a/b", "service/routes", "service//routes", "service/A/routes",
            "node/n/x.y.z", "zone/a/b", "node/n/" + "a".repeat(64), "fleet/" + "a".repeat(1000)).stream().filter(text -> {
                try {
                    EntryKey.parse(text);
                    return true;
                } catch (IllegalArgumentException e) {
                    return false;
                }
            }).collect(Collectors.toSet());
        assertEquals(Set.of(), wrong);
    }
}
