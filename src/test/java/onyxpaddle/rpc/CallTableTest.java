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
import onyxpaddle.rpc.CallTable.Stray;
import org.junit.jupiter.api.Test;

/** No reply is ever taken for another call's, whatever comes in whatever order. */
class CallTableTest {
    @Test
    void aReplyAnswersItsCallOnce() {
        CallTable<String> table = new CallTable<>(4, 100);
        long a = table.open("a", 1);
        long b = table.open("b", 2);
        assertEquals("b", table.answered(b));
        assertNull(table.answered(b), "a duplicate answers nothing");
        assertEquals(Stray.UNKNOWN, table.stray(b));
        assertEquals("a", table.answered(a));
        assertEquals(0, table.inFlight());
    }

    @Test
    void aCallGivenUpHoldsItsPlaceUntilItsReplyComes() {
        CallTable<String> table = new CallTable<>(2, 100);
        long a = table.open("a", 1);
        table.open("b", 2);
        table.giveUp(a);
        assertTrue(table.full());
        assertEquals(1, table.waiting());
        assertEquals(1, table.oldest(), "it still counts as the one without a reply for longest");
        assertThrows(IllegalStateException.class, () -> table.open("c", 3));
        assertNull(table.answered(a));
        assertEquals(Stray.LATE, table.stray(a));
        assertFalse(table.full());
        assertEquals(2, table.oldest());
    }

    @Test
    void aCallWithdrawnLeavesNothing() {
        CallTable<String> table = new CallTable<>(1, 100);
        table.withdraw(table.open("a", 1));
        assertEquals(0, table.inFlight());
        assertEquals(Long.MAX_VALUE, table.oldest());
        assertEquals(1, table.open("b", 2), "its id is not given again");
    }

    @Test
    void idsComeToAnEnd() {
        CallTable<String> table = new CallTable<>(10, 2);
        for (int i = 0; i < 3; i++) {
            assertFalse(table.spent());
            table.answered(table.open("x", i));
        }
        assertTrue(table.spent() && table.full());
    }

    @Test
    void theEndGivesAllThatWaitInTheirOrder() {
        CallTable<String> table = new CallTable<>(10, 100);
        table.open("a", 1);
        table.giveUp(table.open("b", 1));
        table.open("c", 1);
        assertEquals(List.of("a", "c"), table.end());
        assertEquals(0, table.inFlight());
    }

    /** Against a model that remembers everything: each call is answered by its own reply only, and ids never repeat. */
    @Property(tries = 300, seed = "44")
    void againstAModel(@ForAll Random random) {
        int most = 1 + random.nextInt(8);
        CallTable<Integer> table = new CallTable<>(most, 500);
        Map<Long, Integer> waiting = new HashMap<>();
        Set<Long> givenUp = new HashSet<>();
        List<Long> all = new ArrayList<>();
        for (int step = 0; step < 300; step++) {
            long id = all.isEmpty() || random.nextInt(10) == 0 ? random.nextInt(600) : all.get(random.nextInt(all.size()));
            switch (random.nextInt(4)) {
                case 0 -> {
                    assertEquals(waiting.size() + givenUp.size() >= most, table.full());
                    if (!table.full()) {
                        long opened = table.open(step, step);
                        assertFalse(all.contains(opened));
                        all.add(opened);
                        waiting.put(opened, step);
                    }
                }
                case 1 -> {
                    Integer expected = waiting.remove(id);
                    assertEquals(expected, table.answered(id));
                    if (expected == null) {
                        assertEquals(givenUp.remove(id) ? Stray.LATE : Stray.UNKNOWN, table.stray(id));
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
                    table.withdraw(id);
                }
            }
            assertEquals(waiting.size(), table.waiting());
            assertEquals(waiting.size() + givenUp.size(), table.inFlight());
        }
    }
}
