package onyxpaddle.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Attempts at the innermost tier never exceed what the edge gave, at any seed; without budgets they multiply. */
class ChainTest {
    private static final int SEEDS = 200;
    private static final int REQUESTS = 60;

    @Test
    void attemptsNeverExceedTheBudget() {
        double mean = 0;
        double free = 0;
        int mostFree = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            int tiers = 2 + seed % 2;
            int budget = 1 + seed % 12;
            double stalled = new double[] {0, 0.2, 0.5, 1}[seed % 4];
            Chain chain = new Chain(seed, tiers, budget, true, stalled);
            chain.run(REQUESTS);
            assertEquals(REQUESTS, chain.answered, "seed " + seed + ": each request has one answer");
            assertTrue(chain.most() <= budget, "seed " + seed + ": " + chain.most() + " attempts of a budget of " + budget);
            Chain without = new Chain(seed, tiers, budget, false, stalled);
            without.run(REQUESTS);
            mean += chain.mean(REQUESTS) / SEEDS;
            free += without.mean(REQUESTS) / SEEDS;
            mostFree = Math.max(mostFree, without.most());
        }
        System.out.printf("seeds 1 to %d: attempts for a request at the innermost tier %.2f, without budgets %.2f (%d at most)%n",
            SEEDS, mean, free, mostFree);
        assertTrue(free > 1.5 * mean && mostFree > 12, "the rig shows no amplification");
    }

    @Test
    void aBudgetThatIsAmpleCostsNothingInCalm() {
        int served = 0;
        int without = 0;
        for (int seed = 1; seed <= 20; seed++) {
            Chain with = new Chain(seed, 2, 12, true, 0);
            with.run(REQUESTS);
            Chain free = new Chain(seed, 2, 12, false, 0);
            free.run(REQUESTS);
            served += with.served;
            without += free.served;
        }
        assertTrue(served >= 0.97 * without, served + " served, without budgets " + without);
    }
}
