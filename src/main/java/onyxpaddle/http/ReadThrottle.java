package onyxpaddle.http;

import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;

/**
 * When a server's connection is read: not while whoever takes its answer has no room, and only every few milliseconds while
 * the answer comes in small pieces. Guards the loop against a server that writes an answer in small pieces, each of which
 * would cost a wakeup, a read and a write; it should cover any stream of small writes. It does harm where each piece of a
 * stream matters to its reader within milliseconds.
 */
final class ReadThrottle {
    /** Reads of fewer bytes are pieces. */
    private static final int PIECE = 2 * 1024;
    /** So many of them in a row leave the next to gather. */
    static final int MANY_PIECES = 4;
    static final long GATHER_MS = 4;

    private final Channel channel;
    private boolean paused;
    private int readNow;
    private int pieces;

    ReadThrottle(Channel channel) {
        this.channel = channel;
    }

    /** Another answer is waited for. */
    void startAnew() {
        pieces = 0;
        readNow = 0;
    }

    /** So many bytes of an answer's body came. */
    void read(int bytes) {
        readNow += bytes;
    }

    /** All that has come is read; {@code more}: the answer goes on. */
    void readComplete(boolean more) {
        pieces = more && readNow < PIECE ? pieces + 1 : 0;
        readNow = 0;
        if (pieces >= MANY_PIECES && !paused) {
            channel.config().setAutoRead(false);
            channel.eventLoop().schedule(() -> {
                if (!paused) {
                    channel.config().setAutoRead(true);
                }
            }, GATHER_MS, TimeUnit.MILLISECONDS);
        }
    }

    boolean paused() {
        return paused;
    }

    void pause() {
        paused = true;
        channel.config().setAutoRead(false);
    }

    void resume() {
        paused = false;
        channel.config().setAutoRead(true);
    }
}
