package onyxpaddle.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Further attempts are limited to a share of first ones, and further when a tier fails. */
class RetryBudgetTest {
    private static final long MS = 1_000_000L;
    private final RetryBudget budget = new RetryBudget(0.2, 1);

    private int granted(long now, int requested, boolean neverRan) {
        int granted = 0;
        for (int i = 0; i < requested; i++) {
            granted += budget.mayTry(now, neverRan) ? 1 : 0;
        }
        return granted;
    }

    private void load(long now, int firstAttempts, int successes, int failures) {
        for (int i = 0; i < firstAttempts; i++) {
            budget.firstAttempt(now);
        }
        for (int i = 0; i < successes; i++) {
            budget.ended(now, true);
        }
        for (int i = 0; i < failures; i++) {
            budget.ended(now, false);
        }
    }

    @Test
    void allowsAShareOfFirstAttemptsPlusTheMinimumRate() {
        load(0, 1000, 1000, 0);
        assertEquals(210, granted(0, 500, false));
        assertEquals(0, granted(9_999 * MS, 5, false));
    }

    @Test
    void aPoolWithoutTrafficMayRetryAtTheMinimumRate() {
        assertEquals(10, granted(0, 50, false));
    }

    @Test
    void attemptsLeaveTheWindow() {
        load(0, 1000, 1000, 0);
        assertEquals(210, granted(5_000 * MS, 500, false));
        assertEquals(0, granted(9_000 * MS, 5, false), "attempts of 5 s ago still count");
        assertEquals(10, granted(15_000 * MS, 50, false), "the whole load has left the window");
    }

    @Test
    void attemptsThatReplaceOnesThatNeverRanAreFreeWhileMostSucceed() {
        load(0, 100, 60, 40);
        assertEquals(1000, granted(0, 1000, true));
        assertTrue(budget.mayTry(0, false), "the free attempts have not been counted");
    }

    @Test
    void attemptsThatReplaceOnesThatNeverRanCountWhileMostFail() {
        load(0, 100, 40, 60);
        assertEquals(30, granted(0, 1000, true));
        assertFalse(budget.mayTry(0, false));
    }

    @Test
    void onlyTheMinimumRateIsLeftWhileNearlyAllFail() {
        load(0, 1000, 100, 900);
        assertEquals(10, granted(0, 1000, false));
    }

    @Test
    void tooFewAttemptsGiveNoFailureShare() {
        load(0, 10, 0, 19);
        assertEquals(0, budget.failureShare(0));
        load(0, 0, 0, 1);
        assertEquals(1, budget.failureShare(0));
    }
}
