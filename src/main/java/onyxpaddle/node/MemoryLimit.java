package onyxpaddle.node;

/**
 * What a process may use under its machine's limit.
 *
 * @param processBytes the limit for the whole process; 0 if there is none
 * @param maxHeapBytes what the heap may grow to
 */
public record MemoryLimit(long processBytes, long maxHeapBytes) {
    /** What a process needs beside its heap: classes, code, stacks and the collector's tables, in bytes. */
    static final long OUTSIDE_HEAP = 56L << 20;

    /** What the process needs so that its heap may grow as far as its options allow, in bytes. */
    public long wholeBytes() {
        return maxHeapBytes + OUTSIDE_HEAP;
    }

    /** Whether the limit leaves less than that. */
    public boolean isShort() {
        return processBytes > 0 && processBytes < wholeBytes();
    }
}
