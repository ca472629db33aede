package onyxpaddle.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import onyxpaddle.control.ServedConfiguration.NotNow;
import onyxpaddle.control.ServedConfiguration.Reply;
import onyxpaddle.control.ServedConfiguration.Tell;
import onyxpaddle.control.ServedConfiguration.Wait;
import onyxpaddle.distribution.ConfigurationTable;
import onyxpaddle.distribution.ConfigurationTable.Change;
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

    private static ConfigurationRequest asks(ConfigurationVersion after) {
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

    private static Update told(Reply reply) {
        return assertInstanceOf(Tell.class, reply).update();
    }

    @Test
    void aReplicasNewsGrowOldFromWhenThePublisherWasHeardWhoeverPassedThemOn() {
        ServedConfiguration replica = new ServedConfiguration(0, 0, table("a"), true, RATE);
        assertEquals(Update.NO_PUBLISHER_CONTACT, replica.staleMs(0));
        replica.heard(300, 1_000 * MS);
        assertEquals(300, replica.staleMs(1_000 * MS));
        assertEquals(800, replica.staleMs(1_500 * MS));
        replica.heard(5_000, 1_600 * MS);
        assertEquals(900, replica.staleMs(1_600 * MS), "older news of the publisher do not count");
        replica.heard(Update.NO_PUBLISHER_CONTACT, 1_700 * MS);
        assertEquals(1_000, replica.staleMs(1_700 * MS));
    }

    @Test
    void twoReplicasThatHearOfEachOtherOnlyGrowOldTogether() {
        ServedConfiguration one = new ServedConfiguration(0, 0, table("a"), true, RATE);
        ServedConfiguration two = new ServedConfiguration(0, 0, table("a"), true, RATE);
        one.heard(0, 0);
        for (long at = 100 * MS; at <= 10_000 * MS; at += 100 * MS) {
            two.heard(one.staleMs(at), at);
            one.heard(two.staleMs(at), at);
        }
        assertEquals(10_000, one.staleMs(10_000 * MS));
        assertEquals(10_000, two.staleMs(10_000 * MS));
    }

    @Test
    void aPublisherIsNeverStaleUntilItIsFenced() {
        ServedConfiguration publisher = new ServedConfiguration(1, 1, table("a"), true, RATE);
        assertEquals(0, publisher.staleMs(50 * MS));
        assertTrue(publisher.hear(new ConfigurationVersion(2, 9)));
        assertFalse(publisher.hear(new ConfigurationVersion(2, 10)));
        assertTrue(publisher.stopped());
        assertEquals(Update.NO_PUBLISHER_CONTACT, publisher.staleMs(500 * MS));
    }

    @Test
    void aPublisherStopsAtAVersionOfItsOwnThatItDoesNotKnow() {
        ServedConfiguration publisher = new ServedConfiguration(1, 1, table("a"), true, RATE);
        publisher.hear(new ConfigurationVersion(1, 1));
        assertFalse(publisher.stopped());
        publisher.hear(new ConfigurationVersion(1, 2));
        assertTrue(publisher.stopped());
    }

    @Test
    void whatMayNotBeToldIsNotTold() {
        ServedConfiguration replica = new ServedConfiguration(0, 0, table("a"), false, RATE);
        assertInstanceOf(NotNow.class, replica.reply(asks(ConfigurationVersion.NONE), true, 0));
        assertEquals(ConfigurationVersion.NONE, replica.version());
        replica.heard(0, 0);
        assertEquals(1, told(replica.reply(asks(ConfigurationVersion.NONE), true, 0)).entries().size());
        ServedConfiguration empty = new ServedConfiguration(0, 0, ConfigurationTable.EMPTY, true, RATE);
        empty.heard(0, 0);
        assertInstanceOf(NotNow.class, empty.reply(asks(ConfigurationVersion.NONE), true, 0));
    }

    @Test
    void whoIsLevelWaitsAndWhoIsAheadIsToldAtOnce() {
        ServedConfiguration replica = new ServedConfiguration(0, 0, table("a"), true, RATE);
        ConfigurationVersion level = replica.version();
        assertInstanceOf(Wait.class, replica.reply(asks(level), true, 0));
        assertEquals(level, told(replica.reply(asks(level), false, 0)).version());
        assertEquals(level, told(replica.reply(asks(new ConfigurationVersion(1, 2)), true, 0)).version());
        assertEquals(level, told(replica.reply(asks(new ConfigurationVersion(2, 1)), true, 0)).version());
    }

    @Test
    void aLargeWholeComesInPagesThatTogetherAreAll() {
        ConfigurationTable table = ConfigurationTable.initial(1);
        String value = "x".repeat(500_000);
        for (int i = 0; i < 20; i++) {
            table = table.withChanges(1, List.of(new Change(EntryKey.parse("fleet/pools.p" + i), value + i)));
        }
        ServedConfiguration teller = new ServedConfiguration(0, 0, table, true, RATE);
        UpdateAssembler assembly = new UpdateAssembler();
        List<Long> sizes = new ArrayList<>();
        Update whole = null;
        ConfigurationVersion after = ConfigurationVersion.NONE;
        while (whole == null) {
            ConfigurationRequest request = new ConfigurationRequest("r1", Subscription.ALL, after,
                assembly.inProgress() ? assembly.firstPageVersion() : null, 1_000, ConfigurationVersion.NONE,
                ConfigurationVersion.NONE, "");
            Update page = told(teller.reply(request, true, 0));
            sizes.add(UpdatePager.estimatedBytes(page));
            whole = assembly.add(page);
            after = page.lastChange();
        }
        assertEquals(3, sizes.size());
        assertTrue(sizes.stream().allMatch(size -> size <= ServedConfiguration.PAGE_BYTES), sizes.toString());
        assertEquals(table.entries(Subscription.ALL), ConfigurationTable.EMPTY.apply(whole).table().entries(Subscription.ALL));
    }

    @Test
    void aVersionIsNeverCutInTwo() {
        ConfigurationTable table = ConfigurationTable.initial(1).withChanges(1, List.of(new Change(ROUTES, "a")));
        List<Change> together = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            together.add(new Change(EntryKey.parse("fleet/pools.p" + i), "x".repeat(100)));
        }
        Update whole = table.withChanges(1, together).fullUpdate(Subscription.ALL, 0);
        Update first = UpdatePager.firstPage(whole, 500);
        assertEquals(1, first.entries().size());
        assertTrue(first.more());
        assertEquals(whole, UpdatePager.firstPage(whole, 100_000));
    }

    @Test
    void largeDifferencesArePacedLikeWholes() {
        ConfigurationTable table = table("a", "b".repeat((int) ServedConfiguration.PACED_BYTES), "c".repeat((int) ServedConfiguration.PACED_BYTES));
        ServedConfiguration teller = new ServedConfiguration(0, 0, table, true, 1_000);
        ConfigurationVersion early = new ConfigurationVersion(1, 1);
        told(teller.reply(asks(early), true, 0));
        assertInstanceOf(NotNow.class, teller.reply(asks(early), true, 0));
    }
}
