package onyxpaddle.rpc;

import static onyxpaddle.rpc.ConnectionSelector.DIAL;
import static onyxpaddle.rpc.ConnectionSelector.NONE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import onyxpaddle.rpc.ConnectionSelector.Seen;
import org.junit.jupiter.api.Test;

/** Which connection carries the next call, and when one stalls. */
class ConnectionSelectorTest {
    private static final long MS = 1_000_000L;
    private final ConnectionSelector choice = new ConnectionSelector(2);

    private static Seen sound(int inFlight) {
        return new Seen(inFlight, true, false);
    }

    private static Seen stalled(int inFlight) {
        return new Seen(inFlight, true, true);
    }

    private static Seen full() {
        return new Seen(64, false, false);
    }

    @Test
    void theFirstCallDials() {
        assertEquals(DIAL, choice.choose(List.of()));
    }

    @Test
    void theOneWithTheFewestCalls() {
        assertEquals(1, choice.choose(List.of(sound(3), sound(2))));
        assertEquals(0, choice.choose(List.of(sound(2), sound(2))));
        assertEquals(0, choice.choose(List.of(sound(15))));
    }

    @Test
    void aCrowdedOneGetsCompanyUpToTheLimit() {
        assertEquals(DIAL, choice.choose(List.of(sound(16))));
        assertEquals(0, choice.choose(List.of(sound(16), sound(17))));
    }

    @Test
    void oneThatStallsOrIsFullGetsNothing() {
        assertEquals(DIAL, choice.choose(List.of(stalled(1))));
        assertEquals(1, choice.choose(List.of(stalled(1), sound(40))));
        assertEquals(DIAL, choice.choose(List.of(full())));
        assertEquals(NONE, choice.choose(List.of(full(), stalled(0))));
    }

    @Test
    void silenceIsMeasuredFromTheCallOrFromWhatCameSince() {
        long second = 1000 * MS;
        assertFalse(choice.stalls(Long.MAX_VALUE, 0, 100 * second), "nothing is awaited");
        assertFalse(choice.stalls(10 * second, 0, 11 * second), "before any answer, a second is allowed");
        assertTrue(choice.stalls(10 * second, 0, 11 * second + 1));
        assertFalse(choice.stalls(10 * second, 19 * second, 20 * second), "something came meanwhile");
    }

    @Test
    void theLongestSilenceFollowsWhatCallsTake() {
        choice.answered(20 * MS);
        assertEquals(250 * MS, choice.longestSilence());
        for (int i = 0; i < 100; i++) {
            choice.answered(500 * MS);
        }
        assertEquals(2000 * MS, choice.longestSilence(), MS);
    }
}
