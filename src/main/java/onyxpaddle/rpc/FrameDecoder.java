package onyxpaddle.rpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Reads frames of MessagePack-RPC (request {@code [0, msgid, method, params]}, response {@code [1, msgid, error,
 * result]}, notification {@code [2, method, params]}) from bytes in any split. It holds a frame's head alone, which is
 * bounded; the payload passes through as it is. Arrays may be framed in any format and integers in any width, as the
 * specification of MessagePack leaves that to the sender; a msgid must be one of 32 bits unsigned. Text within a payload
 * is not looked at: servers of before 2013 send binary as str.
 */
final class FrameDecoder {
    private static final int MOST_INTEGER = 9;
    private static final long NO_VALUE = -1;
    private static final long MOST_ID = 0xffffffffL;

    private enum State {
        FRAME_HEAD, TYPE, ID, METHOD, PARAMS_HEAD,
        /** The first parameter may be the envelope. */
        MARK,
        ENVELOPE, PARAM, ERROR, RESULT
    }

    private final FrameLimits limits;
    private final FrameSink sink;
    private final MsgPackScanner scanner;
    /** The bytes of the part of the head at hand. */
    private final ByteBuf part;
    private State state = State.FRAME_HEAD;
    private boolean within;
    private int type;
    private long id;
    private String method;
    private int params;
    private int paramsLeft;
    private long frameLeft;

    FrameDecoder(FrameLimits limits, FrameSink sink) {
        this.limits = limits;
        this.sink = sink;
        scanner = new MsgPackScanner(limits.deepest());
        part = Unpooled.wrappedBuffer(new byte[Math.max(limits.method() + 5, limits.envelope() + 16)]).clear();
    }

    /** Whether a frame has begun and not ended. */
    boolean midFrame() {
        return within;
    }

    /** Reads on, as far as the bytes go or until the sink wants no further frame; its reader index shows how far. */
    void feed(ByteBuf in) throws FormatException {
        boolean goOn = true;
        while (goOn && in.isReadable()) {
            if (!within) {
                within = true;
                frameLeft = limits.frame();
            }
            goOn = step(in);
        }
    }

    private boolean step(ByteBuf in) throws FormatException {
        switch (state) {
            case FRAME_HEAD -> {
                if (head(in)) {
                    int items = items();
                    if (items != 3 && items != 4) {
                        throw new FormatException("a frame has 3 or 4 parts, not " + items);
                    }
                    params = items;
                    enter(State.TYPE, MOST_INTEGER);
                }
            }
            case TYPE -> {
                if (gather(in)) {
                    type((int) Math.min(3, integer("a frame's type")));
                }
            }
            case ID -> {
                if (gather(in)) {
                    id = integer("a msgid");
                    if (id > MOST_ID) {
                        throw new FormatException("a msgid is of 32 bits, not " + Long.toUnsignedString(id));
                    }
                    if (type == 0) {
                        enter(State.METHOD, limits.method() + 5);
                    } else {
                        sink.reply(id);
                        enter(State.ERROR, frameLeft);
                    }
                }
            }
            case METHOD -> {
                if (gather(in)) {
                    method = text("a method's name");
                    enter(State.PARAMS_HEAD, NO_VALUE);
                }
            }
            case PARAMS_HEAD -> {
                if (head(in)) {
                    params = items();
                    if (params > frameLeft) {
                        throw new FormatException(params + " parameters are claimed where " + frameLeft
                            + " bytes are allowed");
                    }
                    paramsLeft = params;
                    enter(State.MARK, NO_VALUE);
                    if (params == 0) {
                        announce(null);
                        return ended();
                    }
                }
            }
            case MARK -> mark(in);
            case ENVELOPE -> {
                if (gather(in)) {
                    params--;
                    paramsLeft--;
                    announce(Envelope.read(part));
                    return paramsLeft > 0 || ended();
                }
            }
            case PARAM -> {
                if (pass(in) && --paramsLeft == 0) {
                    return ended();
                } else if (scanner.ended()) {
                    scanner.begin(frameLeft);
                }
            }
            case ERROR -> {
                if (pass(in)) {
                    sink.errorEnded();
                    enter(State.RESULT, frameLeft);
                }
            }
            case RESULT -> {
                if (pass(in)) {
                    return ended();
                }
            }
        }
        return true;
    }

    private void enter(State next, long most) {
        state = next;
        part.clear();
        if (most != NO_VALUE) {
            scanner.begin(Math.min(most, frameLeft));
        }
    }

    private void type(int of) throws FormatException {
        boolean notification = of == 2;
        if (of > 2 || params != (notification ? 3 : 4)) {
            throw new FormatException(of > 2 ? "a frame's type is 0, 1 or 2" : "a frame of type " + of + " has not "
                + params + " parts");
        }
        type = of;
        id = FrameSink.NOTIFICATION;
        if (notification) {
            enter(State.METHOD, limits.method() + 5);
        } else {
            enter(State.ID, MOST_INTEGER);
        }
    }

    /** The call's head is whole. */
    private void announce(Envelope envelope) throws FormatException {
        sink.call(id, method, params, envelope);
        enter(State.PARAM, frameLeft);
    }

    private boolean ended() throws FormatException {
        within = false;
        enter(State.FRAME_HEAD, NO_VALUE);
        return sink.end();
    }

    // ---- parts of the head ----

    private void taken(int count) throws FormatException {
        frameLeft -= count;
        if (frameLeft < 0) {
            throw new FormatException("the frame is longer than allowed");
        }
    }

    /** Gathers the head of an array; true once it is whole. */
    private boolean head(ByteBuf in) throws FormatException {
        part.writeByte(in.readByte());
        taken(1);
        int first = part.getByte(0) & 0xff;
        if ((first & 0xf0) != 0x90 && first != 0xdc && first != 0xdd) {
            throw new FormatException(state == State.FRAME_HEAD ? "a frame is an array" : "parameters are an array");
        }
        return part.writerIndex() == (first == 0xdc ? 3 : first == 0xdd ? 5 : 1);
    }

    private int items() throws FormatException {
        int first = part.getByte(0) & 0xff;
        long items = first == 0xdc ? part.getUnsignedShort(1) : first == 0xdd ? part.getUnsignedInt(1) : first & 0x0f;
        if (items > Integer.MAX_VALUE) {
            throw new FormatException(items + " items are claimed");
        }
        return (int) items;
    }

    /** Gathers one value of the head; true once it is whole. */
    private boolean gather(ByteBuf in) throws FormatException {
        int from = in.readerIndex();
        int to = scanner.scan(in, from, in.writerIndex());
        if (to - from > part.writableBytes()) {
            throw new FormatException("a part of the head is longer than allowed");
        }
        part.writeBytes(in, to - from);
        taken(to - from);
        return scanner.ended();
    }

    private long integer(String of) throws FormatException {
        int first = part.getByte(0) & 0xff;
        long value = first < 0x80 ? first : switch (first) {
            case 0xcc -> part.getUnsignedByte(1);
            case 0xcd -> part.getUnsignedShort(1);
            case 0xce -> part.getUnsignedInt(1);
            case 0xcf, 0xd3 -> part.getLong(1);
            case 0xd0 -> part.getByte(1);
            case 0xd1 -> part.getShort(1);
            case 0xd2 -> part.getInt(1);
            default -> -1;
        };
        if (value < 0) {
            throw new FormatException(of + " is an integer from 0 on");
        }
        return value;
    }

    private String text(String of) throws FormatException {
        int first = part.getByte(0) & 0xff;
        int head = (first & 0xe0) == 0xa0 ? 1 : first == 0xd9 ? 2 : first == 0xda ? 3 : first == 0xdb ? 5 : 0;
        int length = part.writerIndex() - head;
        if (head == 0 || length == 0 || length > limits.method()) {
            throw new FormatException(of + " is a text of 1 to " + limits.method() + " bytes");
        }
        return utf8(part, head, length, of);
    }

    static String utf8(ByteBuf of, int at, int length, String what) throws FormatException {
        byte[] bytes = new byte[length];
        of.getBytes(at, bytes);
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
        } catch (CharacterCodingException e) {
            throw new FormatException(what + " is not UTF-8");
        }
    }

    // ---- payload ----

    /** Compares the first parameter's first bytes with the mark of an envelope, and holds them until it is known. */
    private void mark(ByteBuf in) throws FormatException {
        if (in.getByte(in.readerIndex()) == Envelope.mark(part.writerIndex())) {
            part.writeByte(in.readByte());
            taken(1);
            if (part.writerIndex() == Envelope.MARK_LENGTH) {
                enter(State.ENVELOPE, limits.envelope());
            }
            return;
        }
        // What looked like an envelope's beginning is payload after all. It can't be a whole value yet.
        ByteBuf held = part.copy();
        frameLeft += held.readableBytes();
        announce(null);
        while (held.isReadable()) {
            pass(held);
        }
    }

    /** Passes the payload's value on; true once it is whole. */
    private boolean pass(ByteBuf in) throws FormatException {
        int from = in.readerIndex();
        int to = scanner.scan(in, from, in.writerIndex());
        sink.payload(in.slice(from, to - from));
        in.readerIndex(to);
        taken(to - from);
        return scanner.ended();
    }
}
