package onyxpaddle.rpc;

import io.netty.buffer.ByteBuf;

/** Receives what a {@link FrameDecoder} reads: for each frame a call or a reply, its payload in pieces, and its end. */
interface FrameSink {
    /** Takes the place of the {@code msgid} for notifications. */
    long NOTIFICATION = -1;

    /**
     * A call or a notification begins. All of it but the parameters has been read.
     *
     * @param msgid the caller's, from 0 to 2^32 - 1, or {@link #NOTIFICATION}
     * @param params the number of parameters without the envelope; their bytes follow as payload
     * @param envelope null if the call has none
     */
    void call(long msgid, String method, int params, Envelope envelope) throws FormatException;

    /** A reply begins. Its error and its result follow as payload. */
    void reply(long msgid) throws FormatException;

    /** The next bytes of the payload. The buffer is valid only during this call. */
    void payload(ByteBuf bytes);

    /** The error of a reply is complete; the payload that follows is its result. */
    void errorEnded();

    /** The frame is complete. Returns whether the decoder may go on with the next one now. */
    boolean end() throws FormatException;
}
