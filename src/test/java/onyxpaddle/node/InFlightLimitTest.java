package onyxpaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class InFlightLimitTest {
    @Test
    void lastTenthIsReservedForTheHighestWorth() {
        InFlightLimit limit = new InFlightLimit(20, 9);
        assertTrue(limit.admits(17, 1));
        assertFalse(limit.admits(18, 1));
        assertTrue(limit.admits(19, 9));
        assertFalse(limit.admits(20, 9));
    }

    @Test
    void limitOfOneAdmitsOneRequestOfAnyClass() {
        assertTrue(new InFlightLimit(1, 9).admits(0, 1));
        assertFalse(new InFlightLimit(1, 9).admits(1, 9));
    }

    @Test
    void retryAfterIsTheMovingAverageOfTheLatency() {
        InFlightLimit limit = new InFlightLimit(1, 1);
        assertEquals(10_000_000L, limit.retryAfter());
        limit.answered(100_000_000L);
        assertEquals(100_000_000L, limit.retryAfter());
        limit.answered(200_000_000L);
        assertEquals(110_000_000L, limit.retryAfter());
    }
}
