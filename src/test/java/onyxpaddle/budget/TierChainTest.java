package onyxpaddle.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** With budgets, attempts at the innermost tier never exceed what the edge gave, for any seed; without budgets they multiply. */
class TierChainTest {
    private static final int SEEDS = 200;
    private static final int REQUESTS = 60;

    @Test
    void attemptsNeverExceedTheBudget() {
        double mean = 0;
        double unlimitedMean = 0;
        int unlimitedMax = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            int tiers = 2 + seed % 2;
            int budget = 1 + seed % 12;
            double stallShare = new double[] {0, 0.2, 0.5, 1}[seed % 4];
            TierChain chain = new TierChain(seed, tiers, budget, true, stallShare);
            chain.run(REQUESTS);
            assertEquals(REQUESTS, chain.answered, "seed " + seed + ": each request gets one answer");
            assertTrue(chain.maxAttempts() <= budget, "seed " + seed + ": " + chain.maxAttempts() + " attempts of a budget of " + budget);
            TierChain unlimited = new TierChain(seed, tiers, budget, false, stallShare);
            unlimited.run(REQUESTS);
            mean += chain.meanAttempts(REQUESTS) / SEEDS;
            unlimitedMean += unlimited.meanAttempts(REQUESTS) / SEEDS;
            unlimitedMax = Math.max(unlimitedMax, unlimited.maxAttempts());
        }
        System.out.printf("seeds 1 to %d: attempts for a request at the innermost tier %.2f, without budgets %.2f (%d at most)%n",
            SEEDS, mean, unlimitedMean, unlimitedMax);
        assertTrue(unlimitedMean > 1.5 * mean && unlimitedMax > 12, "the simulation shows no amplification");
    }

    @Test
    void anAmpleBudgetCostsNothingWithoutStalls() {
        int served = 0;
        int servedUnlimited = 0;
        for (int seed = 1; seed <= 20; seed++) {
            TierChain limited = new TierChain(seed, 2, 12, true, 0);
            limited.run(REQUESTS);
            TierChain unlimited = new TierChain(seed, 2, 12, false, 0);
            unlimited.run(REQUESTS);
            served += limited.served;
            servedUnlimited += unlimited.served;
        }
        assertTrue(served >= 0.97 * servedUnlimited, served + " served, without budgets " + servedUnlimited);
    }
}
