package onyxpaddle.bgp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import onyxpaddle.bgp.ServiceHealth.Observation;
import onyxpaddle.bgp.ServiceHealth.Status;
import onyxpaddle.bgp.ServiceHealth.Settings;
import onyxpaddle.bgp.ServiceHealth.Verdict;
import org.junit.jupiter.api.Test;

/** Tests the health of a pool by observations, with a margin and a minimum dwell time before it improves. */
class ServiceHealthTest {
    private static final long MS = 1_000_000L;
    private static final long S = 1000 * MS;
    private final ServiceHealth health = new ServiceHealth(Settings.USUAL, 0);
    private long now;
    private long served;
    private long refused;
    private long failed;

    /** Makes observations at four per second, adding the given numbers of served, refused and failed requests before each. */
    private Verdict observe(int times, int servedEach, int refusedEach, int failedEach) {
        for (int i = 0; i < times; i++) {
            now += 250 * MS;
            served += servedEach;
            refused += refusedEach;
            failed += failedEach;
            health.observe(new Observation(true, 4, 4, served, refused, failed, 0), now);
        }
        return health.verdict();
    }

    @Test
    void anIdlePoolIsUpWithAvailableServersAndDownAtOnceWithoutAny() {
        assertEquals(Status.UP, observe(1, 0, 0, 0).status());
        assertEquals(Status.UP, observe(400, 0, 0, 0).status());
        Verdict verdict = health.observe(new Observation(true, 4, 0, 0, 0, 0, 0), now + 1);
        assertEquals(new Verdict(Status.DOWN, "none of 4 servers is available", now + 1), verdict);
        assertEquals("no servers listed",
            new ServiceHealth(Settings.USUAL, 0).observe(new Observation(true, 0, 0, 0, 0, 0, 0), 1).reason());
        assertEquals("not ready to serve",
            new ServiceHealth(Settings.USUAL, 0).observe(new Observation(false, 1, 1, 0, 0, 0, 0), 1).reason());
    }

    @Test
    void improvementWaitsForTheDwellTime() {
        observe(4, 0, 0, 0);
        health.observe(new Observation(false, 4, 4, 0, 0, 0, 0), now);
        assertEquals(Status.DOWN, observe(19, 0, 0, 0).status());
        assertEquals(Status.UP, observe(1, 0, 0, 0).status());
    }

    @Test
    void theShareServedDecidesWithAMarginBeforeImprovement() {
        observe(40, 10, 0, 0);
        assertEquals(Status.UP, observe(40, 19, 0, 1).status(), "95% served is up");
        assertEquals(Status.DEGRADED, observe(40, 17, 0, 3).status());
        assertTrue(health.verdict().reason().contains("% of requests"), health.verdict().reason());
        assertEquals(Status.DEGRADED, observe(60, 92, 8, 0).status(), "above the threshold, but within the margin");
        assertEquals(Status.UP, observe(60, 98, 2, 0).status());
        assertEquals(Status.DOWN, observe(40, 2, 8, 0).status());
        assertEquals(Status.DOWN, observe(60, 33, 67, 0).status());
        assertEquals(Status.DEGRADED, observe(60, 50, 50, 0).status());
    }

    @Test
    void failuresOfTooFewRequestsAreIgnored() {
        observe(4, 0, 0, 0);
        assertEquals(Status.UP, observe(2, 0, 0, 4).status(), "8 of 8 failed: too few requests");
        assertEquals(Status.DOWN, observe(20, 0, 0, 4).status());
        // Once withdrawn, the address gets no more requests, and an idle pool is judged by its servers alone.
        assertEquals(Status.UP, observe(60, 0, 0, 0).status());
    }

    @Test
    void eventLoopLagDegradesThePool() {
        observe(4, 0, 0, 0);
        assertEquals(Status.DEGRADED, health.observe(new Observation(true, 4, 4, 0, 0, 0, 600 * MS), now + MS).status());
        assertEquals(Status.DEGRADED, observe(10, 0, 0, 0).status());
        assertEquals(Status.UP, observe(20, 0, 0, 0).status());
    }

    /** A pool whose share of served requests varies around the threshold must rarely change its status. */
    @Test
    void aShareVaryingAroundTheThresholdDoesNotFlap() {
        observe(40, 10, 0, 0);
        int changes = 0;
        Status last = health.verdict().status();
        for (int i = 0; i < 240; i++) {
            Status status = observe(5, i % 2 == 0 ? 93 : 87, i % 2 == 0 ? 7 : 13, 0).status();
            changes += status == last ? 0 : 1;
            last = status;
        }
        assertTrue(changes <= 2, changes + " changes in five minutes");
        assertTrue(now > 300 * S);
    }
}
