package onyxpaddle.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class PublisherFenceTest {
    @Test
    void aPublisherIsFencedByAHigherEpochForGood() {
        PublisherFence fence = new PublisherFence(2, 1);
        assertFalse(fence.hear(2));
        assertFalse(fence.fenced());
        assertTrue(fence.hear(3));
        assertFalse(fence.hear(3));
        assertFalse(fence.hear(2));
        assertTrue(fence.fenced());
        assertEquals(3, fence.highest());
    }

    @Test
    void whatWasSeenBeforeTheStartFencesToo() {
        assertTrue(new PublisherFence(2, 3).fenced());
    }

    @Test
    void aReplicaIsNeverFenced() {
        PublisherFence fence = new PublisherFence(0, 3);
        assertTrue(fence.hear(4));
        assertFalse(fence.fenced());
    }
}
