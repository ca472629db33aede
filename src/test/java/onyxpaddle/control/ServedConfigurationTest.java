package onyxpaddle.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import onyxpaddle.control.ServedConfiguration.Deliver;
import onyxpaddle.control.ServedConfiguration.Reply;
import onyxpaddle.control.ServedConfiguration.RetryLater;
import onyxpaddle.control.ServedConfiguration.Wait;
import onyxpaddle.distribution.ConfigurationTable.Change;
import onyxpaddle.distribution.ConfigurationTable;
import onyxpaddle.distribution.ConfigurationVersion;
import onyxpaddle.distribution.EntryKey;
import onyxpaddle.distribution.Subscription;
import onyxpaddle.distribution.Update;
import onyxpaddle.distribution.UpdateAssembler;
import onyxpaddle.distribution.UpdatePager;
import org.junit.jupiter.api.Test;

class ServedConfigurationTest {
    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final EntryKey ROUTES = EntryKey.parse("fleet/routes");
    private static final long RATE = 1 << 30;

    private static ConfigurationRequest requestAfter(ConfigurationVersion after) {
        return new ConfigurationRequest(null, new Subscription("n1", "booking"), after, null, 1_000, ConfigurationVersion.NONE,
            ConfigurationVersion.NONE, "");
    }

    private static ConfigurationTable table(String... values) {
        ConfigurationTable table = ConfigurationTable.initial(1);
        for (String value : values) {
            table = table.withChanges(1, List.of(new Change(ROUTES, value)));
        }
        return table;
    }

    private static Update delivered(Reply reply) {
        return assertInstanceOf(Deliver.class, reply).update();
    }

    @Test
    void stalenessCountsFromTheLastContactToThePublisherAcrossReplicas() {
        ServedConfiguration replica = new ServedConfiguration(0, 0, table("a"), true, RATE);
        assertEquals(Update.NO_PUBLISHER_CONTACT, replica.staleMs(0));
        replica.recordPublisherContact(300, 1_000 * MS);
        assertEquals(300, replica.staleMs(1_000 * MS));
        assertEquals(800, replica.staleMs(1_500 * MS));
        replica.recordPublisherContact(5_000, 1_600 * MS);
        assertEquals(900, replica.staleMs(1_600 * MS), "an older contact does not count");
        replica.recordPublisherContact(Update.NO_PUBLISHER_CONTACT, 1_700 * MS);
        assertEquals(1_000, replica.staleMs(1_700 * MS));
    }

    @Test
    void replicasThatOnlyFollowEachOtherBecomeStale() {
        ServedConfiguration one = new ServedConfiguration(0, 0, table("a"), true, RATE);
        ServedConfiguration two = new ServedConfiguration(0, 0, table("a"), true, RATE);
        one.recordPublisherContact(0, 0);
        for (long at = 100 * MS; at <= 10_000 * MS; at += 100 * MS) {
            two.recordPublisherContact(one.staleMs(at), at);
            one.recordPublisherContact(two.staleMs(at), at);
        }
        assertEquals(10_000, one.staleMs(10_000 * MS));
        assertEquals(10_000, two.staleMs(10_000 * MS));
    }

    @Test
    void aPublisherIsNeverStaleUntilItIsFenced() {
        ServedConfiguration publisher = new ServedConfiguration(1, 1, table("a"), true, RATE);
        assertEquals(0, publisher.staleMs(50 * MS));
        assertTrue(publisher.observe(new ConfigurationVersion(2, 9)));
        assertFalse(publisher.observe(new ConfigurationVersion(2, 10)));
        assertTrue(publisher.publishingStopped());
        assertEquals(Update.NO_PUBLISHER_CONTACT, publisher.staleMs(500 * MS));
    }

    @Test
    void aPublisherStopsAtAnUnknownVersionOfItsOwnEpoch() {
        ServedConfiguration publisher = new ServedConfiguration(1, 1, table("a"), true, RATE);
        publisher.observe(new ConfigurationVersion(1, 1));
        assertFalse(publisher.publishingStopped());
        publisher.observe(new ConfigurationVersion(1, 2));
        assertTrue(publisher.publishingStopped());
    }

    @Test
    void aTableIsNotServedBeforeContactToThePublisher() {
        ServedConfiguration replica = new ServedConfiguration(0, 0, table("a"), false, RATE);
        assertInstanceOf(RetryLater.class, replica.reply(requestAfter(ConfigurationVersion.NONE), true, 0));
        assertEquals(ConfigurationVersion.NONE, replica.version());
        replica.recordPublisherContact(0, 0);
        assertEquals(1, delivered(replica.reply(requestAfter(ConfigurationVersion.NONE), true, 0)).entries().size());
        ServedConfiguration empty = new ServedConfiguration(0, 0, ConfigurationTable.EMPTY, true, RATE);
        empty.recordPublisherContact(0, 0);
        assertInstanceOf(RetryLater.class, empty.reply(requestAfter(ConfigurationVersion.NONE), true, 0));
    }

    @Test
    void aCallerWithTheSameVersionWaitsAndOneAheadIsAnsweredAtOnce() {
        ServedConfiguration replica = new ServedConfiguration(0, 0, table("a"), true, RATE);
        ConfigurationVersion current = replica.version();
        assertInstanceOf(Wait.class, replica.reply(requestAfter(current), true, 0));
        assertEquals(current, delivered(replica.reply(requestAfter(current), false, 0)).version());
        assertEquals(current, delivered(replica.reply(requestAfter(new ConfigurationVersion(1, 2)), true, 0)).version());
        assertEquals(current, delivered(replica.reply(requestAfter(new ConfigurationVersion(2, 1)), true, 0)).version());
    }

    @Test
    void aLargeFullUpdateIsPagedCompletely() {
        ConfigurationTable table = ConfigurationTable.initial(1);
        String value = "x".repeat(500_000);
        for (int i = 0; i < 20; i++) {
            table = table.withChanges(1, List.of(new Change(EntryKey.parse("fleet/pools.p" + i), value + i)));
        }
        ServedConfiguration served = new ServedConfiguration(0, 0, table, true, RATE);
        UpdateAssembler assembler = new UpdateAssembler();
        List<Long> sizes = new ArrayList<>();
        Update full = null;
        ConfigurationVersion after = ConfigurationVersion.NONE;
        while (full == null) {
            ConfigurationRequest request = new ConfigurationRequest("r1", Subscription.ALL, after,
                assembler.inProgress() ? assembler.firstPageVersion() : null, 1_000, ConfigurationVersion.NONE,
                ConfigurationVersion.NONE, "");
            Update page = delivered(served.reply(request, true, 0));
            sizes.add(UpdatePager.estimatedBytes(page));
            full = assembler.add(page);
            after = page.lastChange();
        }
        assertEquals(3, sizes.size());
        assertTrue(sizes.stream().allMatch(size -> size <= ServedConfiguration.MAX_PAGE_BYTES), sizes.toString());
        assertEquals(table.entries(Subscription.ALL), ConfigurationTable.EMPTY.apply(full).table().entries(Subscription.ALL));
    }

    @Test
    void aVersionIsNeverSplitAcrossPages() {
        ConfigurationTable table = ConfigurationTable.initial(1).withChanges(1, List.of(new Change(ROUTES, "a")));
        List<Change> together = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            together.add(new Change(EntryKey.parse("fleet/pools.p" + i), "x".repeat(100)));
        }
        Update full = table.withChanges(1, together).fullUpdate(Subscription.ALL, 0);
        Update first = UpdatePager.firstPage(full, 500);
        assertEquals(1, first.entries().size());
        assertTrue(first.more());
        assertEquals(full, UpdatePager.firstPage(full, 100_000));
    }

    @Test
    void largeDeltasAreRateLimitedLikeFullUpdates() {
        ConfigurationTable table = table("a", "b".repeat((int) ServedConfiguration.PACING_THRESHOLD_BYTES),
            "c".repeat((int) ServedConfiguration.PACING_THRESHOLD_BYTES));
        ServedConfiguration served = new ServedConfiguration(0, 0, table, true, 1_000);
        ConfigurationVersion early = new ConfigurationVersion(1, 1);
        delivered(served.reply(requestAfter(early), true, 0));
        assertInstanceOf(RetryLater.class, served.reply(requestAfter(early), true, 0));
    }
}
