package onyxpaddle.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class StallDetectorTest {
    private static final long MS = 1_000_000L;

    @Test
    void delayBeyondTheToleranceIsAStall() {
        StallDetector detector = new StallDetector(100 * MS);
        assertEquals(0, detector.check(7_000 * MS), "nothing was planned before the first check");
        assertEquals(0, detector.check(7_100 * MS));
        assertEquals(0, detector.check(7_250 * MS), "late within the tolerance");
        assertEquals(51 * MS, detector.check(7_401 * MS));
        assertEquals(5_000 * MS, detector.check(12_501 * MS));
        assertEquals(0, detector.check(12_601 * MS), "a stall is reported once");
        assertEquals(0, detector.check(12_610 * MS), "earlier than planned, as during shutdown");
    }
}
