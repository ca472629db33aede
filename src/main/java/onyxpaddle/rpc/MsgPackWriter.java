package onyxpaddle.rpc;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Writes values in the shortest format of the MessagePack specification (revision of 2013, section "Formats"). */
final class MsgPackWriter {
    static final int NIL = 0xc0;
    private static final int FALSE = 0xc2;
    private static final int TRUE = 0xc3;
    private static final int BIN8 = 0xc4;
    private static final int BIN16 = 0xc5;
    private static final int BIN32 = 0xc6;
    private static final int FLOAT64 = 0xcb;
    private static final int UINT8 = 0xcc;
    private static final int UINT16 = 0xcd;
    private static final int UINT32 = 0xce;
    private static final int UINT64 = 0xcf;
    private static final int STR8 = 0xd9;
    private static final int STR16 = 0xda;
    private static final int STR32 = 0xdb;
    private static final int ARRAY16 = 0xdc;
    private static final int ARRAY32 = 0xdd;
    private static final int FIXMAP = 0x80;
    private static final int FIXARRAY = 0x90;
    private static final int FIXSTR = 0xa0;

    private MsgPackWriter() {
    }

    static void writeNil(ByteBuf out) {
        out.writeByte(NIL);
    }

    static void writeBoolean(ByteBuf out, boolean value) {
        out.writeByte(value ? TRUE : FALSE);
    }

    /** Writes an integer that is not negative. */
    static void writeUnsigned(ByteBuf out, long value) {
        if (value < 0x80) {
            out.writeByte((int) value);
        } else if (value < 0x100) {
            out.writeByte(UINT8).writeByte((int) value);
        } else if (value < 0x10000) {
            out.writeByte(UINT16).writeShort((int) value);
        } else if (value < 0x100000000L) {
            out.writeByte(UINT32).writeInt((int) value);
        } else {
            out.writeByte(UINT64).writeLong(value);
        }
    }

    static void writeDouble(ByteBuf out, double value) {
        out.writeByte(FLOAT64).writeDouble(value);
    }

    /** Writes the header of an array. */
    static void writeArrayHeader(ByteBuf out, int items) {
        if (items < 16) {
            out.writeByte(FIXARRAY | items);
        } else if (items < 0x10000) {
            out.writeByte(ARRAY16).writeShort(items);
        } else {
            out.writeByte(ARRAY32).writeInt(items);
        }
    }

    /** Writes the header of a map with at most 15 pairs. */
    static void writeMapHeader(ByteBuf out, int pairs) {
        out.writeByte(FIXMAP | pairs);
    }

    static void writeString(ByteBuf out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        writeStringHeader(out, bytes.length);
        out.writeBytes(bytes);
    }

    /** Writes the header of a str. */
    static void writeStringHeader(ByteBuf out, int bytes) {
        if (bytes < 32) {
            out.writeByte(FIXSTR | bytes);
        } else if (bytes < 0x100) {
            out.writeByte(STR8).writeByte(bytes);
        } else if (bytes < 0x10000) {
            out.writeByte(STR16).writeShort(bytes);
        } else {
            out.writeByte(STR32).writeInt(bytes);
        }
    }

    /** Writes the header of a bin. */
    static void writeBinaryHeader(ByteBuf out, int bytes) {
        if (bytes < 0x100) {
            out.writeByte(BIN8).writeByte(bytes);
        } else if (bytes < 0x10000) {
            out.writeByte(BIN16).writeShort(bytes);
        } else {
            out.writeByte(BIN32).writeInt(bytes);
        }
    }
}
