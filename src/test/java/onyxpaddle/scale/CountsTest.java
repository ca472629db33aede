package onyxpaddle.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What the stand-in counts, and how many whole lists it makes, on a clock that is handed in. */
class CountsTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long TENTH = SECOND / 10;

    @Test
    void theMostInATenthAndInAnySecondAreFound() {
        RateBins bins = new RateBins(0);
        for (int tenth = 5; tenth < 15; tenth++) {
            bins.count(tenth * TENTH);
            bins.count(tenth * TENTH + 1);
        }
        bins.count(30 * TENTH);
        assertEquals(2, bins.mostInABin());
        assertEquals(20, bins.mostInASecond());
    }

    @Test
    void oneStallDoesNotMoveTheUsualMostOfASecond() {
        RateBins bins = new RateBins(0);
        for (int tenth = 0; tenth < 50; tenth++) {
            bins.count(tenth * TENTH);
        }
        for (int i = 0; i < 100; i++) {
            bins.count(25 * TENTH);
        }
        assertEquals(101, bins.mostInABin());
        assertEquals(1, bins.usualMost());
    }

    @Test
    void theWorstEightSecondsOfADoorAreFound() {
        DoorCounts counts = new DoorCounts(0);
        for (int second = 0; second < 30; second++) {
            counts.written(second >= 10 && second < 18 ? 100 : 1, second * SECOND);
        }
        ListReply.Door door = counts.told(3, 4);
        assertEquals(800, door.worst8s());
        assertEquals(22 + 800, door.bytesOut());
    }

    @Test
    void noMoreWholeListsAreMadeThanTheCapacity() {
        WholeListLimit limit = new WholeListLimit(100, 0);
        int made = 0;
        for (long now = 0; now < 10 * SECOND; now += SECOND / 1_000) {
            made += limit.takes(now) ? 1 : 0;
        }
        assertTrue(made >= 1_000 && made <= 1_010, made + " made");
        assertFalse(limit.takes(10 * SECOND - SECOND / 1_000));
    }
}
