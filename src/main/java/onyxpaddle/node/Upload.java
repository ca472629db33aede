package onyxpaddle.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The body of a request that is passed on to a server while it arrives. It is the owner of all of the body's bytes and decides
 * whether the body is still {@link #available}: its first part is held, as far as memory allows, until one attempt takes the body.
 * From then on bytes go to that attempt as they arrive, and no other attempt can have them. Used on the event loop only.
 */
public final class Upload {
    /** The attempt that takes the body. */
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

        /**
         * The time from which the caller's wait counts, as far as is known while the last byte has not been read: a time before which
         * the caller can't have written it, but no later than when the upload made progress last.
         */
        long waitsSince();
    }

    private final long length;
    private final Body held;
    private final Reader reader;
    private Sink sink;
    /** An attempt has taken the body, or the body was released. */
    private boolean consumed;
    /** The body's last byte has arrived. */
    private boolean received;
    /** The last part is not passed on yet. */
    private boolean holdsEnd;
    /** The last part that is held; null for none. */
    private ByteBuf heldEnd;

    /**
     * Creates the body of which {@code held} is the first part.
     *
     * @param length of the complete body as announced by the caller, in bytes; -1 if it comes in chunks
     */
    public Upload(long length, Body held, Reader reader) {
        this.length = length;
        this.held = held;
        this.reader = reader;
    }

    /** The complete body's length in bytes as announced by the caller; -1 if it comes in chunks. */
    public long length() {
        return length;
    }

    /** Whether an attempt can still have the whole body, from its first byte. */
    public boolean available() {
        return !consumed;
    }

    /** Whether the body's last byte has arrived. */
    public boolean received() {
        return received;
    }

    /** See {@link Reader#waitsSince}; only before the body's last byte has arrived. */
    long waitsSince() {
        return reader.waitsSince();
    }

    /** The body's last byte has been read, and is added next. */
    void lastByteRead() {
        received = true;
    }

    /** Adds the next bytes from the caller, of which it takes the ownership; {@code last}: they complete the body. */
    public void add(ByteBuf more, boolean last) {
        received |= last;
        if (sink != null && last) {
            takeEnd(more);
        } else if (sink != null) {
            sink.take(more, false);
        } else if (consumed) {
            more.release();
        } else {
            hold(more);
        }
    }

    /** While no attempt has taken the body, reading goes on as far as memory allows: only so it is seen that the caller leaves. */
    private void hold(ByteBuf more) {
        if (!held.add(more)) {
            held.forceAdd(more);
            reader.read(false);
        }
        more.release();
    }

    private void takeEnd(ByteBuf end) {
        if (holdsEnd) {
            heldEnd = end;
        } else {
            sink.take(end, true);
        }
    }

    /** Holds the last part back until {@link #passEnd}. */
    void holdEnd() {
        holdsEnd = true;
    }

    boolean holdsEnd() {
        return holdsEnd;
    }

    /** Passes the last part on, now or when it comes. */
    void passEnd() {
        holdsEnd = false;
        ByteBuf end = heldEnd;
        heldEnd = null;
        if (sink != null && end != null) {
            sink.take(end, true);
        } else if (end != null) {
            end.release();
        }
    }

    private void releaseEnd() {
        if (heldEnd != null) {
            heldEnd.release();
            heldEnd = null;
        }
    }

    /** Gives the body to an attempt and returns the held part, which it must send before it calls {@link #resume}. */
    public ByteBuf attach(Sink to) {
        if (consumed) {
            throw new IllegalStateException("the body is no longer available");
        }
        consumed = true;
        sink = to;
        return held.size() == 0 ? Unpooled.EMPTY_BUFFER : held.whole();
    }

    /** The held part that {@link #attach} returned has been written, or never will be: its bytes are free. */
    public void releaseHeld() {
        held.release();
    }

    /** The held part is with the attached attempt: completes it if the body's last byte has arrived, and resumes reading otherwise. */
    public void resume() {
        if (received) {
            takeEnd(Unpooled.EMPTY_BUFFER);
        } else {
            reader.read(true);
        }
    }

    /** Lets the attached attempt write out what it was given: no more input is available for now. */
    public void flush() {
        if (sink != null) {
            sink.flush();
        }
    }

    /** Detaches an attempt that takes no more. What still arrives is dropped. */
    public void detach(Sink from) {
        if (sink == from) {
            sink = null;
            releaseEnd();
            if (!received) {
                reader.read(false);
            }
        }
    }

    /** Resumes or pauses reading, as the attached attempt has room again or has none. */
    public void setWritable(Sink by, boolean on) {
        if (sink == by && !received) {
            reader.read(on);
        }
    }

    /** The caller has left, or has sent a malformed body. */
    public void abort() {
        Sink from = sink;
        sink = null;
        releaseEnd();
        if (from != null) {
            from.aborted();
        }
    }

    /** Releases the bytes that no attempt has taken; the body is not available afterwards. */
    public void release() {
        consumed = true;
        held.release();
        releaseEnd();
    }
}
