package onyxpaddle.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class PublisherFenceTest {
    @Test
    void publisherIsFencedPermanentlyByAHigherEpoch() {
        PublisherFence fence = new PublisherFence(2, 1);
        assertFalse(fence.observe(2));
        assertFalse(fence.fenced());
        assertTrue(fence.observe(3));
        assertFalse(fence.observe(3));
        assertFalse(fence.observe(2));
        assertTrue(fence.fenced());
        assertEquals(3, fence.highestEpoch());
    }

    @Test
    void epochStoredBeforeTheStartFences() {
        assertTrue(new PublisherFence(2, 3).fenced());
    }

    @Test
    void replicaIsNeverFenced() {
        PublisherFence fence = new PublisherFence(0, 3);
        assertTrue(fence.observe(4));
        assertFalse(fence.fenced());
    }
}
