package onyxpaddle.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ListWatchTest {
    private static ListWatch at(long seq) {
        return new ListWatch(false, seq, true, new SplittableRandom(seq));
    }

    /** All calls fail at the same moment, and later ones immediately, as when discovery is down and refuses connections. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void callsAfterACommonFailureAreSpreadAndBackOff(long seed) {
        int nodes = 200;
        Random seeds = new Random(seed);
        int[] perTenth = new int[100];
        int[] per20ms = new int[500];
        for (int i = 0; i < nodes; i++) {
            ListWatch watch = new ListWatch(false, 1, true, new SplittableRandom(seeds.nextLong()));
            int now = watch.backoffAfterFailure(false);
            for (int before = 0; now < 10_000; now += watch.backoffAfterFailure(false)) {
                assertTrue(now - before <= 1000, "the next call is made after " + (now - before) + " ms");
                before = now;
                perTenth[now / 100]++;
                per20ms[now / 20]++;
            }
        }
        for (int window = 0; window < per20ms.length; window++) {
            assertTrue(per20ms[window] <= nodes * 0.4, per20ms[window] + " calls in 20 ms at " + window * 20);
        }
        int early = perTenth[0] + perTenth[1];
        int late = perTenth[98] + perTenth[99];
        assertTrue(late < 0.5 * early, early + " calls in the first 0.2 s, " + late + " in the last");
    }

    @Test
    void backoffIsResetByAnAcceptedList() {
        ListWatch watch = at(4);
        for (int i = 0; i < 20; i++) {
            watch.backoffAfterFailure(false);
        }
        assertNull(watch.accept(false, 5, true));
        assertEquals(0, watch.failures());
        assertTrue(watch.backoffAfterFailure(false) <= 100);
    }

    @Test
    void emptyFullListIsRejectedHoweverOftenItIsSent() {
        ListWatch watch = at(4);
        for (int i = 0; i < 5; i++) {
            assertNotNull(watch.accept(true, 5 + i, true));
            assertEquals(4, watch.seq());
            assertTrue(watch.needsFullList());
        }
        assertNull(watch.accept(true, 9, false));
    }

    @Test
    void emptyFullListIsAcceptedWithoutServers() {
        assertNull(new ListWatch(false, 0, false, new SplittableRandom(1)).accept(true, 1, true));
    }

    @Test
    void olderListIsAcceptedOnlyTheSecondTimeInARow() {
        ListWatch watch = at(40);
        assertNotNull(watch.accept(true, 39, false));
        assertTrue(watch.needsFullList());
        assertNull(watch.accept(true, 41, false));
        assertNotNull(watch.accept(true, 3, false));
        assertNotNull(watch.accept(false, 42, false), "changes between two older full lists");
        assertNotNull(watch.accept(true, 3, false), "the two older lists are not consecutive");
        assertNotNull(watch.accept(true, 2, false), "an even older list");
        assertNotNull(watch.accept(true, 2, true), "an empty list does not confirm a version");
        assertNotNull(watch.accept(true, 2, false));
        assertNull(watch.accept(true, 2, false));
        assertEquals(2, watch.seq());
        assertFalse(watch.needsFullList());
    }

    @Test
    void anyVersionIsAcceptedFromAReplacedDiscovery() {
        ListWatch watch = at(40);
        watch.resetVersion();
        assertNotNull(watch.accept(false, 41, false));
        assertNull(watch.accept(true, 1, false));
        assertNotNull(watch.accept(true, 0, false));
    }

    @Test
    void changesApplyToTheCurrentListOnly() {
        ListWatch watch = at(40);
        assertNotNull(watch.accept(false, 39, false));
        assertNotNull(watch.accept(false, 41, false));
        assertNull(watch.accept(true, 41, false));
        assertNull(watch.accept(false, 41, true));
        watch.markUnreadable();
        assertNotNull(watch.accept(false, 42, false));
        assertNull(watch.accept(true, 42, false));
    }
}
