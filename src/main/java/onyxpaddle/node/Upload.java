package onyxpaddle.node;

import io.netty.buffer.ByteBuf;

/**
 * The part of a request's body that is passed on as it comes, behind the part that is held. Until any of it has gone to a
 * server the request can be sent again with what is held; from then on it can't. The caller's side offers what comes, one
 * attempt at a time takes it, and reading stops while it can take no more. Used by the event loop alone.
 */
public final class Upload {
    /** The attempt that takes the rest. */
    public interface Sink {
        /** The next bytes, which are the sink's from here on; {@code last}: the body is whole with them. */
        void take(ByteBuf more, boolean last);

        /** What was handed over so far should leave now: no more has come. */
        void flush();

        /** The rest never comes. */
        void aborted();
    }

    /** The caller's side, which can be told to read on or not. */
    public interface Reader {
        void read(boolean on);
    }

    private final long length;
    private final Reader reader;
    private Sink sink;
    private boolean begun;
    private boolean whole;

    /** {@code length}: of the whole body as the caller states it, in bytes; -1 where it comes in chunks. */
    public Upload(long length, Reader reader) {
        this.length = length;
        this.reader = reader;
    }

    public long length() {
        return length;
    }

    /** Whether bytes have gone to a server that are held no more. */
    public boolean begun() {
        return begun;
    }

    /** The body's last byte has come. */
    public boolean whole() {
        return whole;
    }

    /** An attempt takes what comes from now on; what was held until then it has sent. */
    public void attach(Sink to) {
        if (!whole) {
            sink = to;
            reader.read(true);
        }
    }

    /** The last byte has come while no attempt took any: all of it is held. */
    public void completeHeld() {
        whole = true;
    }

    public void flush() {
        if (sink != null) {
            sink.flush();
        }
    }

    /** The attempt takes no more. */
    public void detach(Sink from) {
        if (sink == from) {
            sink = null;
            if (!whole) {
                reader.read(false);
            }
        }
    }

    /** The attempt that takes it has room again, or has none. */
    public void setWritable(Sink by, boolean on) {
        if (sink == by && !whole) {
            reader.read(on);
        }
    }

    /** Whether what comes next goes to an attempt; else it is held. */
    public boolean attached() {
        return sink != null;
    }

    /** The next bytes of a body that {@link #attached}. */
    public void offer(ByteBuf more, boolean last) {
        begun = true;
        whole = last;
        sink.take(more, last);
    }

    /** The caller has left, or what it sends is at fault. */
    public void abort() {
        Sink from = sink;
        sink = null;
        if (from != null) {
            from.aborted();
        }
    }
}
