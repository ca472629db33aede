package onyxpaddle.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/**
 * A body that is buffered completely. It is copied out of the read buffers into chunks of its own: a peer that sends
 * single bytes would otherwise pin a read buffer for each of them, which the budget would not account for.
 */
public final class Body {
    /** The platform's limit for bodies of requests and of answers. */
    public static final int DEFAULT_MAX_BYTES = 64 * 1024;
    private static final int MAX_CHUNK = 64 * 1024;
    private static final int SMALL_BODY = 64 * 1024;
    /** The part of a pool's bytes that is open to bodies beyond {@link #SMALL_BODY}, so that a few long uploads don't block the rest. */
    private static final double LARGE_BODY_PART = 0.75;

    private final SharedLimit.Share budget;
    private final long maxBytes;
    private final List<byte[]> chunks = new ArrayList<>(1);
    private int firstChunkSize;
    private int lastLength;
    private long size;
    private long reserved;

    /** {@code expected}: the length that the peer announces, or -1; {@code maxBytes}: the size limit. */
    public Body(SharedLimit.Share budget, long expected, long maxBytes) {
        this.budget = budget;
        this.maxBytes = maxBytes;
        this.firstChunkSize = (int) Math.min(Math.min(MAX_CHUNK, maxBytes), expected < 0 ? 1024 : Math.max(1, expected));
    }

    /** Appends the buffer's bytes; false if that exceeds the size limit or the budget, after as many bytes as there was room for. */
    public boolean add(ByteBuf more) {
        if (size + more.readableBytes() > maxBytes) {
            return false;
        }
        while (more.isReadable()) {
            if (isFull()) {
                int next = nextChunkSize();
                if (!budget.take(next, reserved + next <= SMALL_BODY ? 1 : LARGE_BODY_PART)) {
                    return false;
                }
                append(next);
            }
            fillLast(more);
        }
        return true;
    }

    /** Appends the buffer's bytes, which have been read already, whatever the limits; they are counted all the same. */
    void forceAdd(ByteBuf more) {
        while (more.isReadable()) {
            if (isFull()) {
                int next = nextChunkSize();
                budget.forceTake(next);
                append(next);
            }
            fillLast(more);
        }
    }

    private boolean isFull() {
        return chunks.isEmpty() || lastLength == last().length;
    }

    private int nextChunkSize() {
        return chunks.isEmpty() ? firstChunkSize : Math.max(MAX_CHUNK / 8, (int) Math.min(MAX_CHUNK, size));
    }

    private void append(int chunkSize) {
        reserved += chunkSize;
        chunks.add(new byte[chunkSize]);
        lastLength = 0;
    }

    private void fillLast(ByteBuf from) {
        int count = Math.min(from.readableBytes(), last().length - lastLength);
        from.readBytes(last(), lastLength, count);
        lastLength += count;
        size += count;
    }

    private byte[] last() {
        return chunks.get(chunks.size() - 1);
    }

    public long size() {
        return size;
    }

    /** The complete body as one buffer, without copying. */
    public ByteBuf whole() {
        ByteBuf[] all = new ByteBuf[chunks.size()];
        for (int i = 0; i < all.length; i++) {
            byte[] chunk = chunks.get(i);
            all[i] = Unpooled.wrappedBuffer(chunk, 0, i == all.length - 1 ? lastLength : chunk.length);
        }
        return Unpooled.wrappedBuffer(all.length, all);
    }

    /** Returns the bytes to the budget; the body must not be used afterwards. */
    public void release() {
        budget.giveBack(reserved);
        reserved = 0;
        chunks.clear();
        size = 0;
    }
}
