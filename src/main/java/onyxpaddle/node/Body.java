package onyxpaddle.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/**
 * A body held whole. It is copied out of the read buffers into pieces of its own: a peer that sends single bytes
 * would otherwise pin a read buffer for each of them, and the budget would not know.
 */
final class Body {
    /** The protocol's limit, for requests and for answers. */
    static final int LARGEST = 64 * 1024;

    private final Budget budget;
    private final List<byte[]> pieces = new ArrayList<>(1);
    private int firstPiece;
    private int inLast;
    private long size;
    private long taken;

    /** {@code expected}: the length that the peer states, or -1. */
    Body(Budget budget, long expected) {
        this.budget = budget;
        this.firstPiece = (int) Math.min(LARGEST, expected < 0 ? 1024 : Math.max(1, expected));
    }

    /** Adds what the buffer holds; false if that is more than a body may hold or than the budget has room for. */
    boolean add(ByteBuf more) {
        if (size + more.readableBytes() > LARGEST) {
            return false;
        }
        while (more.isReadable()) {
            if (pieces.isEmpty() || inLast == last().length) {
                int next = pieces.isEmpty() ? firstPiece : Math.max(LARGEST / 8, (int) Math.min(LARGEST, size));
                if (!budget.take(next, taken)) {
                    return false;
                }
                taken += next;
                pieces.add(new byte[next]);
                inLast = 0;
            }
            int count = Math.min(more.readableBytes(), last().length - inLast);
            more.readBytes(last(), inLast, count);
            inLast += count;
            size += count;
        }
        return true;
    }

    private byte[] last() {
        return pieces.get(pieces.size() - 1);
    }

    long size() {
        return size;
    }

    /** All of it as one buffer. */
    ByteBuf whole() {
        ByteBuf[] all = new ByteBuf[pieces.size()];
        for (int i = 0; i < all.length; i++) {
            byte[] piece = pieces.get(i);
            all[i] = Unpooled.wrappedBuffer(piece, 0, i == all.length - 1 ? inLast : piece.length);
        }
        return Unpooled.wrappedBuffer(all.length, all);
    }

    /** Gives the bytes back to the budget; the body is not used after. */
    void release() {
        budget.giveBack(taken);
        taken = 0;
        pieces.clear();
        size = 0;
    }
}
