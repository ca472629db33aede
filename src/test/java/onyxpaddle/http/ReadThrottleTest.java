package onyxpaddle.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import onyxpaddle.socket.Reading;
import org.junit.jupiter.api.Test;

/** Reading after small reads is delayed, and stays off while paused, whether the delay or the pause ends first. */
class ReadThrottleTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ReadThrottle throttle = new ReadThrottle(new Reading(channel.config()), channel.eventLoop());

    private void reads(int count, int bytes) {
        for (int i = 0; i < count; i++) {
            throttle.read(bytes);
            throttle.readComplete(true);
        }
    }

    private void passDelay() {
        channel.advanceTimeBy(ReadThrottle.DELAY_MS, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    private boolean autoRead() {
        return channel.config().isAutoRead();
    }

    @Test
    void readsAreDelayedAfterSeveralSmallOnes() {
        channel.freezeTime();
        reads(ReadThrottle.SMALL_READS_LIMIT - 1, 50);
        assertTrue(autoRead());
        reads(1, 50);
        assertFalse(autoRead());
        passDelay();
        assertTrue(autoRead());
        reads(1, 50);
        assertFalse(autoRead(), "the next small read is delayed again");
    }

    @Test
    void largeReadsAndCompleteAnswersAreNotDelayed() {
        reads(20, 16 * 1024);
        assertTrue(autoRead());
        reads(ReadThrottle.SMALL_READS_LIMIT - 1, 50);
        throttle.readComplete(false);
        reads(1, 50);
        assertTrue(autoRead(), "the end of an answer resets the count");
    }

    @Test
    void pauseOutlastsTheDelayAndResumeEndsBoth() {
        channel.freezeTime();
        reads(ReadThrottle.SMALL_READS_LIMIT, 50);
        throttle.pause();
        passDelay();
        assertFalse(autoRead(), "still paused");
        throttle.resume();
        assertTrue(autoRead());
    }
}
