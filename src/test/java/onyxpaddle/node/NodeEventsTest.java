package onyxpaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class NodeEventsTest {
    private static final long SECOND = 1_000_000_000L;
    private final NodeEvents events = new NodeEvents();

    @Test
    void eventsAreCountedByReason() {
        events.count(NodeEvent.RETRY_AFTER_RESET, "r1");
        events.count(NodeEvent.RETRY_AFTER_RESET);
        assertEquals(2, events.total(NodeEvent.RETRY_AFTER_RESET));
        assertEquals(0, events.total(NodeEvent.HEDGE));
    }

    @Test
    void longestDelayIsKeptForAMinuteAtMost() {
        events.record(NodeDelay.TURN, 5, 100 * SECOND);
        events.record(NodeDelay.TURN, 3, 101 * SECOND);
        assertEquals(5, events.longest(NodeDelay.TURN, 110 * SECOND));
        assertEquals(5, events.longest(NodeDelay.TURN, 131 * SECOND));
        assertEquals(0, events.longest(NodeDelay.TURN, 195 * SECOND));
    }

    @Test
    void onlyLongDelaysAreCounted() {
        events.record(NodeDelay.ACCEPT, NodeEvents.LONG_DELAY - 1, SECOND);
        events.record(NodeDelay.ACCEPT, NodeEvents.LONG_DELAY, SECOND);
        assertEquals(1, events.longDelays(NodeDelay.ACCEPT));
        assertEquals(0, events.longDelays(NodeDelay.READ));
    }
}
