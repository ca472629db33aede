package onyxpaddle.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import onyxpaddle.drain.NodeState.Phase;
import org.junit.jupiter.api.Test;

/** Each cell of the table in the design note, with simulated time. */
class NodeStateTest {
    private static final long MS = 1_000_000L;
    private static final long CALLER_TIMEOUT = 3_000 * MS;
    private final NodeState state = new NodeState();

    @Test
    void servingClosesAndRefusesNothing() {
        assertTrue(state.acceptsWork());
        assertTrue(state.keepsConnections(9_000 * MS));
        assertFalse(state.closesIdle(0, 9_000 * MS));
        assertFalse(state.rejectsIncomplete(9_000 * MS));
        assertFalse(state.closesListener(0, 9_000 * MS));
        assertTrue(state.canAnswerBeforeExit(CALLER_TIMEOUT, 9_000 * MS));
        assertFalse(state.expired(9_000 * MS));
    }

    /** The end was started with a longest wait of 3 s: callers that wait longer are treated like callers that wait 3 s. */
    @Test
    void callerTimeoutIsCappedAtTheOneTheEndWasStartedWith() {
        state.end(0, false, CALLER_TIMEOUT, 0);
        assertTrue(state.canAnswerBeforeExit(CALLER_TIMEOUT + 1_200 * MS, 550 * MS));
        assertFalse(state.canAnswerBeforeExit(CALLER_TIMEOUT + 1_200 * MS, 551 * MS));
        assertFalse(state.canAnswerBeforeExit(CALLER_TIMEOUT, 551 * MS));
        assertTrue(state.canAnswerBeforeExit(400 * MS, 3_150 * MS));
    }

    @Test
    void drainClosesInStepsAndIsCompleteWithinFourSeconds() {
        assertTrue(state.drain(0));
        assertFalse(state.acceptsWork());
        assertTrue(state.keepsConnections(399 * MS));
        assertFalse(state.keepsConnections(400 * MS));
        assertFalse(state.closesIdle(0, 999 * MS));
        assertTrue(state.closesIdle(0, 1_000 * MS));
        assertFalse(state.closesIdle(950 * MS, 1_000 * MS), "a new connection gets time to send a request");
        assertFalse(state.rejectsIncomplete(1_999 * MS));
        assertTrue(state.rejectsIncomplete(2_000 * MS));
        assertFalse(state.closesListener(0, 60_000 * MS), "an undrain must not have to bind again");
        assertTrue(state.canAnswerBeforeExit(CALLER_TIMEOUT, 60_000 * MS));
        assertFalse(state.expired(60_000 * MS));
    }

    @Test
    void undrainServesAtOnceAndALaterDrainStartsAnew() {
        state.drain(0);
        assertTrue(state.undrain(1_500 * MS));
        assertTrue(state.acceptsWork());
        assertFalse(state.closesIdle(0, 1_600 * MS));
        assertTrue(state.undrain(1_600 * MS), "a second undrain changes nothing");
        state.drain(10_000 * MS);
        assertTrue(state.keepsConnections(10_100 * MS), "times count from the second drain");
        state.drain(10_300 * MS);
        assertFalse(state.keepsConnections(10_400 * MS), "a repeated call does not restart the drain");
    }

    @Test
    void endKeepsConnectionsUntilShortlyBeforeTheExit() {
        state.end(0, false, CALLER_TIMEOUT, 0);
        assertEquals(Phase.ENDING, state.phase());
        assertFalse(state.acceptsWork());
        assertTrue(state.keepsConnections(3_200 * MS));
        assertFalse(state.keepsConnections(3_300 * MS));
        assertFalse(state.closesIdle(0, 3_200 * MS));
        assertTrue(state.closesIdle(0, 3_300 * MS));
        assertTrue(state.canAnswerBeforeExit(CALLER_TIMEOUT, 550 * MS));
        assertFalse(state.canAnswerBeforeExit(CALLER_TIMEOUT, 551 * MS));
        assertFalse(state.rejectsIncomplete(3_250 * MS), "complete requests are answered while there is time");
        assertTrue(state.rejectsIncomplete(3_251 * MS), "no incomplete request is left when the process exits");
        assertFalse(state.closesListener(0, 499 * MS));
        assertFalse(state.closesListener(400 * MS, 600 * MS), "a connection was just accepted, and more may follow");
        assertTrue(state.closesListener(400 * MS, 650 * MS));
        assertTrue(state.closesListener(1_490 * MS, 1_500 * MS));
        assertFalse(state.expired(3_549 * MS));
        assertTrue(state.expired(3_550 * MS));
    }

    /** SIGKILL comes 1 s after SIGTERM if no class has a deadline above 0.3 s, and 0.75 s after it with 0.05 s. */
    @Test
    void withShortDeadlinesTheListenerClosesEarlyAndNewConnectionsStillGetTime() {
        state.end(0, false, 300 * MS, 0);
        assertFalse(state.closesListener(540 * MS, 550 * MS));
        assertTrue(state.closesListener(540 * MS, 551 * MS), "although connections still arrive");
        assertFalse(state.closesIdle(500 * MS, 560 * MS), "a new connection gets time to send a request");
        assertTrue(state.closesIdle(400 * MS, 560 * MS));
        NodeState shorter = new NodeState();
        shorter.end(0, false, 50 * MS, 0);
        assertFalse(shorter.closesListener(400 * MS, 499 * MS), "connections arrive for 0.4 s after SIGTERM");
        assertTrue(shorter.closesListener(500 * MS, 551 * MS));
        assertFalse(shorter.closesIdle(390 * MS, 400 * MS));
        assertTrue(shorter.canAnswerBeforeExit(50 * MS, 550 * MS));
    }

    /** A node short of processor time gets its signal late, but SIGKILL counts from the signal: the end is earlier by the delay. */
    @Test
    void delayedSignalShortensTheEnd() {
        state.end(0, false, CALLER_TIMEOUT, 400 * MS);
        assertTrue(state.canAnswerBeforeExit(CALLER_TIMEOUT, 150 * MS));
        assertFalse(state.canAnswerBeforeExit(CALLER_TIMEOUT, 151 * MS));
        assertFalse(state.expired(3_149 * MS));
        assertTrue(state.expired(3_150 * MS));
        assertFalse(state.closesListener(0, 499 * MS), "connections still arrive");
        NodeState veryLate = new NodeState();
        veryLate.end(0, false, 300 * MS, 2_000 * MS);
        assertFalse(veryLate.closesListener(0, 499 * MS));
        assertFalse(veryLate.canAnswerBeforeExit(0, 0), "no request is accepted that can't be answered");
    }

    @Test
    void replacedNodeHandsOverToItsSuccessorAtOnce() {
        state.end(0, true, CALLER_TIMEOUT, 0);
        assertEquals(Phase.REPLACED, state.phase());
        assertTrue(state.closesListener(0, 0));
        assertFalse(state.keepsConnections(0));
        assertFalse(state.closesIdle(-500 * MS, 400 * MS));
        assertTrue(state.closesIdle(-500 * MS, 500 * MS));
        assertTrue(state.canAnswerBeforeExit(CALLER_TIMEOUT, 550 * MS));
        assertTrue(state.expired(3_550 * MS));
    }

    @Test
    void endOverridesADrainAndIsFinal() {
        state.drain(0);
        state.end(1_000 * MS, false, CALLER_TIMEOUT, 0);
        assertFalse(state.undrain(1_100 * MS));
        assertFalse(state.drain(1_100 * MS));
        state.end(2_000 * MS, true, CALLER_TIMEOUT, 0);
        assertEquals(Phase.ENDING, state.phase(), "a second signal changes nothing");
        assertTrue(state.expired(4_550 * MS));
    }

    /** A protocol that can't announce the end of a connection refuses calls, then closes between calls. */
    @Test
    void callsAreRefusedBeforeTheirConnectionCloses() {
        assertFalse(state.refusesCalls(9_000 * MS));
        assertFalse(state.closesBetweenCalls(0, 9_000 * MS));
        state.drain(0);
        assertFalse(state.refusesCalls(1_999 * MS));
        assertTrue(state.refusesCalls(2_000 * MS));
        assertFalse(state.closesBetweenCalls(0, 999 * MS));
        assertTrue(state.closesBetweenCalls(0, 1_000 * MS));
        assertFalse(state.closesBetweenCalls(2_250 * MS, 2_300 * MS), "a caller that was just refused gets time to read that");
        assertTrue(state.closesBetweenCalls(2_301 * MS, 2_301 * MS));
        state.undrain(3_000 * MS);
        assertFalse(state.refusesCalls(3_000 * MS));
    }

    @Test
    void callsAreRefusedAtOnceWithoutASuccessorAndLaterWithOne() {
        state.end(0, false, CALLER_TIMEOUT, 0);
        assertTrue(state.refusesCalls(0));
        assertFalse(state.closesBetweenCalls(0, 300 * MS));
        assertTrue(state.closesBetweenCalls(300 * MS, 301 * MS));
        NodeState replaced = new NodeState();
        replaced.end(0, true, CALLER_TIMEOUT, 0);
        assertFalse(replaced.refusesCalls(1_999 * MS));
        assertTrue(replaced.refusesCalls(2_000 * MS));
        assertFalse(replaced.closesBetweenCalls(0, 999 * MS));
        assertTrue(replaced.closesBetweenCalls(0, 1_000 * MS));
    }
}
