package onyxpaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Nothing that is read can have arrived before the bound, and the bound is as late as the observations allow. */
class ArrivalBoundTest {
    private final ArrivalBound arrival = new ArrivalBound(10);

    @Test
    void createdWithTheTimeBeforeWhichNothingArrived() {
        assertEquals(10, arrival.get(Long.MIN_VALUE));
    }

    @Test
    void readThatEmptiesTheSourceRaisesIt() {
        arrival.read(50, true, 45);
        assertEquals(50, arrival.get(45));
    }

    @Test
    void readThatLeavesSomethingBehindDoesNot() {
        arrival.read(50, false, 45);
        assertEquals(10, arrival.get(45));
    }

    @Test
    void pollThatDidNotReportTheSourceRaisesIt() {
        arrival.watched(20);
        arrival.read(50, false, 45);
        assertEquals(10, arrival.get(45), "the poll of that turn may have reported what is left");
        assertEquals(60, arrival.get(60));
    }

    @Test
    void pollsThatDoNotWatchTheSourceDoNot() {
        assertEquals(10, arrival.get(60));
        arrival.watched(70);
        assertEquals(10, arrival.get(65));
        assertEquals(75, arrival.get(75));
    }
}
