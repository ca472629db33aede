package onyxpaddle.socket;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Connections whose input is costly take turns; those of others are not delayed by their number. */
class ReadPacerTest {
    private static final int CONNECTIONS = 3 * ReadPacer.READS_PER_TURN;

    private final EmbeddedChannel loop = new EmbeddedChannel();
    private final ReadPacer pacer = new ReadPacer(loop.eventLoop());
    private final List<EmbeddedChannel> channels = new ArrayList<>();

    private long read() {
        return channels.stream().filter(channel -> channel.config().isAutoRead()).count();
    }

    /** Guards against a turn of the event loop that decodes the input of all costly connections. */
    @Test
    void eachTurnOfTheLoopReadsABoundedNumberOfCostlyConnections() {
        loop.freezeTime();
        for (int i = 0; i < CONNECTIONS; i++) {
            EmbeddedChannel channel = new EmbeddedChannel();
            channels.add(channel);
            pacer.await(new Reading(channel.config()));
        }
        assertEquals(0, read());
        for (int turn = 1; turn <= CONNECTIONS / ReadPacer.READS_PER_TURN; turn++) {
            loop.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            loop.runScheduledPendingTasks();
            assertEquals((long) turn * ReadPacer.READS_PER_TURN, read());
        }
    }

    @Test
    void turnDoesNotReadAConnectionThatIsPausedForAnotherReason() {
        loop.freezeTime();
        EmbeddedChannel channel = new EmbeddedChannel();
        Reading reading = new Reading(channel.config());
        pacer.await(reading);
        reading.pause(ReadPause.BACK_PRESSURE);
        loop.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        loop.runScheduledPendingTasks();
        assertFalse(channel.config().isAutoRead());
        reading.resume(ReadPause.BACK_PRESSURE);
        assertTrue(channel.config().isAutoRead());
    }
}
