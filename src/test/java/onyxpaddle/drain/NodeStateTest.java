package onyxpaddle.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import onyxpaddle.drain.NodeState.Phase;
import org.junit.jupiter.api.Test;

/** Each cell of the design note's table, by a clock of its own. */
class NodeStateTest {
    private static final long MS = 1_000_000L;
    private static final long PATIENCE = 3_000 * MS;
    private final NodeState state = new NodeState();

    @Test
    void servingKeepsEverything() {
        assertTrue(state.acceptsWork());
        assertTrue(state.keepsConnections(9_000 * MS));
        assertFalse(state.closesIdle(0, 9_000 * MS));
        assertFalse(state.rejectsIncomplete(9_000 * MS));
        assertFalse(state.closesListener(0, 9_000 * MS));
        assertTrue(state.canAnswerBeforeExit(PATIENCE, 9_000 * MS));
        assertFalse(state.over(9_000 * MS));
    }

    /** An end that waits for 3 s: who waits for longer is taken for as long as one who waits for those 3 s, and no longer. */
    @Test
    void whoWaitsForLongerThanTheEndDoesIsTakenAsLongAsTheLongestThatItWaitsFor() {
        state.end(0, false, PATIENCE, 0);
        assertTrue(state.canAnswerBeforeExit(PATIENCE + 1_200 * MS, 550 * MS));
        assertFalse(state.canAnswerBeforeExit(PATIENCE + 1_200 * MS, 551 * MS));
        assertFalse(state.canAnswerBeforeExit(PATIENCE, 551 * MS));
        assertTrue(state.canAnswerBeforeExit(400 * MS, 3_150 * MS));
    }

    @Test
    void drainLetsGoInStepsAndIsEmptyByFourSeconds() {
        assertTrue(state.drain(0));
        assertFalse(state.acceptsWork());
        assertTrue(state.keepsConnections(399 * MS));
        assertFalse(state.keepsConnections(400 * MS));
        assertFalse(state.closesIdle(0, 999 * MS));
        assertTrue(state.closesIdle(0, 1_000 * MS));
        assertFalse(state.closesIdle(950 * MS, 1_000 * MS), "one that has just come is left time to ask");
        assertFalse(state.rejectsIncomplete(1_999 * MS));
        assertTrue(state.rejectsIncomplete(2_000 * MS));
        assertFalse(state.closesListener(0, 60_000 * MS), "so that an undrain has nothing to bind");
        assertTrue(state.canAnswerBeforeExit(PATIENCE, 60_000 * MS));
        assertFalse(state.over(60_000 * MS));
    }

    @Test
    void undrainServesAtOnceAndADrainStartsAnewAfterIt() {
        state.drain(0);
        assertTrue(state.undrain(1_500 * MS));
        assertTrue(state.acceptsWork());
        assertFalse(state.closesIdle(0, 1_600 * MS));
        assertTrue(state.undrain(1_600 * MS), "a second one changes nothing");
        state.drain(10_000 * MS);
        assertTrue(state.keepsConnections(10_100 * MS), "its times count from its own call");
        state.drain(10_300 * MS);
        assertFalse(state.keepsConnections(10_400 * MS), "and not from a second call");
    }

    @Test
    void endKeepsConnectionsToTheLastAndThenGoes() {
        state.end(0, false, PATIENCE, 0);
        assertEquals(Phase.ENDING, state.phase());
        assertFalse(state.acceptsWork());
        assertTrue(state.keepsConnections(3_200 * MS));
        assertFalse(state.keepsConnections(3_300 * MS));
        assertFalse(state.closesIdle(0, 3_200 * MS));
        assertTrue(state.closesIdle(0, 3_300 * MS));
        assertTrue(state.canAnswerBeforeExit(PATIENCE, 550 * MS));
        assertFalse(state.canAnswerBeforeExit(PATIENCE, 551 * MS));
        assertFalse(state.rejectsIncomplete(3_250 * MS), "what comes whole is answered as long as there is time");
        assertTrue(state.rejectsIncomplete(3_251 * MS), "and no half of a request is there as the process goes");
        assertFalse(state.closesListener(0, 499 * MS));
        assertFalse(state.closesListener(400 * MS, 600 * MS), "one came just now, and more may");
        assertTrue(state.closesListener(400 * MS, 650 * MS));
        assertTrue(state.closesListener(1_490 * MS, 1_500 * MS));
        assertFalse(state.over(3_549 * MS));
        assertTrue(state.over(3_550 * MS));
    }

    /** SIGKILL comes 1 s after SIGTERM where no class waits for longer than 0.3 s, and 0.75 s after it with 0.05 s. */
    @Test
    void shortDeadlinesEndTheListenerBeforeSigkillAndLeaveNewConnectionsTimeToAsk() {
        state.end(0, false, 300 * MS, 0);
        assertFalse(state.closesListener(540 * MS, 550 * MS));
        assertTrue(state.closesListener(540 * MS, 551 * MS), "though connections still come");
        assertFalse(state.closesIdle(500 * MS, 560 * MS), "one that has just come is left time to ask");
        assertTrue(state.closesIdle(400 * MS, 560 * MS));
        NodeState shorter = new NodeState();
        shorter.end(0, false, 50 * MS, 0);
        assertFalse(shorter.closesListener(400 * MS, 499 * MS), "connections go on coming for 0.4 s");
        assertTrue(shorter.closesListener(500 * MS, 551 * MS));
        assertFalse(shorter.closesIdle(390 * MS, 400 * MS));
        assertTrue(shorter.canAnswerBeforeExit(50 * MS, 550 * MS));
    }

    /** A node short of processor time hears late, while SIGKILL counts from the signal: it takes no more than it can answer by then. */
    @Test
    void whatWasHeardLateEndsByWhenItWasTold() {
        state.end(0, false, PATIENCE, 400 * MS);
        assertTrue(state.canAnswerBeforeExit(PATIENCE, 150 * MS));
        assertFalse(state.canAnswerBeforeExit(PATIENCE, 151 * MS));
        assertFalse(state.over(3_149 * MS));
        assertTrue(state.over(3_150 * MS));
        assertFalse(state.closesListener(0, 499 * MS), "connections go on coming all the same");
        NodeState far = new NodeState();
        far.end(0, false, 300 * MS, 2_000 * MS);
        assertFalse(far.closesListener(0, 499 * MS));
        assertFalse(far.canAnswerBeforeExit(0, 0), "nothing is taken that nobody answers");
    }

    @Test
    void whereASuccessorServesAllIsHandedToItAtOnce() {
        state.end(0, true, PATIENCE, 0);
        assertEquals(Phase.REPLACED, state.phase());
        assertTrue(state.closesListener(0, 0));
        assertFalse(state.keepsConnections(0));
        assertFalse(state.closesIdle(-500 * MS, 400 * MS));
        assertTrue(state.closesIdle(-500 * MS, 500 * MS));
        assertTrue(state.canAnswerBeforeExit(PATIENCE, 550 * MS));
        assertTrue(state.over(3_550 * MS));
    }

    @Test
    void endGoesBeforeADrainAndIsNeverTakenBack() {
        state.drain(0);
        state.end(1_000 * MS, false, PATIENCE, 0);
        assertFalse(state.undrain(1_100 * MS));
        assertFalse(state.drain(1_100 * MS));
        state.end(2_000 * MS, true, PATIENCE, 0);
        assertEquals(Phase.ENDING, state.phase(), "a second signal changes nothing");
        assertTrue(state.over(4_550 * MS));
    }

    /** A protocol that has no word for going refuses, then closes between calls. */
    @Test
    void callsAreRefusedBeforeTheirConnectionCloses() {
        assertFalse(state.refusesCalls(9_000 * MS));
        assertFalse(state.closesBetweenCalls(0, 9_000 * MS));
        state.drain(0);
        assertFalse(state.refusesCalls(1_999 * MS));
        assertTrue(state.refusesCalls(2_000 * MS));
        assertFalse(state.closesBetweenCalls(0, 999 * MS));
        assertTrue(state.closesBetweenCalls(0, 1_000 * MS));
        assertFalse(state.closesBetweenCalls(2_250 * MS, 2_300 * MS), "one that is just refused is left time to read it");
        assertTrue(state.closesBetweenCalls(2_301 * MS, 2_301 * MS));
        state.undrain(3_000 * MS);
        assertFalse(state.refusesCalls(3_000 * MS));
    }

    @Test
    void aloneCallsAreRefusedAtOnceBesideAnotherProcessServedOn() {
        state.end(0, false, PATIENCE, 0);
        assertTrue(state.refusesCalls(0));
        assertFalse(state.closesBetweenCalls(0, 300 * MS));
        assertTrue(state.closesBetweenCalls(300 * MS, 301 * MS));
        NodeState other = new NodeState();
        other.end(0, true, PATIENCE, 0);
        assertFalse(other.refusesCalls(1_999 * MS));
        assertTrue(other.refusesCalls(2_000 * MS));
        assertFalse(other.closesBetweenCalls(0, 999 * MS));
        assertTrue(other.closesBetweenCalls(0, 1_000 * MS));
    }
}
