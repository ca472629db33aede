package onyxpaddle.rpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import onyxpaddle.node.SharedLimit;

/**
 * Input of one caller that is not decoded yet, in the order of arrival. What waits is counted by the heap that it takes, against a limit
 * of the connection and one that connections share. It takes what was read in any case: its owner decodes some of it, or reads no
 * further, once it {@link #overflows}.
 */
final class PendingInput {
    /** Heap bytes that may wait on one connection. */
    static final long MAX_BYTES = 1 << 20;
    /** Heap bytes of a read beside the capacity of its buffer. */
    static final int BYTES_PER_READ = 192;

    private final SharedLimit.Share memory;
    private final ArrayDeque<Read> reads = new ArrayDeque<>();
    private long heldBytes;

    /** Bytes of one read; {@code arrivedAt}: a time before which they did not arrive. */
    private record Read(ByteBuf bytes, long arrivedAt, long heldBytes) {
    }

    /** {@code memory}: the share from which it takes the bytes that it holds. */
    PendingInput(SharedLimit.Share memory) {
        this.memory = memory;
    }

    boolean isEmpty() {
        return reads.isEmpty();
    }

    /** Whether more waits than may. */
    boolean overflows() {
        return heldBytes > MAX_BYTES || heldBytes > 0 && memory.room() < 0;
    }

    /** Adds what was read, and takes its ownership. */
    void add(ByteBuf bytes, long arrivedAt) {
        hold(bytes, arrivedAt);
    }

    /** The bytes to decode next, whose reader index the decoder advances; there must be some. */
    ByteBuf next() {
        return reads.peek().bytes();
    }

    /** A time before which {@link #next} did not arrive. */
    long arrivedAt() {
        return reads.peek().arrivedAt();
    }

    /** Drops {@link #next} if all of it has been decoded. */
    void dropDecoded() {
        if (!next().isReadable()) {
            release(reads.poll());
        }
    }

    /** Called when no more is decoded for now: what was read last is kept in a buffer of its own size, not in that of the read. */
    void compact() {
        Read last = reads.peekLast();
        if (last == null || last.bytes().capacity() == last.bytes().readableBytes()) {
            return;
        }
        reads.pollLast();
        int count = last.bytes().readableBytes();
        ByteBuf copy = Unpooled.buffer(count, count).writeBytes(last.bytes());
        release(last);
        hold(copy, last.arrivedAt());
    }

    void clear() {
        for (Read read = reads.poll(); read != null; read = reads.poll()) {
            release(read);
        }
    }

    private void hold(ByteBuf bytes, long arrivedAt) {
        Read read = new Read(bytes, arrivedAt, BYTES_PER_READ + bytes.capacity());
        heldBytes += read.heldBytes();
        memory.forceTake(read.heldBytes());
        reads.add(read);
    }

    private void release(Read read) {
        heldBytes -= read.heldBytes();
        memory.giveBack(read.heldBytes());
        read.bytes().release();
    }
}
