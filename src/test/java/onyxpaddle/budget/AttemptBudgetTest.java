package onyxpaddle.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Shares are taken and settled, and the attempts used never exceed the budget. */
class AttemptBudgetTest {
    private static void checkInvariant(AttemptBudget budget) {
        assertEquals(budget.given(), budget.left() + budget.out() + budget.used());
        assertTrue(budget.left() >= 0 && budget.out() >= 0 && budget.used() >= 0);
    }

    @Test
    void aThirdIsReservedAndUnusedAttemptsReturnToTheBudget() {
        AttemptBudget budget = new AttemptBudget(6);
        AttemptBudget.Share first = budget.take(false);
        assertEquals(4, first.size());
        first.used(1);
        assertEquals(5, budget.left());
        AttemptBudget.Share second = budget.take(false);
        assertEquals(3, second.size());
        second.spent();
        assertEquals(2, budget.left());
        assertEquals(1, budget.take(false).size());
        assertEquals(1, budget.take(false).size());
        assertNull(budget.take(false));
        checkInvariant(budget);
    }

    @Test
    void innermostAttemptsTakeOneEach() {
        AttemptBudget budget = new AttemptBudget(3);
        for (int i = 0; i < 3; i++) {
            assertEquals(1, budget.take(true).size());
        }
        assertNull(budget.take(true));
    }

    @Test
    void reportedUseIsClamped() {
        for (int reported : new int[] {-5, 0, 1}) {
            AttemptBudget budget = new AttemptBudget(6);
            budget.take(false).used(reported);
            assertEquals(1, budget.used());
        }
        AttemptBudget budget = new AttemptBudget(6);
        budget.take(false).used(1_000_000);
        assertEquals(4, budget.used());
        AttemptBudget empty = new AttemptBudget(0);
        assertNull(empty.take(false));
    }

    @Test
    void aShareSettlesOnceAndAClosedBudgetGivesNone() {
        AttemptBudget budget = new AttemptBudget(6);
        AttemptBudget.Share share = budget.take(false);
        assertEquals(4, budget.close(), "the answer reports unsettled shares as spent");
        share.used(1);
        share.giveBack();
        share.spent();
        assertEquals(1, budget.used());
        assertNull(budget.take(false));
        assertEquals(0, budget.left());
    }

    @Property(tries = 500, seed = "50")
    void theInvariantHoldsInAnyOrder(@ForAll Random random) {
        AttemptBudget budget = new AttemptBudget(random.nextInt(30));
        List<AttemptBudget.Share> shares = new ArrayList<>();
        for (int step = 0; step < 200; step++) {
            AttemptBudget.Share share = random.nextInt(3) == 0 ? budget.take(random.nextBoolean()) : null;
            if (share != null) {
                shares.add(share);
            } else if (!shares.isEmpty()) {
                AttemptBudget.Share one = shares.get(random.nextInt(shares.size()));
                switch (random.nextInt(3)) {
                    case 0 -> one.giveBack();
                    case 1 -> one.used(random.nextInt(20) - 5);
                    default -> one.spent();
                }
            }
            checkInvariant(budget);
        }
    }
}
