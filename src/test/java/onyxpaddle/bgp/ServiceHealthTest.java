package onyxpaddle.bgp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import onyxpaddle.bgp.ServiceHealth.Observation;
import onyxpaddle.bgp.ServiceHealth.Status;
import onyxpaddle.bgp.ServiceHealth.Settings;
import onyxpaddle.bgp.ServiceHealth.Verdict;
import org.junit.jupiter.api.Test;

/** A pool is what the node sees of it, with a margin and a least time on the way back. */
class ServiceHealthTest {
    private static final long MS = 1_000_000L;
    private static final long S = 1000 * MS;
    private final ServiceHealth health = new ServiceHealth(Settings.USUAL, 0);
    private long now;
    private long served;
    private long refused;
    private long failed;

    /** So many looks, four a second, with what is served, refused and failed between them. */
    private Verdict look(int times, int good, int turnedAway, int bad) {
        for (int i = 0; i < times; i++) {
            now += 250 * MS;
            served += good;
            refused += turnedAway;
            failed += bad;
            health.observe(new Observation(true, 4, 4, served, refused, failed, 0), now);
        }
        return health.verdict();
    }

    @Test
    void anIdlePoolWithSoundServersIsUpAndOneWithoutAnyIsDownAtOnce() {
        assertEquals(Status.UP, look(1, 0, 0, 0).status());
        assertEquals(Status.UP, look(400, 0, 0, 0).status());
        Verdict verdict = health.observe(new Observation(true, 4, 0, 0, 0, 0, 0), now + 1);
        assertEquals(new Verdict(Status.DOWN, "none of 4 servers is sound", now + 1), verdict);
        assertEquals("no server is listed", new ServiceHealth(Settings.USUAL, 0).observe(new Observation(true, 0, 0, 0, 0, 0, 0), 1).reason());
        assertEquals("not ready to serve", new ServiceHealth(Settings.USUAL, 0).observe(new Observation(false, 1, 1, 0, 0, 0, 0), 1).reason());
    }

    @Test
    void whatComesBackWaitsForItsDwellTime() {
        look(4, 0, 0, 0);
        health.observe(new Observation(false, 4, 4, 0, 0, 0, 0), now);
        assertEquals(Status.DOWN, look(19, 0, 0, 0).status());
        assertEquals(Status.UP, look(1, 0, 0, 0).status());
    }

    @Test
    void theShareServedDegradesAndBringsDownWithAMarginOnTheWayBack() {
        look(40, 10, 0, 0);
        assertEquals(Status.UP, look(40, 19, 0, 1).status(), "95 in 100 is well");
        assertEquals(Status.DEGRADED, look(40, 17, 0, 3).status());
        assertTrue(health.verdict().reason().contains("in 100 requests"), health.verdict().reason());
        assertEquals(Status.DEGRADED, look(60, 92, 8, 0).status(), "over the bound, within the margin");
        assertEquals(Status.UP, look(60, 98, 2, 0).status());
        assertEquals(Status.DOWN, look(40, 2, 8, 0).status());
        assertEquals(Status.DOWN, look(60, 33, 67, 0).status());
        assertEquals(Status.DEGRADED, look(60, 50, 50, 0).status());
    }

    @Test
    void aFewFailuresOfAFewRequestsSayNothing() {
        look(4, 0, 0, 0);
        assertEquals(Status.UP, look(2, 0, 0, 4).status(), "8 of 8 failed: too few to say");
        assertEquals(Status.DOWN, look(20, 0, 0, 4).status());
        // Withdrawn, nobody asks it any more, and what is idle is taken by its servers again.
        assertEquals(Status.UP, look(60, 0, 0, 0).status());
    }

    @Test
    void aLoopThatIsLateDegradesIt() {
        look(4, 0, 0, 0);
        assertEquals(Status.DEGRADED, health.observe(new Observation(true, 4, 4, 0, 0, 0, 600 * MS), now + MS).status());
        assertEquals(Status.DEGRADED, look(10, 0, 0, 0).status());
        assertEquals(Status.UP, look(20, 0, 0, 0).status());
    }

    /** A pool on the edge changes seldom. */
    @Test
    void aShareThatSwingsAboutTheBoundDoesNotFlap() {
        look(40, 10, 0, 0);
        int changes = 0;
        Status last = health.verdict().status();
        for (int i = 0; i < 240; i++) {
            Status status = look(5, i % 2 == 0 ? 93 : 87, i % 2 == 0 ? 7 : 13, 0).status();
            changes += status == last ? 0 : 1;
            last = status;
        }
        assertTrue(changes <= 2, changes + " changes in five minutes");
        assertTrue(now > 300 * S);
    }
}
