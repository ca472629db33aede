package onyxpaddle.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import onyxpaddle.node.SocketBuffers;

/**
 * Requests that a client sent behind the one that waits for its answer. Those that fit are kept in decoded parts. From the first that
 * does not fit, each is discarded as it arrives and only counted, to be refused in its turn: so reading goes on and finds that the client
 * closes, in bounded memory, and no request that was read is left without an answer.
 */
final class PipelinedRequests {
    private static final int MAX_REQUESTS = 16;
    /** Discarded requests from which on a client counts as one that floods. */
    private static final int FLOOD_REQUESTS = 64;
    /** Of a buffer for parts of a body. */
    private static final int MIN_BUFFER_BYTES = 2 * 1024;
    /** Heap bytes of such a buffer beside its capacity. */
    private static final int BYTES_PER_BUFFER = 192;
    /** Heap bytes of the end of a request. */
    private static final int BYTES_PER_LAST_PART = 64;
    private static final int MAX_BODY_BYTES = 2 * SocketBuffers.READ_SIZE;

    /**
     * A decoded part.
     *
     * @param arrivedAt a time before which its last byte did not arrive
     * @param queuedAt when it was read
     */
    record Part(HttpObject message, long arrivedAt, long queuedAt, long heldBytes) {
    }

    private final HeadBudget budget;
    private final ArrayDeque<Part> parts = new ArrayDeque<>();
    private int requests;
    private int bodyBytes;
    /** When the latest part was read. */
    private long readAt;
    /** The parts at the end that belong to a request which is not complete. */
    private int incompleteParts;
    private boolean discards;
    private long refusals;
    /** A request is being discarded whose end has not arrived. */
    private boolean discardsIncomplete;
    /** No request follows the discarded ones, by what their client said. */
    private boolean closesBehindRefusals;
    /** Input that is no request, behind the discarded ones; null for none. */
    private Part malformed;

    PipelinedRequests(HeadBudget budget) {
        this.budget = budget;
    }

    /** Whether nothing is kept and no refusal is due. */
    boolean isEmpty() {
        return parts.isEmpty() && !discards;
    }

    /** Whether a request is being discarded that has no answer yet and whose end has not arrived. */
    boolean discardsIncomplete() {
        return discardsIncomplete;
    }

    /** Whether so many requests are to be refused that their client is read at a lower rate. */
    boolean isFlooded() {
        return refusals >= FLOOD_REQUESTS;
    }

    /** Takes a part, which has been read at the time {@code now}, and its ownership. */
    void add(HttpObject message, long arrivedAt, long now) {
        readAt = now;
        if (!discards && !keep(message, arrivedAt)) {
            discards = true;
            discardIncomplete();
        } else if (!discards) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            malformed = new Part(message, arrivedAt, readAt, 0);
            discardsIncomplete = false;
            return;
        }
        if (message instanceof HttpRequest request) {
            discardHead(request);
        }
        if (message instanceof LastHttpContent) {
            discardsIncomplete = false;
            refusals++;
        }
        ReferenceCountUtil.release(message);
    }

    private void discardHead(HttpRequest request) {
        discardsIncomplete = true;
        closesBehindRefusals |= !HttpUtil.isKeepAlive(request) || request.method().equals(HttpMethod.HEAD)
            || HttpUtil.is100ContinueExpected(request);
    }

    private boolean keep(HttpObject message, long arrivedAt) {
        if (message.decoderResult().isFailure()) {
            parts.add(new Part(message, arrivedAt, readAt, 0));
            return true;
        }
        if (message instanceof HttpRequest request) {
            return keepHead(request, arrivedAt);
        }
        HttpContent content = (HttpContent) message;
        if (content.content().isReadable() && !keepBytes(content.content(), arrivedAt)) {
            return false;
        }
        boolean last = content instanceof LastHttpContent;
        content.release();
        if (last) {
            parts.add(new Part(LastHttpContent.EMPTY_LAST_CONTENT, arrivedAt, readAt, 0));
            incompleteParts = 0;
        }
        return true;
    }

    private boolean keepHead(HttpRequest request, long arrivedAt) {
        long cost = HeadMemory.of(request) + BYTES_PER_LAST_PART;
        if (requests >= MAX_REQUESTS || !budget.reserveHead(cost)) {
            return false;
        }
        requests++;
        parts.add(new Part(request, arrivedAt, readAt, cost));
        incompleteParts++;
        return true;
    }

    /** Copies bytes of a body into as few buffers as possible, as a peer may send them one by one; false if there is no memory. */
    private boolean keepBytes(ByteBuf bytes, long arrivedAt) {
        int count = bytes.readableBytes();
        Part last = parts.peekLast();
        boolean appends = incompleteParts > 0 && last.message() instanceof HttpContent;
        ByteBuf room = appends ? ((HttpContent) last.message()).content() : Unpooled.EMPTY_BUFFER;
        int rest = Math.max(0, count - room.writableBytes());
        int capacity = Math.max(MIN_BUFFER_BYTES, rest);
        if (bodyBytes + count > MAX_BODY_BYTES || rest > 0 && !budget.reserveHead(BYTES_PER_BUFFER + capacity)) {
            return false;
        }
        bodyBytes += count;
        if (count > rest) {
            room.writeBytes(bytes, count - rest);
            parts.pollLast();
            parts.add(new Part(last.message(), arrivedAt, readAt, last.heldBytes()));
        }
        if (rest > 0) {
            ByteBuf buffer = Unpooled.buffer(capacity, capacity).writeBytes(bytes);
            parts.add(new Part(new DefaultHttpContent(buffer), arrivedAt, readAt, BYTES_PER_BUFFER + capacity));
            incompleteParts++;
        }
        return true;
    }

    /** The request whose part could not be kept is refused as a whole. */
    private void discardIncomplete() {
        for (; incompleteParts > 0; incompleteParts--) {
            Part part = parts.pollLast();
            release(part);
            if (part.message() instanceof HttpRequest request) {
                discardHead(request);
            }
            ReferenceCountUtil.release(part.message());
        }
    }

    private void release(Part part) {
        budget.releaseHead(part.heldBytes());
        if (part.message() instanceof HttpRequest) {
            requests--;
        } else if (part.message() instanceof HttpContent content) {
            bodyBytes -= content.content().readableBytes();
        }
    }

    /** The next kept part, whose ownership the caller takes; null for none. */
    Part poll() {
        Part next = parts.poll();
        if (next == null && refusals == 0 && malformed != null) {
            next = malformed;
            malformed = null;
            return next;
        }
        if (next != null) {
            release(next);
            incompleteParts = Math.min(incompleteParts, parts.size());
        }
        return next;
    }

    /** Removes what is kept of the request that is being handled; false if its end is not among it. */
    boolean skipRequest() {
        boolean complete = parts.stream().anyMatch(part -> part.message() instanceof LastHttpContent);
        while (complete) {
            Part part = poll();
            complete = !(part.message() instanceof LastHttpContent);
            ReferenceCountUtil.release(part.message());
            if (!complete) {
                return true;
            }
        }
        return false;
    }

    /** Whether a discarded request is to be refused now, as all before it are answered. Counts as answered from then on. */
    boolean takeRefusal() {
        if (!parts.isEmpty() || refusals == 0) {
            return false;
        }
        refusals--;
        if (refusals == 0 && !discardsIncomplete && malformed == null && !closesBehindRefusals) {
            discards = false;
        }
        return true;
    }

    /** Whether the connection is closed behind the refusal that was taken last. */
    boolean closes() {
        return closesBehindRefusals && refusals == 0 && malformed == null;
    }

    /** Drops everything. */
    void clear() {
        for (Part part = parts.poll(); part != null; part = parts.poll()) {
            release(part);
            ReferenceCountUtil.release(part.message());
        }
        if (malformed != null) {
            ReferenceCountUtil.release(malformed.message());
            malformed = null;
        }
        incompleteParts = 0;
        refusals = 0;
        discards = false;
        discardsIncomplete = false;
    }
}
