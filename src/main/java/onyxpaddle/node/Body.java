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
    static final int PIECE = 64 * 1024;

    private final Budget budget;
    private final List<byte[]> pieces = new ArrayList<>(1);
    private int firstPiece;
    private int inLast;
    private long size;
    private long taken;

    /** {@code expected}: the length that the peer states, or -1. */
    Body(Budget budget, long expected) {
        this.budget = budget;
        this.firstPiece = (int) Math.min(PIECE, expected < 0 ? 1024 : Math.max(1, expected));
    }

    /** Adds what the buffer holds; false if the budget has no room for it. */
    boolean add(ByteBuf more) {
        while (more.isReadable()) {
            if (pieces.isEmpty() || inLast == last().length) {
                int next = pieces.isEmpty() ? firstPiece : Math.max(PIECE / 8, (int) Math.min(PIECE, size));
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

    int pieces() {
        return pieces.size();
    }

    ByteBuf piece(int index) {
        byte[] piece = pieces.get(index);
        return Unpooled.wrappedBuffer(piece, 0, index == pieces.size() - 1 ? inLast : piece.length);
    }

    /** All of it as one buffer, for bodies that are written at once. */
    ByteBuf whole() {
        ByteBuf[] all = new ByteBuf[pieces.size()];
        for (int i = 0; i < all.length; i++) {
            all[i] = piece(i);
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
