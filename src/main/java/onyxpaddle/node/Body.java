package onyxpaddle.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/**
 * A body held whole. It is copied out of the read buffers into pieces of its own: a peer that sends single bytes
 * would otherwise pin a read buffer for each of them, and the budget would not know.
 */
public final class Body {
    /** The platform's limit, for requests and for answers. */
    public static final int DEFAULT_MAX_BYTES = 64 * 1024;
    private static final int LARGEST_PIECE = 64 * 1024;
    private static final int SMALL = 64 * 1024;
    /** The part of a pool's bytes open to larger bodies, so that a few long uploads don't stop the rest. */
    private static final double OPEN_TO_LARGE = 0.75;

    private final SharedLimit.Share budget;
    private final long largest;
    private final List<byte[]> pieces = new ArrayList<>(1);
    private int firstPiece;
    private int inLast;
    private long size;
    private long taken;

    /** {@code expected}: the length that the peer states, or -1; {@code largest}: the most it may hold, in bytes. */
    public Body(SharedLimit.Share budget, long expected, long largest) {
        this.budget = budget;
        this.largest = largest;
        this.firstPiece = (int) Math.min(Math.min(LARGEST_PIECE, largest), expected < 0 ? 1024 : Math.max(1, expected));
    }

    /** Adds what the buffer holds; false if that is more than a body may hold or than the budget has room for. */
    public boolean add(ByteBuf more) {
        if (size + more.readableBytes() > largest) {
            return false;
        }
        while (more.isReadable()) {
            if (pieces.isEmpty() || inLast == last().length) {
                int next = pieces.isEmpty() ? firstPiece : Math.max(LARGEST_PIECE / 8, (int) Math.min(LARGEST_PIECE, size));
                if (!budget.take(next, taken + next <= SMALL ? 1 : OPEN_TO_LARGE)) {
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

    public long size() {
        return size;
    }

    /** All of it as one buffer. */
    public ByteBuf whole() {
        ByteBuf[] all = new ByteBuf[pieces.size()];
        for (int i = 0; i < all.length; i++) {
            byte[] piece = pieces.get(i);
            all[i] = Unpooled.wrappedBuffer(piece, 0, i == all.length - 1 ? inLast : piece.length);
        }
        return Unpooled.wrappedBuffer(all.length, all);
    }

    /** Gives the bytes back to the budget; the body is not used after. */
    public void release() {
        budget.giveBack(taken);
        taken = 0;
        pieces.clear();
        size = 0;
    }
}
