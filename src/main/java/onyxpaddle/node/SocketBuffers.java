package onyxpaddle.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;

/** Buffer sizes and the buffer allocator that all sockets share. */
public final class SocketBuffers {
    /** Maximum bytes of a read, and so of what a streamed body may exceed its connection's write high-water mark by. */
    public static final int READ_SIZE = 16 * 1024;
    private static final int PAGE = 8 * 1024;
    /** Gives chunks of 512 KB, as a node with little memory holds few buffers at a time. */
    private static final int ORDER = 6;

    private static final int SMALL_CACHED = 64;
    private static final int NORMAL_CACHED = 16;

    private SocketBuffers() {
    }

    /**
     * Returns bytes of a read in a form that can be kept until they are written. Small ones are copied: a slice would pin the
     * whole read buffer, and a peer that sends in small pieces would pin one buffer for each.
     */
    public static ByteBuf kept(ByteBuf bytes, ByteBufAllocator allocator) {
        return bytes.readableBytes() >= READ_SIZE / 2 ? bytes.retain()
            : allocator.buffer(Math.max(1, bytes.readableBytes())).writeBytes(bytes);
    }

    /**
     * Creates an allocator with one arena, as a single thread reads and writes. All buffers are in the heap: one limit bounds the memory
     * of the process, and an allocation never waits for the reservation of direct memory. The system's calls copy through buffers of the
     * JDK, of which there are a few for each thread.
     */
    public static ByteBufAllocator allocator() {
        return new HeapBufferAllocator();
    }

    private static final class HeapBufferAllocator extends PooledByteBufAllocator {
        private HeapBufferAllocator() {
            super(false, 1, 0, PAGE, ORDER, SMALL_CACHED, NORMAL_CACHED, false);
        }

        @Override
        public ByteBuf ioBuffer() {
            return heapBuffer();
        }

        @Override
        public ByteBuf ioBuffer(int initialCapacity) {
            return heapBuffer(initialCapacity);
        }

        @Override
        public ByteBuf ioBuffer(int initialCapacity, int maxCapacity) {
            return heapBuffer(initialCapacity, maxCapacity);
        }
    }
}
