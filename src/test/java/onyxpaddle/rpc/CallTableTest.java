package onyxpaddle.rpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import onyxpaddle.rpc.CallTable.UnmatchedReply;
import org.junit.jupiter.api.Test;

/** A reply must never be matched to another call, whatever the order of replies, timeouts and discards. */
class CallTableTest {
    @Test
    void replyCompletesItsCallOnce() {
        CallTable<String> table = new CallTable<>(4, 100);
        long a = table.open("a", 1);
        long b = table.open("b", 2);
        assertEquals("b", table.complete(b));
        assertNull(table.complete(b), "a duplicate reply must not complete a call");
        assertEquals(UnmatchedReply.UNKNOWN, table.classifyUnmatched(b));
        assertEquals("a", table.complete(a));
        assertEquals(0, table.inFlight());
    }

    @Test
    void givenUpCallKeepsItsSlotUntilItsReplyArrives() {
        CallTable<String> table = new CallTable<>(2, 100);
        long a = table.open("a", 1);
        table.open("b", 2);
        table.giveUp(a);
        assertTrue(table.isFull());
        assertEquals(1, table.waiting());
        assertEquals(1, table.oldestOpenedAt(), "a given-up call still counts as the oldest without a reply");
        assertThrows(IllegalStateException.class, () -> table.open("c", 3));
        assertNull(table.complete(a));
        assertEquals(UnmatchedReply.LATE, table.classifyUnmatched(a));
        assertFalse(table.isFull());
        assertEquals(2, table.oldestOpenedAt());
    }

    @Test
    void discardedCallLeavesNoTrace() {
        CallTable<String> table = new CallTable<>(1, 100);
        table.discard(table.open("a", 1));
        assertEquals(0, table.inFlight());
        assertEquals(Long.MAX_VALUE, table.oldestOpenedAt());
        assertEquals(1, table.open("b", 2), "msgids must not be reused");
    }

    @Test
    void idsRunOut() {
        CallTable<String> table = new CallTable<>(10, 2);
        for (int i = 0; i < 3; i++) {
            assertFalse(table.idsExhausted());
            table.complete(table.open("x", i));
        }
        assertTrue(table.idsExhausted() && table.isFull());
    }

    @Test
    void removeAllReturnsWaitingCallsInOrder() {
        CallTable<String> table = new CallTable<>(10, 100);
        table.open("a", 1);
        table.giveUp(table.open("b", 1));
        table.open("c", 1);
        assertEquals(List.of("a", "c"), table.removeAll());
        assertEquals(0, table.inFlight());
    }

    /**
     * Compares the table with a model that never forgets a call: a reply completes only its own call, and ids never
     * repeat.
     */
    @Property(tries = 300, seed = "44")
    void behavesLikeTheReferenceModel(@ForAll Random random) {
        int maxInFlight = 1 + random.nextInt(8);
        CallTable<Integer> table = new CallTable<>(maxInFlight, 500);
        Map<Long, Integer> waiting = new HashMap<>();
        Set<Long> givenUp = new HashSet<>();
        List<Long> all = new ArrayList<>();
        for (int step = 0; step < 300; step++) {
            long id = all.isEmpty() || random.nextInt(10) == 0 ? random.nextInt(600) : all.get(random.nextInt(all.size()));
            switch (random.nextInt(4)) {
                case 0 -> {
                    assertEquals(waiting.size() + givenUp.size() >= maxInFlight, table.isFull());
                    if (!table.isFull()) {
                        long opened = table.open(step, step);
                        assertFalse(all.contains(opened));
                        all.add(opened);
                        waiting.put(opened, step);
                    }
                }
                case 1 -> {
                    Integer expected = waiting.remove(id);
                    assertEquals(expected, table.complete(id));
                    if (expected == null) {
                        assertEquals(givenUp.remove(id) ? UnmatchedReply.LATE : UnmatchedReply.UNKNOWN, table.classifyUnmatched(id));
                    }
                }
                case 2 -> {
                    if (waiting.remove(id) != null) {
                        givenUp.add(id);
                    }
                    table.giveUp(id);
                }
                default -> {
                    waiting.remove(id);
                    table.discard(id);
                }
            }
            assertEquals(waiting.size(), table.waiting());
            assertEquals(waiting.size() + givenUp.size(), table.inFlight());
        }
    }
}
