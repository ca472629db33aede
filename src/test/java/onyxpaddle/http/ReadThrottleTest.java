package onyxpaddle.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Small pieces are left to gather, and what has no room is not read, whichever of the two ends first. */
class ReadThrottleTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ReadThrottle pace = new ReadThrottle(channel);

    private void pieces(int count, int bytes) {
        for (int i = 0; i < count; i++) {
            pace.read(bytes);
            pace.readComplete(true);
        }
    }

    private void moment() {
        channel.advanceTimeBy(ReadThrottle.GATHER_MS, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    private boolean reads() {
        return channel.config().isAutoRead();
    }

    @Test
    void afterAFewPiecesTheNextAreLeftToGather() {
        channel.freezeTime();
        pieces(ReadThrottle.MANY_PIECES - 1, 50);
        assertTrue(reads());
        pieces(1, 50);
        assertFalse(reads());
        moment();
        assertTrue(reads());
        pieces(1, 50);
        assertFalse(reads(), "and the next again");
    }

    @Test
    void largeReadsAndEndsAreNotWaitedFor() {
        pieces(20, 16 * 1024);
        assertTrue(reads());
        pieces(ReadThrottle.MANY_PIECES - 1, 50);
        pace.readComplete(false);
        pieces(1, 50);
        assertTrue(reads(), "an answer that ended begins the count anew");
    }

    @Test
    void pauseOutlastsTheMomentAndResumeEndsBoth() {
        channel.freezeTime();
        pieces(ReadThrottle.MANY_PIECES, 50);
        pace.pause();
        moment();
        assertFalse(reads(), "there is no room yet");
        pace.resume();
        assertTrue(reads());
    }
}
