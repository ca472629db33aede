package onyxpaddle.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What is kept back of the time at each hop. */
class HopMarginTest {
    private static final long MS = 1_000_000L;
    private final HopMargin margin = new HopMargin();

    @Test
    void atFirstLittleAndNeverMoreThanAPartOfWhatIsLeft() {
        assertEquals(998 * MS, margin.below(1000 * MS));
        assertEquals(4 * MS, margin.below(5 * MS));
        assertEquals(0, margin.below(0));
    }

    @Test
    void growsWhereTimeRunsOutHereWithNoWordAndShrinksWhereTheWordComes() {
        for (int i = 0; i < 100; i++) {
            margin.ranOut(false);
        }
        assertEquals(100 * MS, margin.margin());
        for (int i = 0; i < 1000; i++) {
            margin.ranOut(true);
        }
        assertEquals(MS, margin.margin());
    }

    @Test
    void followsWhatPassingTakes() {
        for (int i = 0; i < 200; i++) {
            margin.took(60 * MS, 50 * MS);
        }
        assertTrue(Math.abs(margin.margin() - 20 * MS) < MS, "margin " + margin.margin());
        margin.took(10 * MS, 50 * MS);
        assertTrue(margin.margin() < 20 * MS);
    }
}
