package onyxpaddle.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What a loop reads came since it looked before, and no request's time begins when the loop gets to it. */
class PollTimesTest {
    private static final long MS = 1_000_000L;
    private final PollTimes looks = new PollTimes();

    private void turn(long begins, long looked) {
        looks.begins(begins * MS);
        looks.waits(looked > begins ? 500 * MS : 0);
        looks.looked(looked * MS);
    }

    @Test
    void beforeTheFirstLookAllComesNow() {
        assertEquals(7 * MS, looks.earliestArrival(7 * MS));
        assertEquals(0, looks.lag());
    }

    @Test
    void whatIsThereAfterABusyTurnMayHaveComeAtItsBegin() {
        turn(100, 100);
        turn(600, 600);
        assertEquals(100 * MS, looks.earliestArrival(650 * MS));
        turn(700, 700);
        assertEquals(600 * MS, looks.earliestArrival(700 * MS));
    }

    @Test
    void whatALoopWaitedForHasJustCome() {
        turn(100, 100);
        turn(600, 900);
        assertEquals(900 * MS, looks.earliestArrival(950 * MS));
    }

    /** Stopped while it looked, as by SIGSTOP: it should have woken for what was due. What it finds may have come in the turn before. */
    @Test
    void aLoopThatStoodStillIsLateByWhatItOverslept() {
        turn(100, 100);
        turn(110, 1_400);
        assertEquals(790 * MS, looks.lag());
        assertEquals(100 * MS, looks.earliestArrival(1_400 * MS));
    }

    /** On a core that gives it little: the look itself takes 7 ms, and what it finds came in the turn before, which took 300. */
    @Test
    void aSlowLookHasNotWaited() {
        turn(100, 100);
        looks.begins(400 * MS);
        looks.waits(50 * MS);
        looks.looked(407 * MS);
        assertEquals(100 * MS, looks.earliestArrival(410 * MS));
    }

    /** The same where something is due at once, so that it does not wait at all, or is due before the look is done. */
    @Test
    void aSlowLookThatWasNotToWaitHasNotStoodStill() {
        turn(100, 100);
        looks.begins(400 * MS);
        looks.looked(407 * MS);
        assertEquals(100 * MS, looks.earliestArrival(410 * MS));
        looks.begins(700 * MS);
        looks.waits(2 * MS);
        looks.looked(709 * MS);
        assertEquals(407 * MS, looks.earliestArrival(710 * MS));
    }

    @Test
    void oneLongTurnCountsForSomeShortOnesAndThenNoMore() {
        turn(100, 100);
        turn(500, 500);
        assertEquals(400 * MS, looks.lag());
        for (int i = 1; i <= 3; i++) {
            turn(500 + i, 500 + i);
        }
        assertTrue(looks.lag() > 250 * MS && looks.lag() < 300 * MS);
        for (int i = 4; i <= 60; i++) {
            turn(500 + i, 500 + i);
        }
        assertEquals(MS, looks.lag(), MS / 10);
    }
}
