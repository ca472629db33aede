package onyxpaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import onyxpaddle.node.ServerListStatus.ReceivedList;
import onyxpaddle.node.ServerListStatus.Verdict;
import org.junit.jupiter.api.Test;

class ServerListStatusTest {
    private static final ReceivedList LIST = new ReceivedList(true, 2, 1, 3, 1, 2, "s: dial is missing");
    private static final long SECOND = 1_000_000_000L;

    private final ServerListStatus status = new ServerListStatus(false);

    @Test
    void doubtLastsFromTheOldestNewsNotInForceToTheNextCurrentList() {
        status.received(Verdict.CURRENT, LIST, 5 * SECOND);
        assertEquals(0, status.doubt(6 * SECOND));
        status.unreadable("cut", 7 * SECOND);
        status.received(Verdict.OLDER_LIST, LIST, 8 * SECOND);
        assertEquals(3 * SECOND, status.doubt(10 * SECOND));
        assertEquals(5 * SECOND, status.age(10 * SECOND));
        status.received(Verdict.CURRENT, LIST, 11 * SECOND);
        assertEquals(0, status.doubt(12 * SECOND));
        assertEquals(SECOND, status.age(12 * SECOND));
    }

    @Test
    void answersAreCountedByVerdictAndInvalidEntriesSummed() {
        status.received(Verdict.UNKNOWN_BASE, LIST, SECOND);
        status.received(Verdict.UNKNOWN_BASE, LIST, SECOND);
        status.unreadable("cut", SECOND);
        assertEquals(2, status.total(Verdict.UNKNOWN_BASE));
        assertEquals(1, status.total(Verdict.UNREADABLE));
        assertEquals(0, status.total(Verdict.CURRENT));
        assertEquals(4, status.invalidEntries());
        assertEquals(0, status.age(SECOND));
    }
}
