package onyxpaddle.rpc;

import io.netty.buffer.ByteBuf;

/** Hears what a {@link FrameDecoder} reads. A frame is a call or a reply, its payload in pieces, and its end. */
interface FrameSink {
    /** {@code msgid} of a notification. */
    long NOTIFICATION = -1;

    /**
     * A call or a notification begins, of which all but the parameters has come.
     *
     * @param msgid the caller's, from 0 to 2^32 - 1, or {@link #NOTIFICATION}
     * @param params how many there are, without the envelope; their bytes follow as payload
     * @param envelope null where there is none
     */
    void call(long msgid, String method, int params, Envelope envelope) throws FormatException;

    /** A reply begins; its error and its result follow as payload. */
    void reply(long msgid) throws FormatException;

    /** More of the payload, on loan. */
    void payload(ByteBuf bytes);

    /** The error of a reply has come whole: what follows is its result. */
    void errorEnded();

    /** The frame has come whole. Returns whether the decoder goes on with the next one now. */
    boolean end() throws FormatException;
}
