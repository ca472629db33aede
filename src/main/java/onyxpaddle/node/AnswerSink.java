package onyxpaddle.node;

import io.netty.buffer.ByteBuf;

/** Receives the body of a streamed answer, which finishes with one call of {@link #end} or {@link #broken}. */
public interface AnswerSink {
    /** Takes the next bytes and their ownership. */
    void data(ByteBuf bytes);

    /** Writes out what was handed over so far: no more data is available at present. */
    void flush();

    /** The body is complete. */
    void end();

    /** The rest of the body will not come; the caller must be able to detect the truncation. */
    void broken();

    /** Flow control from the sink to the server's side, which bounds what the sink buffers. */
    interface Source {
        /** Stops reading from the server; bytes already read are still delivered. */
        void pause();

        void resume();

        /** Discards the rest, as nobody waits for it; the sink gets no further calls. */
        void abandon();
    }
}
