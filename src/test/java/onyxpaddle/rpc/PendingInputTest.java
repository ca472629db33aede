package onyxpaddle.rpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Random;
import onyxpaddle.node.SharedLimit;
import org.junit.jupiter.api.Test;

class PendingInputTest {
    private static final int READ_BYTES = 16 * 1024;
    private static final long MEGABYTE = 1 << 20;

    private final SharedLimit limit = new SharedLimit(8 * MEGABYTE);
    private final SharedLimit.Share share = limit.join();
    private final PendingInput pending = new PendingInput(share);

    /** A read of so many bytes, in a buffer of a whole read's size. */
    private static ByteBuf read(int bytes) {
        return Unpooled.buffer(READ_BYTES, READ_BYTES).writeBytes(new byte[bytes]);
    }

    @Test
    void inputIsDecodedInItsOrderWithTheArrivalOfEachRead() {
        pending.add(Unpooled.wrappedBuffer(new byte[] {1, 2}), 10);
        pending.add(Unpooled.wrappedBuffer(new byte[] {3}), 20);
        for (int expected = 1; expected <= 3; expected++) {
            assertEquals(expected < 3 ? 10 : 20, pending.arrivedAt());
            assertEquals(expected, pending.next().readByte());
            pending.dropDecoded();
        }
        assertTrue(pending.isEmpty());
    }

    /** Guards against small reads that are counted by their bytes and keep whole buffers. */
    @Test
    void smallReadsKeepBuffersOfTheirOwnSize() {
        int reads = 500;
        for (int i = 0; i < reads; i++) {
            pending.add(read(1), i);
            pending.compact();
            assertEquals(1, pending.next().capacity());
        }
        assertEquals(reads * (PendingInput.BYTES_PER_READ + 1L), share.held());
        assertFalse(pending.overflows());
    }

    @Test
    void restOfAReadThatIsPartlyDecodedIsKept() {
        pending.add(Unpooled.buffer(READ_BYTES, READ_BYTES).writeBytes(new byte[] {1, 2, 3}), 7);
        pending.next().readByte();
        pending.compact();
        assertEquals(7, pending.arrivedAt());
        assertEquals(2, pending.next().readByte());
        assertEquals(3, pending.next().readByte());
        pending.dropDecoded();
        assertTrue(pending.isEmpty());
    }

    @Test
    void overflowsBeyondTheLimitOfTheConnection() {
        while (share.held() <= PendingInput.MAX_BYTES) {
            assertFalse(pending.overflows());
            pending.add(read(READ_BYTES), 0);
        }
        assertTrue(pending.overflows());
        pending.next().skipBytes(READ_BYTES);
        pending.dropDecoded();
        assertFalse(pending.overflows());
    }

    @Test
    void overflowsWhereTheSharedMemoryIsFullOnlyWhileItHoldsSome() {
        SharedLimit.Share other = limit.join();
        other.forceTake(8 * MEGABYTE);
        assertFalse(pending.overflows());
        pending.add(read(1), 0);
        pending.compact();
        assertTrue(pending.overflows());
        other.giveBack(8 * MEGABYTE);
        assertFalse(pending.overflows());
    }

    /** Random adds, decodes and compactions; all memory is given back, whether it is decoded or dropped. */
    @Test
    void allMemoryIsGivenBack() {
        Random random = new Random(8);
        for (int round = 0; round < 200; round++) {
            for (int step = 0; step < 50; step++) {
                pending.add(read(1 + random.nextInt(READ_BYTES)), step);
                if (random.nextBoolean()) {
                    pending.compact();
                }
                if (random.nextBoolean()) {
                    pending.next().skipBytes(1 + random.nextInt(pending.next().readableBytes()));
                    pending.dropDecoded();
                }
                assertTrue(pending.isEmpty() || share.held() > 0);
            }
            pending.clear();
            assertEquals(0, share.held());
        }
    }
}
