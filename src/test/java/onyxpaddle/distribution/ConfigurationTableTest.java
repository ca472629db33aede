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
    private static final EntryKey OTHERS = EntryKey.parse("service/reminders/routes");
    /** Few, so that random changes come to the same ones and tombstones are dropped. */
    private static final int FEW_TOMBSTONES = 3;

    /** A change, and whether the follower asks after it. */
    record Step(List<Change> changes, boolean newEpoch, boolean ask) {
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
    void aDifferenceAppliedGivesWhatAWholeGives(@ForAll("steps") List<Step> steps) {
        ConfigurationTable publisher = ConfigurationTable.keeping(FEW_TOMBSTONES).withChanges(1, List.of());
        ConfigurationTable node = ConfigurationTable.EMPTY;
        ConfigurationTable replica = ConfigurationTable.keeping(FEW_TOMBSTONES);
        ConfigurationTable nodeOfReplica = ConfigurationTable.EMPTY;
        for (Step step : steps) {
            long epoch = publisher.version().epoch() + (step.newEpoch() ? 1 : 0);
            publisher = publisher.withChanges(epoch, step.changes());
            if (!step.ask()) {
                continue;
            }
            node = told(node, publisher, BOOKING);
            replica = told(replica, publisher, Subscription.ALL);
            nodeOfReplica = told(nodeOfReplica, replica, BOOKING);
            assertEquals(publisher.entries(BOOKING), node.entries(BOOKING));
            assertEquals(publisher.entries(Subscription.ALL), replica.entries(Subscription.ALL));
            assertEquals(publisher.entries(BOOKING), nodeOfReplica.entries(BOOKING));
        }
    }

    private static ConfigurationTable told(ConfigurationTable asker, ConfigurationTable teller, Subscription subscription) {
        Update update = teller.deltaSince(asker.version(), subscription, 0);
        update.entries().forEach(entry -> assertTrue(subscription.matches(entry.key()), entry.toString()));
        ApplyResult applied = asker.apply(update);
        assertTrue(Set.of(Outcome.APPLIED, Outcome.UNCHANGED).contains(applied.outcome()), applied.outcome().toString());
        assertEquals(teller.version(), applied.table().version());
        return applied.table();
    }

    @Property(tries = 200, seed = "42")
    void noOrderOfUpdatesTakesATableBackwards(@ForAll("steps") List<Step> steps, @ForAll List<Integer> order) {
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
    void aThousandVersionsBehindGetsOneDifferenceWithTheNewestValues() {
        ConfigurationTable table = ConfigurationTable.initial(1);
        ConfigurationVersion before = table.withChanges(1, List.of(new Change(OTHERS, "0"))).version();
        for (int i = 0; i <= 1_000; i++) {
            table = table.withChanges(1, List.of(new Change(i % 2 == 0 ? ROUTES : OTHERS, "v" + i)));
        }
        Update update = table.deltaSince(before, BOOKING, 0);
        assertFalse(update.full());
        assertEquals(List.of(new Entry(ROUTES, "v1000", new ConfigurationVersion(1, 1001))), update.entries());
        assertEquals(table.version(), update.version());
    }

    @Test
    void aVersionThatTheNewEpochDoesNotGoBackToGetsAWhole() {
        ConfigurationTable copied = ConfigurationTable.initial(1).withChanges(1, List.of(new Change(ROUTES, "a")));
        ConfigurationTable lost = copied.withChanges(1, List.of(new Change(ROUTES, "lost"), new Change(OTHERS, "lost")));
        ConfigurationTable next = copied.withChanges(2, List.of());
        assertEquals(new ConfigurationVersion(2, 2), next.version());
        assertFalse(next.deltaSince(copied.version(), Subscription.ALL, 0).full());
        Update update = next.deltaSince(lost.version(), Subscription.ALL, 0);
        assertTrue(update.full());
        ApplyResult applied = lost.apply(update);
        assertEquals(Outcome.APPLIED, applied.outcome());
        assertEquals("a", applied.table().value(ROUTES));
        assertNull(applied.table().value(OTHERS));
    }

    @Test
    void aDifferenceOfAnEpochThatDoesNotGoBackToTheTableIsAGap() {
        ConfigurationTable copied = ConfigurationTable.initial(1).withChanges(1, List.of(new Change(ROUTES, "a")));
        ConfigurationTable lost = copied.withChanges(1, List.of(new Change(ROUTES, "lost")));
        Update update = copied.withChanges(2, List.of()).deltaSince(copied.version(), Subscription.ALL, 0);
        assertEquals(Outcome.GAP, lost.apply(update).outcome());
        assertEquals(Outcome.GAP, ConfigurationTable.EMPTY.apply(update).outcome());
        assertEquals(Outcome.APPLIED, copied.apply(update).outcome());
    }

    @Test
    void aReplicaKnowsTheEndOfAnEpochThatItSawOnlyInPart() {
        ConfigurationTable early = ConfigurationTable.initial(1).withChanges(1, List.of(new Change(ROUTES, "a")));
        ConfigurationTable late = early.withChanges(1, List.of(new Change(ROUTES, "b")));
        ConfigurationTable replica = told(early, late.withChanges(2, List.of()), Subscription.ALL);
        assertFalse(replica.deltaSince(late.version(), BOOKING, 0).full());
    }

    @Test
    void whoIsAheadIsToldNothing() {
        ConfigurationTable old = ConfigurationTable.initial(1);
        Update update = old.deltaSince(new ConfigurationVersion(2, 5), BOOKING, 0);
        assertEquals(old.version(), update.version());
        assertFalse(update.full());
        assertEquals(Outcome.BEHIND, old.withChanges(2, List.of()).apply(update).outcome());
    }

    @Test
    void whatConcernsOthersIsNoNewsButMovesTheVersion() {
        ConfigurationTable before = ConfigurationTable.initial(1);
        ConfigurationTable table = before.withChanges(1, List.of(new Change(OTHERS, "x")));
        assertFalse(table.hasChangesSince(before.version(), BOOKING));
        assertTrue(table.hasChangesSince(before.version(), Subscription.ALL));
        assertTrue(table.hasChangesSince(before.version(), new Subscription("n2", "reminders")));
        Update update = table.deltaSince(before.version(), BOOKING, 0);
        assertEquals(List.of(), update.entries());
        assertEquals(table.version(), update.version());
    }

    @Test
    void pagesApplyAllOrNothing() {
        ConfigurationTable table = ConfigurationTable.initial(1).withChanges(1, List.of(new Change(ROUTES, "a")))
            .withChanges(1, List.of(new Change(OTHERS, "b")));
        Update whole = table.fullUpdate(Subscription.ALL, 0);
        Update first = new Update(whole.version(), true, true, whole.entries().subList(0, 1), 0, whole.history());
        assertEquals(Outcome.GAP, ConfigurationTable.EMPTY.apply(first).outcome());
        UpdateAssembler assembly = new UpdateAssembler();
        assertNull(assembly.add(first));
        // Between the pages one of the first page goes, and another changes.
        ConfigurationTable later = table.withChanges(1, List.of(new Change(ROUTES, null), new Change(OTHERS, "c")));
        Update rest = later.remainingFullUpdate(first.lastChange(), assembly.firstPageVersion(), Subscription.ALL, 0);
        assertFalse(rest.full());
        ApplyResult applied = ConfigurationTable.EMPTY.apply(assembly.add(rest));
        assertEquals(Outcome.APPLIED, applied.outcome());
        assertEquals(later.entries(Subscription.ALL), applied.table().entries(Subscription.ALL));
        assertFalse(assembly.inProgress());
    }

    @Test
    void aWholeBeginsAnewWhereRemovalsSinceItsFirstPageAreForgotten() {
        ConfigurationTable table = ConfigurationTable.keeping(1).withChanges(1, List.of(new Change(ROUTES, "a"), new Change(OTHERS, "b")));
        ConfigurationVersion pageOf = table.version();
        ConfigurationTable later = table.withChanges(1, List.of(new Change(ROUTES, null)))
            .withChanges(1, List.of(new Change(OTHERS, null)));
        assertTrue(later.history().floor().isAfter(pageOf));
        assertTrue(later.remainingFullUpdate(pageOf, pageOf, Subscription.ALL, 0).full());
    }

    @Test
    void behindTheDroppedTombstonesThereIsAWhole() {
        ConfigurationTable table = ConfigurationTable.keeping(10).withChanges(1, List.of());
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
    void keysHaveTheirText() {
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
