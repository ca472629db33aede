package onyxpaddle.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Further attempts as a share of first ones, and what becomes of them when a tier fails. */
class RetryBudgetTest {
    private static final long MS = 1_000_000L;
    private final RetryBudget budget = new RetryBudget(0.2, 1);

    private int granted(long now, int asked, boolean neverRan) {
        int granted = 0;
        for (int i = 0; i < asked; i++) {
            granted += budget.mayTry(now, neverRan) ? 1 : 0;
        }
        return granted;
    }

    private void load(long now, int firsts, int good, int bad) {
        for (int i = 0; i < firsts; i++) {
            budget.first(now);
        }
        for (int i = 0; i < good; i++) {
            budget.ended(now, true);
        }
        for (int i = 0; i < bad; i++) {
            budget.ended(now, false);
        }
    }

    @Test
    void aShareOfTheFirstTriesAndAFewBesides() {
        load(0, 1000, 1000, 0);
        assertEquals(210, granted(0, 500, false));
        assertEquals(0, granted(9_999 * MS, 5, false));
    }

    @Test
    void aQuietPoolMayRetryAtAll() {
        assertEquals(10, granted(0, 50, false));
    }

    @Test
    void theWindowPasses() {
        load(0, 1000, 1000, 0);
        assertEquals(210, granted(5_000 * MS, 500, false));
        assertEquals(0, granted(9_000 * MS, 5, false), "those of 5 s ago count still");
        assertEquals(10, granted(15_000 * MS, 50, false), "all of the load is out of the window");
    }

    @Test
    void whatNeverRanIsNotStoppedInAHealthyFleet() {
        load(0, 100, 60, 40);
        assertEquals(1000, granted(0, 1000, true));
        assertTrue(budget.mayTry(0, false), "and has taken nothing from the others");
    }

    @Test
    void inAStormItCountsLikeAnyOther() {
        load(0, 100, 40, 60);
        assertEquals(30, granted(0, 1000, true));
        assertFalse(budget.mayTry(0, false));
    }

    @Test
    void whereNearlyAllFailsOnlyTheFewBesidesAreLeft() {
        load(0, 1000, 100, 900);
        assertEquals(10, granted(0, 1000, false));
    }

    @Test
    void aFewFailuresProveNothing() {
        load(0, 10, 0, 19);
        assertEquals(0, budget.failing(0));
        load(0, 0, 0, 1);
        assertEquals(1, budget.failing(0));
    }
}
