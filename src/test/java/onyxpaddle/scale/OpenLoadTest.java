package onyxpaddle.scale;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Arrivals that don't wait for answers, on a clock that is handed in. */
class OpenLoadTest {
    private static final long MS = 1_000_000;
    private static final long SECOND = 1_000 * MS;

    @Test
    void arrivalsHaveTheRateAndDependOnTheSeedAlone() {
        long[] due = OpenLoadSchedule.poisson(1_000, 20 * SECOND, 7);
        assertEquals(20_000, due.length, 500, "20 s at 1,000 a second, three and a half standard deviations of a Poisson count");
        assertArrayEquals(due, OpenLoadSchedule.poisson(1_000, 20 * SECOND, 7));
        assertTrue(due[due.length - 1] < 20 * SECOND);
        for (int i = 1; i < due.length; i++) {
            assertTrue(due[i] >= due[i - 1], "ascending");
        }
        long shortGaps = 0;
        for (int i = 1; i < due.length; i++) {
            shortGaps += due[i] - due[i - 1] < MS ? 1 : 0;
        }
        assertEquals(1 - Math.exp(-1), (double) shortGaps / due.length, 0.02, "intervals are exponential, not even");
    }

    @Test
    void aStallOfTheServerShowsInAllCallsThatWereDueMeanwhile() throws IOException {
        VirtualServer server = new VirtualServer(MS / 10);
        server.stall(200 * MS, 300 * MS);
        long[] due = everyMillisecond(1_000);
        OpenLoadResult result = new OpenLoad(server::connect, 16, server::now).run(due);

        assertEquals(1_000, result.latencies().getTotalCount());
        assertEquals(0, result.unanswered() + result.failed());
        long slow = result.latencies().getCountBetweenValues(10 * MS, SECOND);
        assertEquals(90, slow, 3, "a hundred were due in the stall of 100 ms; those due in its last 10 ms wait less than 10 ms");
        assertTrue(result.latencies().getMaxValue() >= 99 * MS, "the first of them waits for the whole stall");
    }

    @Test
    void callsThatWaitForAFreeConnectionCountFromWhenTheyWereDue() throws IOException {
        VirtualServer server = new VirtualServer(5 * MS);
        long[] due = {0, 0, 0, 0};
        OpenLoadResult result = new OpenLoad(server::connect, 1, server::now).run(due);
        assertEquals(20, result.latencyMs(100), 1, "the fourth waits for three others of 5 ms");
        assertEquals(15, result.sendDelayMs(100), 1);
    }

    @Test
    void callsWithoutAnAnswerCountWithWhatTheyWaited() throws IOException {
        VirtualServer server = new VirtualServer(MS);
        server.stall(0, 3_600 * SECOND);
        OpenLoadResult result = new OpenLoad(server::connect, 2, server::now).run(everyMillisecond(5));
        assertEquals(5, result.unanswered());
        assertEquals(5, result.latencies().getTotalCount());
        assertTrue(result.latencies().getMinValue() >= OpenLoad.PATIENCE_NANOS * 0.99);
    }

    @Test
    void aConnectionThatBreaksIsAFailureWithItsReasonAndIsOpenedAnew() throws IOException {
        VirtualServer server = new VirtualServer(MS / 10);
        OpenLoad load = new OpenLoad(server::connect, 4, server::now);
        server.breakNext(2);
        OpenLoadResult broken = load.run(everyMillisecond(10));
        assertEquals(2, broken.failed());
        assertEquals("broken", broken.firstFailure());
        assertEquals(8, broken.latencies().getTotalCount());
        assertEquals(0, load.run(everyMillisecond(10)).failed());
        assertEquals(6, server.connected(), "four, and two in place of those that broke");
    }

    @Test
    void connectionsThatTheServerClosedBetweenLoadsAreOpenedAnewFirst() throws IOException {
        VirtualServer server = new VirtualServer(MS / 10);
        OpenLoad load = new OpenLoad(server::connect, 4, server::now);
        load.run(everyMillisecond(10));
        server.closeAll();
        assertEquals(0, load.run(everyMillisecond(10)).failed());
        assertEquals(8, server.connected());
    }

    private static long[] everyMillisecond(int count) {
        long[] due = new long[count];
        Arrays.setAll(due, i -> i * MS);
        return due;
    }
}
