package onyxpaddle.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class StallDetectorTest {
    private static final long MS = 1_000_000L;

    @Test
    void whatIsBeyondThePlanAndTheUsualIsTimeNotListened() {
        StallDetector attention = new StallDetector(100 * MS);
        assertEquals(0, attention.looks(7_000 * MS), "there was no plan before the first look");
        assertEquals(0, attention.looks(7_100 * MS));
        assertEquals(0, attention.looks(7_250 * MS), "late by what is usual");
        assertEquals(51 * MS, attention.looks(7_401 * MS));
        assertEquals(5_000 * MS, attention.looks(12_501 * MS));
        assertEquals(0, attention.looks(12_601 * MS), "counted once");
        assertEquals(0, attention.looks(12_610 * MS), "sooner than planned, as at the end of a node");
    }
}
