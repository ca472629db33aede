package onyxpaddle.http;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import onyxpaddle.socket.ReadPause;
import onyxpaddle.socket.Reading;

/**
 * Controls reading from a server's connection: pauses while the receiver of the answer has no room, and delays reads by a few
 * milliseconds while an answer arrives in small pieces, so that they coalesce. Otherwise a server that writes in small pieces
 * would cost the event loop a wakeup, a read and a write for each. The delay is harmful only if the reader of a stream depends on
 * receiving each piece within milliseconds.
 */
final class ReadThrottle {
    /** A read of fewer bytes counts as small. */
    private static final int SMALL_READ_BYTES = 2 * 1024;
    /** After this many consecutive small reads the next read is delayed. */
    static final int SMALL_READS_LIMIT = 4;
    static final long DELAY_MS = 4;

    private final Reading reading;
    private final ScheduledExecutorService loop;
    private boolean paused;
    private int bytesThisTurn;
    private int smallReads;

    ReadThrottle(Reading reading, ScheduledExecutorService loop) {
        this.reading = reading;
        this.loop = loop;
    }

    /** Called before each request. */
    void reset() {
        smallReads = 0;
        bytesThisTurn = 0;
    }

    /** Counts bytes of an answer's body. */
    void read(int bytes) {
        bytesThisTurn += bytes;
    }

    /** Called when no more input is available for now; {@code more}: the answer is not complete. */
    void readComplete(boolean more) {
        smallReads = more && bytesThisTurn < SMALL_READ_BYTES ? smallReads + 1 : 0;
        bytesThisTurn = 0;
        if (smallReads >= SMALL_READS_LIMIT && !paused) {
            reading.pause(ReadPause.SMALL_READS);
            loop.schedule(() -> reading.resume(ReadPause.SMALL_READS), DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    boolean paused() {
        return paused;
    }

    void pause() {
        paused = true;
        reading.pause(ReadPause.BACK_PRESSURE);
    }

    void resume() {
        paused = false;
        reading.resume(ReadPause.BACK_PRESSURE);
    }
}
