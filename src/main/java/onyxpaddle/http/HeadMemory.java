package onyxpaddle.http;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Iterator;
import java.util.Map;

/**
 * The heap bytes that a connection holds for the head of its current request, in parts or decoded, taken from the memory that all heads
 * share. A head may be as long as its bound, so many of them have to be counted.
 */
final class HeadMemory {
    /** Heap bytes of an undecoded byte: it is held as read, and most of it again as fields that are decoded already. */
    private static final int BYTES_PER_UNDECODED_BYTE = 3;
    private static final int BYTES_PER_REQUEST = 512;
    /** Heap bytes of a field beside its characters. */
    private static final int BYTES_PER_FIELD = 128;

    private final HeadBudget budget;
    /** Bytes read of a head that is not complete. */
    private long undecodedBytes;
    /** Heap bytes taken for them, and for the fields that were decoded of them. */
    private long undecodedCost;
    /** Heap bytes taken for the head of the current request. */
    private long decodedCost;

    HeadMemory(HeadBudget budget) {
        this.budget = budget;
    }

    /** About how many heap bytes a decoded head takes. */
    static long of(HttpRequest request) {
        long sum = BYTES_PER_REQUEST + request.uri().length();
        Iterator<Map.Entry<CharSequence, CharSequence>> fields = request.headers().iteratorCharSequence();
        while (fields.hasNext()) {
            Map.Entry<CharSequence, CharSequence> field = fields.next();
            sum += BYTES_PER_FIELD + field.getKey().length() + field.getValue().length();
        }
        return sum;
    }

    /**
     * Counts a head, or trailers, as far as they have been read: {@code more} bytes beside those that were counted before, and so many
     * decoded fields. False if there is no memory for them.
     */
    boolean addUndecoded(long more, int fields) {
        return setUndecoded(undecodedBytes + more, fields);
    }

    /** Sets how many bytes of a head that is not complete are held at most, and its fields; false if there is no memory for them. */
    boolean setUndecoded(long bytes, int fields) {
        long growth = bytes * BYTES_PER_UNDECODED_BYTE + (long) fields * BYTES_PER_FIELD - undecodedCost;
        if (growth > 0 && !budget.reserveHead(growth)) {
            return false;
        }
        if (growth < 0) {
            budget.releaseHead(-growth);
        }
        // Added: to make room, this head itself may have been given up and released meanwhile.
        undecodedCost += growth;
        undecodedBytes = bytes;
        return true;
    }

    /** Counts the head of the current request instead of its parts; false if there is no memory for it. */
    boolean decoded(HttpRequest request) {
        release();
        long cost = of(request);
        if (!budget.reserveHead(cost)) {
            return false;
        }
        decodedCost = cost;
        return true;
    }

    /** The current request has its answer. */
    void answered() {
        budget.releaseHead(decodedCost);
        decodedCost = 0;
    }

    /** Nothing is held any more. */
    void release() {
        setUndecoded(0, 0);
        answered();
    }

    /** Whether a part of a head is held. */
    boolean holdsUndecoded() {
        return undecodedCost > 0;
    }
}
