package onyxpaddle.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The time that a hop holds back from the next one. */
class HopMarginTest {
    private static final long MS = 1_000_000L;
    private final HopMargin margin = new HopMargin();

    @Test
    void startsSmallAndNeverExceedsAFractionOfTheTimeLeft() {
        assertEquals(998 * MS, margin.downstreamTimeout(1000 * MS));
        assertEquals(4 * MS, margin.downstreamTimeout(5 * MS));
        assertEquals(0, margin.downstreamTimeout(0));
    }

    @Test
    void growsOnUnreportedTimeoutsAndShrinksOnReportedOnes() {
        for (int i = 0; i < 100; i++) {
            margin.timedOut(false);
        }
        assertEquals(100 * MS, margin.margin());
        for (int i = 0; i < 1000; i++) {
            margin.timedOut(true);
        }
        assertEquals(MS, margin.margin());
    }

    @Test
    void followsTheTransitTime() {
        for (int i = 0; i < 200; i++) {
            margin.completed(60 * MS, 50 * MS);
        }
        assertTrue(Math.abs(margin.margin() - 20 * MS) < MS, "margin " + margin.margin());
        margin.completed(10 * MS, 50 * MS);
        assertTrue(margin.margin() < 20 * MS);
    }
}
