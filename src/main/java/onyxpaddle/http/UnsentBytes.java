package onyxpaddle.http;

import io.netty.channel.ChannelFuture;
import onyxpaddle.node.SharedLimit;

/**
 * Bytes handed to a connection that the system has not taken yet, counted in the memory of their pool: a peer that does not read keeps
 * them in the heap.
 */
final class UnsentBytes {
    /** The part of a pool's memory up to which streams fill it, so that bodies of other requests find room. */
    private static final double STREAMS_PART = 0.75;
    /** Heap bytes of a write beside its content: of a chunk with its framing, and what waits for its end. */
    private static final int BYTES_PER_WRITE = 1_152;

    private final SharedLimit.Share memory;
    private long held;

    UnsentBytes(SharedLimit.Share memory) {
        this.memory = memory;
    }

    /** Counts bytes until this write is done. */
    void add(ChannelFuture write, long bytes) {
        if (bytes == 0 || write.isDone()) {
            return;
        }
        long cost = bytes + BYTES_PER_WRITE;
        held += cost;
        memory.forceTake(cost);
        write.addListener(done -> {
            held -= cost;
            memory.giveBack(cost);
        });
    }

    /** Whether a stream may read more: where memory is short, only once all before has been taken by the system. */
    boolean hasRoom() {
        return held == 0 || memory.room(STREAMS_PART) > 0;
    }
}
