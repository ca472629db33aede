package onyxpaddle.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Data read by an event loop arrived after its previous poll; a request's time must not start only when the loop gets to it. */
class PollTimesTest {
    private static final long MS = 1_000_000L;
    private final PollTimes pollTimes = new PollTimes(0);

    private void turn(long pollStarted, long pollFinished) {
        pollTimes.pollStarted(pollStarted * MS);
        pollTimes.mayBlockFor(pollFinished > pollStarted ? 500 * MS : 0);
        pollTimes.pollFinished(pollFinished * MS);
    }

    @Test
    void beforeTheFirstPollArrivalIsNow() {
        assertEquals(7 * MS, pollTimes.earliestArrival(7 * MS));
        assertEquals(0, pollTimes.lag());
    }

    @Test
    void dataFoundAfterABusyTurnMayHaveArrivedAtItsStart() {
        turn(100, 100);
        turn(600, 600);
        assertEquals(100 * MS, pollTimes.earliestArrival(650 * MS));
        turn(700, 700);
        assertEquals(600 * MS, pollTimes.earliestArrival(700 * MS));
    }

    @Test
    void dataThatEndsABlockingPollHasJustArrived() {
        turn(100, 100);
        turn(600, 900);
        assertEquals(900 * MS, pollTimes.earliestArrival(950 * MS));
    }

    /** Stopped during a poll, as by SIGSTOP, beyond its planned wake-up. The data may have arrived in the turn before. */
    @Test
    void lagOfAStalledLoopIsTheTimeBeyondItsPlannedWakeUp() {
        turn(100, 100);
        turn(110, 1_400);
        assertEquals(790 * MS, pollTimes.lag());
        assertEquals(100 * MS, pollTimes.earliestArrival(1_400 * MS));
    }

    /** With little processor time the poll itself takes 7 ms, and the data arrived in the turn before, which took 300 ms. */
    @Test
    void slowPollDoesNotCountAsBlocked() {
        turn(100, 100);
        pollTimes.pollStarted(400 * MS);
        pollTimes.mayBlockFor(50 * MS);
        pollTimes.pollFinished(407 * MS);
        assertEquals(100 * MS, pollTimes.earliestArrival(410 * MS));
    }

    /** The same where a timer is due at once, so that the poll must not block, or is due before the poll returns. */
    @Test
    void slowPollThatMustNotBlockIsNoStall() {
        turn(100, 100);
        pollTimes.pollStarted(400 * MS);
        pollTimes.pollFinished(407 * MS);
        assertEquals(100 * MS, pollTimes.earliestArrival(410 * MS));
        pollTimes.pollStarted(700 * MS);
        pollTimes.mayBlockFor(2 * MS);
        pollTimes.pollFinished(709 * MS);
        assertEquals(407 * MS, pollTimes.earliestArrival(710 * MS));
    }

    @Test
    void lagOfALongTurnDecaysOverShortTurns() {
        turn(100, 100);
        turn(500, 500);
        assertEquals(400 * MS, pollTimes.lag());
        for (int i = 1; i <= 3; i++) {
            turn(500 + i, 500 + i);
        }
        assertTrue(pollTimes.lag() > 250 * MS && pollTimes.lag() < 300 * MS);
        for (int i = 4; i <= 60; i++) {
            turn(500 + i, 500 + i);
        }
        assertEquals(MS, pollTimes.lag(), MS / 10);
    }

    /** Stopped at any point of a poll: what a later poll reports arrived after the start of the last poll that did not. */
    @Test
    void lastPollIsTheStartOfThePollThatDidNotReport() {
        turn(100, 100);
        turn(600, 600);
        assertEquals(100 * MS, pollTimes.lastPoll());
        assertEquals(600 * MS, pollTimes.turnStart());
        pollTimes.pollStarted(700 * MS);
        pollTimes.blocks();
        pollTimes.pollFinished(1_150 * MS);
        assertEquals(700 * MS, pollTimes.lastPoll());
        pollTimes.pollStarted(1_160 * MS);
        assertEquals(700 * MS, pollTimes.lastPoll());
    }

    @Test
    void pollThatMayHaveLeftEventsBehindDoesNotCount() {
        turn(100, 100);
        turn(200, 200);
        pollTimes.turnFinished(PollTimes.MAX_EVENTS);
        turn(300, 300);
        assertEquals(100 * MS, pollTimes.lastPoll());
        pollTimes.turnFinished(3);
        turn(400, 400);
        assertEquals(300 * MS, pollTimes.lastPoll());
    }
}
