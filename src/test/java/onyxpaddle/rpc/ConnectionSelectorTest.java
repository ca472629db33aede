package onyxpaddle.rpc;

import static onyxpaddle.rpc.ConnectionSelector.DIAL;
import static onyxpaddle.rpc.ConnectionSelector.NONE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import onyxpaddle.rpc.ConnectionSelector.ConnectionState;
import org.junit.jupiter.api.Test;

/** Selection of the connection for the next call, and detection of stalled connections. */
class ConnectionSelectorTest {
    private static final long MS = 1_000_000L;
    private final ConnectionSelector selector = new ConnectionSelector(2);

    private static ConnectionState healthy(int inFlight) {
        return new ConnectionState(inFlight, true, false);
    }

    private static ConnectionState stalled(int inFlight) {
        return new ConnectionState(inFlight, true, true);
    }

    private static ConnectionState full() {
        return new ConnectionState(64, false, false);
    }

    @Test
    void firstCallDials() {
        assertEquals(DIAL, selector.select(List.of()));
    }

    @Test
    void selectsTheConnectionWithFewestCalls() {
        assertEquals(1, selector.select(List.of(healthy(3), healthy(2))));
        assertEquals(0, selector.select(List.of(healthy(2), healthy(2))));
        assertEquals(0, selector.select(List.of(healthy(15))));
    }

    @Test
    void dialsAnotherConnectionUpToTheLimitWhenBusy() {
        assertEquals(DIAL, selector.select(List.of(healthy(16))));
        assertEquals(0, selector.select(List.of(healthy(16), healthy(17))));
    }

    @Test
    void stalledAndFullConnectionsAreNotSelected() {
        assertEquals(DIAL, selector.select(List.of(stalled(1))));
        assertEquals(1, selector.select(List.of(stalled(1), healthy(40))));
        assertEquals(DIAL, selector.select(List.of(full())));
        assertEquals(NONE, selector.select(List.of(full(), stalled(0))));
    }

    @Test
    void stallIsMeasuredFromTheCallOrTheLastRead() {
        long second = 1000 * MS;
        assertFalse(selector.isStalled(Long.MAX_VALUE, 0, 100 * second), "no call is waiting");
        assertFalse(selector.isStalled(10 * second, 0, 11 * second), "the timeout is one second before the first reply");
        assertTrue(selector.isStalled(10 * second, 0, 11 * second + 1));
        assertFalse(selector.isStalled(10 * second, 19 * second, 20 * second), "bytes arrived meanwhile");
    }

    @Test
    void stallTimeoutFollowsResponseTimes() {
        selector.recordResponseTime(20 * MS);
        assertEquals(250 * MS, selector.stallTimeout());
        for (int i = 0; i < 100; i++) {
            selector.recordResponseTime(500 * MS);
        }
        assertEquals(2000 * MS, selector.stallTimeout(), MS);
    }
}
