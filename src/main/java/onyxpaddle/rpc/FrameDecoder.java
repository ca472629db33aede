package onyxpaddle.rpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Incremental decoder of MessagePack-RPC frames: request {@code [0, msgid, method, params]}, response {@code [1,
 * msgid, error, result]} and notification {@code [2, method, params]}. Only the header of a frame, whose size is
 * limited, is buffered; the payload is forwarded unchanged as it arrives. Arrays and integers are accepted in any
 * format, as the MessagePack specification leaves the choice to the sender; a msgid must be an unsigned 32-bit
 * integer. Strings in the payload are not validated, because implementations that predate the 2013 revision send
 * binary data as str.
 */
final class FrameDecoder {
    private static final int MAX_INTEGER_BYTES = 9;
    private static final long NO_VALUE = -1;
    private static final long MAX_MSGID = 0xffffffffL;

    private enum State {
        FRAME_HEADER, TYPE, ID, METHOD, PARAMS_HEADER,
        /** The first parameter may be the envelope. */
        ENVELOPE_PREFIX,
        ENVELOPE, PARAM, ERROR, RESULT
    }

    private final FrameLimits limits;
    private final FrameSink sink;
    private final MsgPackScanner scanner;
    /** The bytes of the header field being read. */
    private final ByteBuf buffer;
    private State state = State.FRAME_HEADER;
    private boolean inFrame;
    private int type;
    private long msgid;
    private String method;
    private int params;
    private int paramsLeft;
    private long frameBytesLeft;

    FrameDecoder(FrameLimits limits, FrameSink sink) {
        this.limits = limits;
        this.sink = sink;
        scanner = new MsgPackScanner(limits.maxDepth());
        buffer = Unpooled.wrappedBuffer(new byte[Math.max(limits.maxMethodBytes() + 5, limits.maxEnvelopeBytes() + 16)]).clear();
    }

    /** Whether a frame has begun and is not complete. */
    boolean midFrame() {
        return inFrame;
    }

    /** Reads from the buffer, advancing its reader index, until it is empty or the sink accepts no further frame. */
    void feed(ByteBuf in) throws FormatException {
        boolean proceed = true;
        while (proceed && in.isReadable()) {
            if (!inFrame) {
                inFrame = true;
                frameBytesLeft = limits.maxFrameBytes();
            }
            proceed = step(in);
        }
    }

    private boolean step(ByteBuf in) throws FormatException {
        switch (state) {
            case FRAME_HEADER -> {
                if (readArrayHeader(in)) {
                    int length = arrayLength();
                    if (length != 3 && length != 4) {
                        throw new FormatException("frame must be an array of 3 or 4 elements, not " + length);
                    }
                    params = length;
                    transition(State.TYPE, MAX_INTEGER_BYTES);
                }
            }
            case TYPE -> {
                if (readValue(in)) {
                    startFrame((int) Math.min(3, parseInteger("frame type")));
                }
            }
            case ID -> {
                if (readValue(in)) {
                    msgid = parseInteger("msgid");
                    if (msgid > MAX_MSGID) {
                        throw new FormatException("msgid must fit in 32 bits: " + Long.toUnsignedString(msgid));
                    }
                    if (type == 0) {
                        transition(State.METHOD, limits.maxMethodBytes() + 5);
                    } else {
                        sink.reply(msgid);
                        transition(State.ERROR, frameBytesLeft);
                    }
                }
            }
            case METHOD -> {
                if (readValue(in)) {
                    method = parseString("method name");
                    transition(State.PARAMS_HEADER, NO_VALUE);
                }
            }
            case PARAMS_HEADER -> {
                if (readArrayHeader(in)) {
                    params = arrayLength();
                    if (params > frameBytesLeft) {
                        throw new FormatException(params + " parameters do not fit in the " + frameBytesLeft
                            + " bytes left of the frame");
                    }
                    paramsLeft = params;
                    transition(State.ENVELOPE_PREFIX, NO_VALUE);
                    if (params == 0) {
                        emitCall(null);
                        return endFrame();
                    }
                }
            }
            case ENVELOPE_PREFIX -> matchEnvelopePrefix(in);
            case ENVELOPE -> {
                if (readValue(in)) {
                    params--;
                    paramsLeft--;
                    emitCall(Envelope.read(buffer));
                    return paramsLeft > 0 || endFrame();
                }
            }
            case PARAM -> {
                if (forwardValue(in) && --paramsLeft == 0) {
                    return endFrame();
                } else if (scanner.ended()) {
                    scanner.begin(frameBytesLeft);
                }
            }
            case ERROR -> {
                if (forwardValue(in)) {
                    sink.errorEnded();
                    transition(State.RESULT, frameBytesLeft);
                }
            }
            case RESULT -> {
                if (forwardValue(in)) {
                    return endFrame();
                }
            }
        }
        return true;
    }

    private void transition(State next, long maxBytes) {
        state = next;
        buffer.clear();
        if (maxBytes != NO_VALUE) {
            scanner.begin(Math.min(maxBytes, frameBytesLeft));
        }
    }

    private void startFrame(int frameType) throws FormatException {
        boolean notification = frameType == 2;
        if (frameType > 2 || params != (notification ? 3 : 4)) {
            throw new FormatException(frameType > 2 ? "frame type must be 0, 1 or 2" : "frame of type " + frameType + " must not have "
                + params + " elements");
        }
        type = frameType;
        msgid = FrameSink.NOTIFICATION;
        if (notification) {
            transition(State.METHOD, limits.maxMethodBytes() + 5);
        } else {
            transition(State.ID, MAX_INTEGER_BYTES);
        }
    }

    /** The header of a call is complete. */
    private void emitCall(Envelope envelope) throws FormatException {
        sink.call(msgid, method, params, envelope);
        transition(State.PARAM, frameBytesLeft);
    }

    private boolean endFrame() throws FormatException {
        inFrame = false;
        transition(State.FRAME_HEADER, NO_VALUE);
        return sink.end();
    }

    // ---- header fields ----

    private void consume(int count) throws FormatException {
        frameBytesLeft -= count;
        if (frameBytesLeft < 0) {
            throw new FormatException("frame exceeds the size limit");
        }
    }

    /** Buffers the header of an array; true once it is complete. */
    private boolean readArrayHeader(ByteBuf in) throws FormatException {
        buffer.writeByte(in.readByte());
        consume(1);
        int first = buffer.getByte(0) & 0xff;
        if ((first & 0xf0) != 0x90 && first != 0xdc && first != 0xdd) {
            throw new FormatException(state == State.FRAME_HEADER ? "frame must be an array" : "parameters must be an array");
        }
        return buffer.writerIndex() == (first == 0xdc ? 3 : first == 0xdd ? 5 : 1);
    }

    private int arrayLength() throws FormatException {
        int first = buffer.getByte(0) & 0xff;
        long length = first == 0xdc ? buffer.getUnsignedShort(1) : first == 0xdd ? buffer.getUnsignedInt(1) : first & 0x0f;
        if (length > Integer.MAX_VALUE) {
            throw new FormatException(length + " items exceed the maximum array length");
        }
        return (int) length;
    }

    /** Buffers one value of the header; true once it is complete. */
    private boolean readValue(ByteBuf in) throws FormatException {
        int from = in.readerIndex();
        int to = scanner.scan(in, from, in.writerIndex());
        if (to - from > buffer.writableBytes()) {
            throw new FormatException("header field exceeds the size limit");
        }
        buffer.writeBytes(in, to - from);
        consume(to - from);
        return scanner.ended();
    }

    private long parseInteger(String what) throws FormatException {
        int first = buffer.getByte(0) & 0xff;
        long value = first < 0x80 ? first : switch (first) {
            case 0xcc -> buffer.getUnsignedByte(1);
            case 0xcd -> buffer.getUnsignedShort(1);
            case 0xce -> buffer.getUnsignedInt(1);
            case 0xcf, 0xd3 -> buffer.getLong(1);
            case 0xd0 -> buffer.getByte(1);
            case 0xd1 -> buffer.getShort(1);
            case 0xd2 -> buffer.getInt(1);
            default -> -1;
        };
        if (value < 0) {
            throw new FormatException(what + " must be a non-negative integer");
        }
        return value;
    }

    private String parseString(String what) throws FormatException {
        int first = buffer.getByte(0) & 0xff;
        int headerLength = (first & 0xe0) == 0xa0 ? 1 : first == 0xd9 ? 2 : first == 0xda ? 3 : first == 0xdb ? 5 : 0;
        int length = buffer.writerIndex() - headerLength;
        if (headerLength == 0 || length == 0 || length > limits.maxMethodBytes()) {
            throw new FormatException(what + " must be a string of 1 to " + limits.maxMethodBytes() + " bytes");
        }
        return utf8(buffer, headerLength, length, what);
    }

    static String utf8(ByteBuf in, int index, int length, String what) throws FormatException {
        byte[] bytes = new byte[length];
        in.getBytes(index, bytes);
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
        } catch (CharacterCodingException e) {
            throw new FormatException(what + " is not valid UTF-8");
        }
    }

    // ---- payload ----

    /** Compares the start of the first parameter with the envelope prefix, and holds back the bytes while they match. */
    private void matchEnvelopePrefix(ByteBuf in) throws FormatException {
        if (in.getByte(in.readerIndex()) == Envelope.prefixByte(buffer.writerIndex())) {
            buffer.writeByte(in.readByte());
            consume(1);
            if (buffer.writerIndex() == Envelope.PREFIX_LENGTH) {
                transition(State.ENVELOPE, limits.maxEnvelopeBytes());
            }
            return;
        }
        // Not an envelope, so the bytes held back are payload. As a strict part of the prefix they cannot contain a
        // complete value.
        ByteBuf replayed = buffer.copy();
        frameBytesLeft += replayed.readableBytes();
        emitCall(null);
        while (replayed.isReadable()) {
            forwardValue(replayed);
        }
    }

    /** Forwards the bytes of a payload value to the sink; true once it is complete. */
    private boolean forwardValue(ByteBuf in) throws FormatException {
        int from = in.readerIndex();
        int to = scanner.scan(in, from, in.writerIndex());
        sink.payload(in.slice(from, to - from));
        in.readerIndex(to);
        consume(to - from);
        return scanner.ended();
    }
}
