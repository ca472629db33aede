package onyxpaddle.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;

/** Sizes that all sockets share. */
public final class SocketBuffers {
    /** Most bytes of one read: what a stream may overshoot its write mark by, for every connection. */
    public static final int READ_SIZE = 16 * 1024;
    private static final int PAGE = 8 * 1024;
    /** Chunks of 512 KB, as a node in small memory holds few buffers at any moment. */
    private static final int ORDER = 6;

    private static final int SMALL_CACHED = 64;
    private static final int NORMAL_CACHED = 16;

    private SocketBuffers() {
    }

    /**
     * Some bytes of a read, to be kept until they are written. A few are copied: a slice would pin the whole of the buffer
     * that they were read into, and a peer that sends small pieces one buffer for each.
     */
    public static ByteBuf kept(ByteBuf bytes, ByteBufAllocator allocator) {
        return bytes.readableBytes() >= READ_SIZE / 2 ? bytes.retain()
            : allocator.buffer(Math.max(1, bytes.readableBytes())).writeBytes(bytes);
    }

    /** One arena: there is one thread that reads and writes. */
    public static ByteBufAllocator allocator() {
        return new PooledByteBufAllocator(true, 1, 1, PAGE, ORDER, SMALL_CACHED, NORMAL_CACHED, false);
    }
}
