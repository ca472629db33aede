package onyxpaddle.node;

import io.netty.buffer.ByteBuf;

/** Where an answer's body goes that is passed on as it comes. It hears one end, {@link #end} or {@link #broken}. */
public interface AnswerSink {
    /** The next bytes, which are the sink's from here on. */
    void data(ByteBuf bytes);

    /** What was handed over so far should leave now: no more has come. */
    void flush();

    /** The body is whole. */
    void end();

    /** The rest never comes: the caller must be able to tell. */
    void broken();

    /** What the sink asks of the other side, by which it holds a window and no more. */
    interface Source {
        /** Bring no more for now; what is on its way still comes. */
        void pause();

        void resume();

        /** Nobody waits for the rest: the other side is let go of, and the sink hears nothing more. */
        void abandon();
    }
}
