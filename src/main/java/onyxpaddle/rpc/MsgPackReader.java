package onyxpaddle.rpc;

import io.netty.buffer.ByteBuf;

/** Reads small values that have come whole. Each method takes one value, or says that it is another kind. */
final class MsgPackReader {
    private static final int DEEPEST = 8;

    private final ByteBuf in;
    private final String what;

    /** {@code in}: one value that a {@link MsgPackScanner} has found whole; {@code what}: what people call it. */
    MsgPackReader(ByteBuf in, String what) {
        this.in = in;
        this.what = what;
    }

    private FormatException wrong(String should) {
        return new FormatException(what + ": " + should);
    }

    private int first() {
        return in.getUnsignedByte(in.readerIndex());
    }

    /** The head of a map; the number of its pairs. */
    int map() throws FormatException {
        int first = in.readUnsignedByte();
        if ((first & 0xf0) == 0x80) {
            return first & 0x0f;
        } else if (first == 0xde) {
            return in.readUnsignedShort();
        }
        throw wrong("is a map");
    }

    boolean isMap() {
        return in.isReadable() && ((first() & 0xf0) == 0x80 || first() == 0xde);
    }

    String text(int most) throws FormatException {
        int first = in.readUnsignedByte();
        long length = (first & 0xe0) == 0xa0 ? first & 0x1f : first == 0xd9 ? in.readUnsignedByte()
            : first == 0xda ? in.readUnsignedShort() : first == 0xdb ? in.readUnsignedInt() : -1;
        if (length < 0 || length > most) {
            throw wrong("a text of at most " + most + " bytes is expected");
        }
        String text = FrameDecoder.utf8(in, in.readerIndex(), (int) length, what);
        in.skipBytes((int) length);
        return text;
    }

    boolean flag() throws FormatException {
        int first = in.readUnsignedByte();
        if (first != 0xc2 && first != 0xc3) {
            throw wrong("true or false is expected");
        }
        return first == 0xc3;
    }

    /** An integer or a float. */
    double number() throws FormatException {
        int first = in.readUnsignedByte();
        if (first < 0x80 || first >= 0xe0) {
            return (byte) first;
        }
        return switch (first) {
            case 0xca -> in.readFloat();
            case 0xcb -> in.readDouble();
            case 0xcc -> in.readUnsignedByte();
            case 0xcd -> in.readUnsignedShort();
            case 0xce -> in.readUnsignedInt();
            case 0xcf -> unsigned(in.readLong());
            case 0xd0 -> in.readByte();
            case 0xd1 -> in.readShort();
            case 0xd2 -> in.readInt();
            case 0xd3 -> in.readLong();
            default -> throw wrong("a number is expected");
        };
    }

    private static double unsigned(long bits) {
        return bits >= 0 ? bits : (double) (bits >>> 1) * 2;
    }

    /** Passes over a value of any kind. */
    void skip() throws FormatException {
        MsgPackScanner scanner = new MsgPackScanner(DEEPEST);
        scanner.begin(in.readableBytes());
        in.readerIndex(scanner.scan(in, in.readerIndex(), in.writerIndex()));
        if (!scanner.ended()) {
            throw wrong("is cut short");
        }
    }
}
