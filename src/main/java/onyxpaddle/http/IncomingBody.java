package onyxpaddle.http;

import io.netty.buffer.ByteBuf;
import onyxpaddle.node.Body;
import onyxpaddle.node.Caller;
import onyxpaddle.node.Clock;
import onyxpaddle.node.Exchange;
import onyxpaddle.node.LastByteBound;
import onyxpaddle.node.SocketBuffers;
import onyxpaddle.node.Upload;
import onyxpaddle.socket.PollableChannel;
import onyxpaddle.socket.ReadPause;

/**
 * The body of one request as it is received. It is buffered whole if it is small enough and memory allows. Otherwise a server
 * is drawn and the body is streamed to it, and the client is read only as fast as that server accepts data. Receiving ends with
 * {@link Progress#COMPLETE}, with {@code onStreamed}, or with {@link #drop} or {@link #abandonRest}.
 */
final class IncomingBody {
    /** A body that memory has no room for is streamed only if at least this much of it is buffered. */
    private static final int MIN_BUFFERED_BYTES = 16 * 1024;
    /** Time that each received byte adds to the limit: clients send at 64 kB/s, less an eighth for transmission delays. */
    private static final long NANOS_PER_BYTE = 1_000_000_000L / 56_000;

    /** State of the body after a part was added. */
    enum Progress {
        /** More parts follow, whether it is buffered or streamed. */
        INCOMPLETE,
        /** It is buffered whole: {@link #exchange} is ready. */
        COMPLETE,
        TOO_LARGE,
        /** Memory for bodies is full. No server has received a request that it could run, so the client may safely retry. */
        NO_MEMORY,
        /** The body fails the request's check, or another request with the same id is open. */
        INVALID
    }

    private final RoutedRequest request;
    private final PollableChannel channel;
    private final Clock clock;
    private final Caller caller;
    private final Runnable onStreamed;
    private final Body body;
    private long received;
    /** When a part arrived last, or reading was resumed. */
    private long progressAt;
    private Exchange exchange;
    /** The streamed part; null as long as the body is only buffered. */
    private Upload upload;
    private final LastByteBound lastByteBound;
    private long pausedAt;
    private long pausedNanos;
    /** The last byte has arrived, or the rest is no longer needed. */
    private boolean done;

    /** {@code onStreamed}: called when the last byte of a streamed body has arrived. */
    IncomingBody(RoutedRequest request, PollableChannel channel, Clock clock, Caller caller, Runnable onStreamed) {
        this.request = request;
        this.channel = channel;
        this.clock = clock;
        this.caller = caller;
        this.onStreamed = onStreamed;
        this.progressAt = clock.now();
        this.lastByteBound = new LastByteBound(request.length(), channel.arrivalBound());
        this.body = new Body(request.bytes(), Math.min(request.length(), request.maxBufferedBytes()), request.maxBodyBytes());
    }

    /** The request, once its body is complete or being streamed. */
    Exchange exchange() {
        return exchange;
    }

    /** A time before which the client can't have written the last byte, once that has arrived. */
    long lastByteBound() {
        return lastByteBound.get();
    }

    /** Whether reading from the client is paused until the server accepts more data. */
    boolean paused() {
        return pausedAt > 0;
    }

    /** Whether it is streamed and its last byte has not arrived. */
    boolean streaming() {
        return upload != null && !done;
    }

    /**
     * Whether receiving takes too long, in all or since the last byte; {@code elapsed}: since the request's first byte. Time in which reading
     * was paused is excluded.
     */
    boolean timedOut(long now, long elapsed, long headTimeout) {
        return pausedAt == 0 && (elapsed - pausedNanos > headTimeout + received * NANOS_PER_BYTE || now - progressAt > headTimeout);
    }

    /** The process stood still for so long. */
    void compensateStall(long span, long now) {
        progressAt = Math.min(now, progressAt + span);
    }

    /** {@code arrivedAt}: a time before which the part did not arrive. */
    Progress add(ByteBuf bytes, boolean last, long arrivedAt) {
        received += bytes.readableBytes();
        progressAt = clock.now();
        if (received > request.maxBufferedBytes()) {
            lastByteBound.setReceiveBuffer(channel.config().getReceiveBufferSize());
        }
        lastByteBound.read(received, arrivedAt, clock.turnStart(), clock.now());
        if (received > request.maxBodyBytes()) {
            return Progress.TOO_LARGE;
        } else if (upload != null) {
            addStreamed(bytes, last);
            return Progress.INCOMPLETE;
        } else if (received <= request.maxBufferedBytes() && body.add(bytes)) {
            return last ? complete() : Progress.INCOMPLETE;
        } else if (request.mustBuffer() || received <= request.maxBufferedBytes() && body.size() < MIN_BUFFERED_BYTES) {
            return Progress.NO_MEMORY;
        } else if (request.pool().hasRequest(request.terms().id())) {
            return Progress.INVALID;
        }
        startStreaming(bytes, last);
        return Progress.INCOMPLETE;
    }

    private Progress complete() {
        if (request.pool().hasRequest(request.terms().id()) || !request.bodyCheck().test(body)) {
            return Progress.INVALID;
        }
        done = true;
        exchange = new Exchange(request.terms(), request.head(), body, caller);
        return Progress.COMPLETE;
    }

    /** Begins to stream the body, as it exceeds the buffer limit or the available memory. */
    private void startStreaming(ByteBuf bytes, boolean last) {
        upload = new Upload(request.length(), body, reader);
        exchange = new Exchange(request.terms(), request.head(), body, caller, upload);
        upload.add(SocketBuffers.kept(bytes, channel.alloc()), last);
        if (last) {
            endStreaming();
        }
        request.pool().arrived(exchange, lastByteBound.get());
    }

    private final Upload.Reader reader = new Upload.Reader() {
        @Override
        public void read(boolean on) {
            setReading(on);
        }

        @Override
        public long waitsSince() {
            long bound = lastByteBound.get(channel.nextArrivalBound(), clock.now());
            return paused() ? Math.min(bound, pausedAt) : bound;
        }
    };

    /** Resumes or pauses reading from the client, as the server's connection becomes writable or not. */
    private void setReading(boolean on) {
        if (done) {
            return;
        }
        if (on && pausedAt > 0) {
            long now = clock.now();
            pausedNanos += now - pausedAt;
            progressAt = now;
            pausedAt = 0;
            lastByteBound.resumed(now);
        } else if (!on && pausedAt == 0) {
            pausedAt = clock.now();
        }
        channel.reading().set(ReadPause.BACK_PRESSURE, on);
    }

    private void addStreamed(ByteBuf bytes, boolean last) {
        if (last) {
            endStreaming();
            request.pool().bodyReceived(exchange, lastByteBound.get());
        }
        upload.add(SocketBuffers.kept(bytes, channel.alloc()), last);
    }

    /** The last byte of a streamed body has arrived. */
    private void endStreaming() {
        end();
        onStreamed.run();
    }

    private void end() {
        done = true;
        channel.reading().resume(ReadPause.BACK_PRESSURE);
    }

    /** The connection was not read for a while, as others had their turn. */
    void readingResumed() {
        lastByteBound.resumed(clock.now());
    }

    /** Called when no more input is available for now. */
    void flush() {
        if (upload != null) {
            upload.flush();
        }
    }

    /** Abandons the request: the client has disconnected or its request is rejected. */
    void drop() {
        if (done) {
            return;
        }
        end();
        if (upload == null) {
            body.release();
        } else {
            request.pool().clientGone(exchange);
            upload.abort();
        }
    }

    /** Called when the request is answered before its body is complete. The pool releases what was received. */
    void abandonRest() {
        if (!done) {
            end();
            upload.abort();
        }
    }
}
