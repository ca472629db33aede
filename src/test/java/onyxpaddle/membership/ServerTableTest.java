package onyxpaddle.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import onyxpaddle.BalancerApi.ServerEntry;
import onyxpaddle.BalancerApi.ServerState;
import onyxpaddle.membership.ListUpdate.InvalidEntry;
import onyxpaddle.node.ServerList;
import onyxpaddle.node.ServerList.Host;
import onyxpaddle.node.ServerListStatus.Verdict;
import org.junit.jupiter.api.Test;

class ServerTableTest {
    private static final long SECOND = 1_000_000_000L;

    private final ServerTable table = new ServerTable(new ServerList(10, true, ready("a", "b", "c")));
    private long now = 50 * SECOND;

    private static Host host(String server, ServerState state, int port, long startedAt) {
        return new Host(new ServerEntry(server, "z", 0, state, 1, startedAt), new InetSocketAddress("127.0.0.1", port));
    }

    private static List<Host> hosts(ServerState state, String... servers) {
        List<Host> hosts = new ArrayList<>();
        for (String server : servers) {
            hosts.add(host(server, state, 80, 0));
        }
        return hosts;
    }

    private static List<Host> ready(String... servers) {
        return hosts(ServerState.READY, servers);
    }

    private Verdict whole(long version, List<Host> hosts) {
        return table.apply(new ListUpdate(version, true, hosts, List.of()), now).verdict();
    }

    private Verdict overtakenWhole(long version, List<Host> hosts) {
        return table.applyOvertaken(new ListUpdate(version, true, hosts, List.of())).verdict();
    }

    private Verdict changes(long version, List<Host> hosts, InvalidEntry... invalid) {
        return table.apply(new ListUpdate(version, false, hosts, List.of(invalid)), now).verdict();
    }

    private String inUse() {
        TreeSet<String> inUse = new TreeSet<>();
        table.inForce().hosts().stream().filter(h -> h.entry().state() == ServerState.READY).forEach(h -> inUse.add(h.entry().server()));
        return String.join("", inUse);
    }

    @Test
    void emptyWholeListTakesAllServersOutOfUseAtOnce() {
        assertEquals(Verdict.CURRENT, whole(11, List.of()));
        assertEquals("", inUse());
        assertEquals(List.of(), table.inForce().hosts());
        assertEquals(Verdict.CURRENT, whole(12, ready("a", "b")));
        assertEquals("ab", inUse());
    }

    @Test
    void emptyWholeListOfTheHeldVersionTakesAllServersOutOfUseAtOnce() {
        assertEquals(Verdict.CURRENT, whole(10, List.of()));
        assertEquals("", inUse());
        assertEquals(Verdict.CURRENT, whole(10, ready("a")));
        assertEquals("a", inUse());
    }

    @Test
    void serverThatAnOlderWholeListOmitsIsNotUsedThoughTheNewerListHasIt() {
        assertEquals(Verdict.OLDER_LIST, whole(9, ready("a", "b")));
        assertEquals("ab", inUse());
        assertTrue(table.needsWholeList());
        assertEquals(3, table.inForce().hosts().size(), "what was learnt of the server is kept");
        assertEquals(Verdict.OLDER_LIST, whole(8, List.of()));
        assertEquals("", inUse());
        assertEquals(Verdict.CURRENT, whole(10, ready("a", "b", "c")));
        assertEquals("abc", inUse());
        assertFalse(table.needsWholeList());
    }

    @Test
    void serverThatTheNewerListTookOutIsNotUsedByAnOlderOne() {
        assertEquals(Verdict.CURRENT, whole(11, ready("a")));
        assertEquals(Verdict.OLDER_LIST, whole(10, ready("a", "b", "d")));
        assertEquals(Verdict.OLDER_LIST, whole(10, ready("a", "b", "d")));
        assertEquals("a", inUse());
    }

    @Test
    void olderListsAreCurrentOnceNothingElseCameForAsLongAsAChangeMayTake() {
        for (int call = 0; call < 6; call++) {
            assertEquals(Verdict.OLDER_LIST, whole(3, ready("a", "d")), "after " + call + " s");
            assertEquals("a", inUse());
            now += SECOND;
        }
        assertEquals(Verdict.CURRENT, whole(3, ready("a", "d")));
        assertEquals("ad", inUse());
        assertEquals(3, table.version());
        assertEquals(Verdict.CURRENT, changes(4, ready("e")));
        assertEquals("ade", inUse());
    }

    @Test
    void aCurrentListBetweenOlderOnesStartsTheirTimeAnew() {
        assertEquals(Verdict.OLDER_LIST, whole(3, ready("a", "d")));
        now += 4 * SECOND;
        assertEquals(Verdict.CURRENT, whole(11, ready("a", "b")));
        now += 4 * SECOND;
        assertEquals(Verdict.OLDER_LIST, whole(3, ready("a", "d")));
        now += 4 * SECOND;
        assertEquals(Verdict.OLDER_LIST, whole(3, ready("a", "d")));
        assertEquals("a", inUse());
    }

    @Test
    void replicasThatLagByTurnsPutNoDrainingServerIntoUse() {
        for (int turn = 0; turn < 20; turn++) {
            whole(20 + turn, ready("a", "b"));
            whole(19 + turn, ready("a", "b", "c"));
            assertEquals("ab", inUse());
            now += SECOND;
        }
    }

    @Test
    void changesBelowTheHeldVersionTakeServersOutOfUseAndPutNoneIn() {
        List<Host> changes = new ArrayList<>(hosts(ServerState.DRAINING, "a"));
        changes.addAll(hosts(ServerState.GONE, "b"));
        changes.addAll(ready("d"));
        assertEquals(Verdict.UNKNOWN_BASE, changes(5, changes));
        assertEquals("c", inUse());
        assertTrue(table.needsWholeList());
        assertEquals(Verdict.CURRENT, whole(11, ready("a", "b", "c", "d")));
        assertEquals("abcd", inUse());
    }

    @Test
    void changesToAListThatIsNotHeldAreNewerThanAWholeListBelowTheirVersion() {
        table.answerUnreadable();
        assertEquals(Verdict.UNKNOWN_BASE, changes(15, hosts(ServerState.DRAINING, "a")));
        assertEquals(Verdict.OLDER_LIST, whole(14, ready("a", "b", "c")));
        assertEquals("bc", inUse());
        assertEquals(Verdict.CURRENT, whole(15, ready("b", "c")));
        assertEquals("bc", inUse());
    }

    @Test
    void answerOvertakenByALaterOneTakesServersOutOfUseAndPutsNoneIn() {
        assertEquals(Verdict.OLDER_LIST, whole(3, ready("b", "c")));
        assertEquals("bc", inUse());
        assertEquals(Verdict.OVERTAKEN, overtakenWhole(10, ready("a", "b", "c")));
        assertEquals("bc", inUse());
        assertEquals(Verdict.OVERTAKEN, overtakenWhole(12, ready("a", "b", "d")));
        assertEquals("b", inUse());
        assertTrue(table.needsWholeList());
        assertEquals(Verdict.OLDER_LIST, whole(11, ready("b", "c", "d")));
        assertEquals("b", inUse(), "below the version of the overtaken list");
        assertEquals(Verdict.CURRENT, whole(12, ready("a", "b", "d")));
        assertEquals("abd", inUse());
    }

    @Test
    void serverAtAnotherAddressOrStartInAnOlderListIsNotUsed() {
        assertEquals(Verdict.OLDER_LIST, whole(9, List.of(host("a", ServerState.READY, 81, 0), host("b", ServerState.READY, 80, 7),
            host("c", ServerState.READY, 80, 0))));
        assertEquals("c", inUse());
    }

    @Test
    void anOlderListOfAHigherVersionPermitsAgainWhatALowerOneForbade() {
        assertEquals(Verdict.OLDER_LIST, whole(3, List.of()));
        assertEquals("", inUse());
        assertEquals(Verdict.OLDER_LIST, whole(4, ready("a", "b", "c")));
        assertEquals("abc", inUse());
        assertEquals(Verdict.OLDER_LIST, whole(2, ready("a")));
        assertEquals("a", inUse());
    }

    @Test
    void anyVersionOfAReplacedDiscoveryIsCurrentAndItsChangesBindBefore() {
        table.discoveryReplaced();
        assertEquals(Verdict.UNKNOWN_BASE, changes(11, hosts(ServerState.DRAINING, "a")));
        assertEquals("bc", inUse());
        assertEquals(Verdict.CURRENT, whole(1, ready("b")));
        assertEquals("b", inUse());
        assertEquals(Verdict.OLDER_LIST, whole(0, ready("b")));
    }

    @Test
    void entryThatCannotBeReadTakesItsServerAloneOutOfUse() {
        ListUpdate update = new ListUpdate(11, true, ready("a", "b", "d"), List.of(new InvalidEntry("c", "health"),
            new InvalidEntry("e", "dial"), new InvalidEntry(null, "host")));
        assertEquals(Verdict.CURRENT, table.apply(update, now).verdict());
        assertEquals("abd", inUse());
        assertEquals(4, table.inForce().hosts().size());
        assertFalse(table.needsWholeList(), "the whole list would be the same");
        assertEquals(Verdict.CURRENT, changes(12, ready("c")));
        assertEquals("abcd", inUse());
    }

    @Test
    void changeThatCannotBeReadIsAskedForAgainAsAWholeList() {
        assertEquals(Verdict.CURRENT, changes(11, hosts(ServerState.DRAINING, "a"), new InvalidEntry("b", "health")));
        assertEquals("c", inUse());
        assertTrue(table.needsWholeList());
        assertEquals(Verdict.CURRENT, whole(11, ready("b", "c")));
        assertEquals("bc", inUse());
    }

    @Test
    void serverWithEntriesThatContradictEachOtherIsNotUsed() {
        List<Host> twice = new ArrayList<>(ready("a", "b"));
        twice.addAll(hosts(ServerState.DRAINING, "a"));
        assertEquals(Verdict.CURRENT, whole(11, twice));
        assertEquals("b", inUse());
    }

    @Test
    void changesAreCurrentOnlyOnTheListThatIsHeld() {
        assertEquals(Verdict.UNKNOWN_BASE, changes(9, List.of()));
        assertEquals(Verdict.UNKNOWN_BASE, changes(11, List.of()));
        assertEquals(Verdict.CURRENT, whole(11, ready("a")));
        assertEquals(Verdict.CURRENT, changes(11, List.of()));
        table.answerUnreadable();
        assertEquals(Verdict.UNKNOWN_BASE, changes(12, List.of()));
        assertEquals(Verdict.CURRENT, whole(12, ready("a")));
    }

    @Test
    void onlyDifferencesCountAsChanged() {
        assertFalse(table.apply(new ListUpdate(12, true, ready("c", "b", "a"), List.of()), now).changed());
        assertTrue(table.apply(new ListUpdate(12, true, ready("c", "b"), List.of()), now).changed());
        assertFalse(table.apply(new ListUpdate(13, false, ready("c"), List.of()), now).changed());
        assertTrue(table.apply(new ListUpdate(13, false, hosts(ServerState.GONE, "c"), List.of()), now).changed());
    }
}
