package onyxpaddle.node;

import io.netty.buffer.ByteBuf;

/**
 * The streamed part of a request's body, which follows the part that is held. The request can be sent again with the held
 * part until any of the streamed part has gone to a server. The caller's side offers bytes as they arrive, one attempt at
 * a time takes them, and reading pauses while it can't take more. Used on the event loop only.
 */
public final class Upload {
    /** The attempt that takes the streamed part. */
    public interface Sink {
        /** Takes the next bytes and their ownership; {@code last}: they complete the body. */
        void take(ByteBuf more, boolean last);

        /** Writes out what was handed over so far: no more data is available at present. */
        void flush();

        /** The rest of the body will not come. */
        void aborted();
    }

    /** The caller's side, whose reading can be paused and resumed. */
    public interface Reader {
        void read(boolean on);
    }

    private final long length;
    private final Reader reader;
    private Sink sink;
    private boolean started;
    private boolean complete;

    /** {@code length}: of the complete body as announced by the caller, in bytes; -1 if it comes in chunks. */
    public Upload(long length, Reader reader) {
        this.length = length;
        this.reader = reader;
    }

    public long length() {
        return length;
    }

    /** Whether bytes that are not held have gone to a server. */
    public boolean started() {
        return started;
    }

    /** Whether the body's last byte has arrived. */
    public boolean complete() {
        return complete;
    }

    /** Sets the attempt that takes what arrives from now on; it has sent what is held. */
    public void attach(Sink to) {
        if (!complete) {
            sink = to;
            reader.read(true);
        }
    }

    /** The last byte has arrived while no attempt was attached: the complete body is held. */
    public void completeHeld() {
        complete = true;
    }

    public void flush() {
        if (sink != null) {
            sink.flush();
        }
    }

    /** Detaches an attempt that takes no more. */
    public void detach(Sink from) {
        if (sink == from) {
            sink = null;
            if (!complete) {
                reader.read(false);
            }
        }
    }

    /** Resumes or pauses reading, as the attached attempt has room again or has none. */
    public void setWritable(Sink by, boolean on) {
        if (sink == by && !complete) {
            reader.read(on);
        }
    }

    /** Whether an attempt is attached and takes what arrives next; otherwise it is held. */
    public boolean attached() {
        return sink != null;
    }

    /** Passes the next bytes to the attempt that is {@link #attached}. */
    public void offer(ByteBuf more, boolean last) {
        started = true;
        complete = last;
        sink.take(more, last);
    }

    /** The caller has left, or has sent a malformed body. */
    public void abort() {
        Sink from = sink;
        sink = null;
        if (from != null) {
            from.aborted();
        }
    }
}
