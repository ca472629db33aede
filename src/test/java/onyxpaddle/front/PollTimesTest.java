package onyxpaddle.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Data read by an event loop arrived after the start of the last poll that did not report it; a request's time must not start later. */
class PollTimesTest {
    private static final long MS = 1_000_000L;
    private final PollTimes pollTimes = new PollTimes(40 * MS);

    /** A turn whose poll returns at {@code pollFinished}; it blocks if that is later than its start. */
    private void turn(long pollStarted, long pollFinished) {
        pollTimes.pollStarted(pollStarted * MS);
        if (pollFinished > pollStarted) {
            pollTimes.blocks();
        }
        pollTimes.mayBlockFor(pollFinished > pollStarted ? 500 * MS : 0);
        pollTimes.pollFinished(pollFinished * MS);
    }

    @Test
    void beforeTheFirstPollNothingIsKnownButTheStart() {
        assertEquals(40 * MS, pollTimes.lastPoll());
        assertEquals(0, pollTimes.lag(50 * MS));
        turn(100, 100);
        assertEquals(40 * MS, pollTimes.lastPoll());
    }

    @Test
    void dataFoundAfterABusyTurnMayHaveArrivedAtItsStart() {
        turn(100, 100);
        turn(600, 600);
        assertEquals(100 * MS, pollTimes.lastPoll());
        assertEquals(600 * MS, pollTimes.turnStart());
        turn(700, 700);
        assertEquals(600 * MS, pollTimes.lastPoll());
    }

    /** It may have arrived at any time of the block, wherever in it the process was stopped. */
    @Test
    void dataThatEndsABlockingPollArrivedAfterItsStart() {
        turn(100, 100);
        turn(600, 900);
        assertEquals(600 * MS, pollTimes.lastPoll());
        turn(910, 910);
        assertEquals(600 * MS, pollTimes.lastPoll());
    }

    /** Stopped between the poll's check of the sockets and its return: the next poll reports what came meanwhile. */
    @Test
    void dataThatArrivedWhileTheProcessStoodStillAfterAPollIsNotYounger() {
        turn(100, 550);
        turn(560, 560);
        assertEquals(100 * MS, pollTimes.lastPoll());
    }

    /** Stopped during a poll, as by SIGSTOP, beyond its planned wake-up. */
    @Test
    void lagOfAStalledLoopIsTheTimeBeyondItsPlannedWakeUp() {
        turn(100, 100);
        turn(110, 1_400);
        assertEquals(790 * MS, pollTimes.lag(1_400 * MS), "the turn in progress has just begun");
        assertEquals(110 * MS, pollTimes.lastPoll());
    }

    /** With little processor time the poll itself takes 7 ms, and the data arrived in the turn before, which took 300 ms. */
    @Test
    void slowPollDoesNotCountAsBlocked() {
        turn(100, 100);
        pollTimes.pollStarted(400 * MS);
        pollTimes.mayBlockFor(50 * MS);
        pollTimes.pollFinished(407 * MS);
        assertEquals(100 * MS, pollTimes.lastPoll());
    }

    /** The same where a timer is due at once, so that the poll must not block, or is due before the poll returns. */
    @Test
    void slowPollThatMustNotBlockDoesNotCountAsBlocked() {
        turn(100, 100);
        pollTimes.pollStarted(400 * MS);
        pollTimes.pollFinished(407 * MS);
        assertEquals(100 * MS, pollTimes.lastPoll());
        pollTimes.pollStarted(700 * MS);
        pollTimes.mayBlockFor(2 * MS);
        pollTimes.pollFinished(709 * MS);
        assertEquals(400 * MS, pollTimes.lastPoll());
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

    /** A process that was stopped within a turn handles its signal in that turn. */
    @Test
    void lagCountsTheTurnInProgress() {
        turn(100, 100);
        assertEquals(600 * MS, pollTimes.lag(700 * MS));
    }

    /** However many short turns follow it: a busy loop makes a hundred before a signal reaches its handler. */
    @Test
    void lagOfALongTurnLastsForASecond() {
        turn(100, 100);
        turn(500, 500);
        for (int time = 501; time <= 1_000; time++) {
            turn(time, time);
        }
        assertEquals(400 * MS, pollTimes.lag(1_000 * MS));
        for (int time = 1_001; time <= 3_600; time++) {
            turn(time, time);
        }
        assertEquals(MS, pollTimes.lag(3_600 * MS));
    }
}
