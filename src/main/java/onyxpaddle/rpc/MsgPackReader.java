package onyxpaddle.rpc;

import io.netty.buffer.ByteBuf;

/**
 * Reads small values from a buffer that holds them completely. Each method reads one value and throws if it is of
 * another type.
 */
final class MsgPackReader {
    private static final int MAX_DEPTH = 8;

    private final ByteBuf in;
    private final String name;

    /**
     * @param in a single value that a {@link MsgPackScanner} has found to be complete
     * @param name what the value is called in error messages
     */
    MsgPackReader(ByteBuf in, String name) {
        this.in = in;
        this.name = name;
    }

    private FormatException invalid(String problem) {
        return new FormatException(name + ": " + problem);
    }

    private int peek() {
        return in.getUnsignedByte(in.readerIndex());
    }

    /** Reads the header of a map and returns the number of pairs. */
    int readMapHeader() throws FormatException {
        int first = in.readUnsignedByte();
        if ((first & 0xf0) == 0x80) {
            return first & 0x0f;
        } else if (first == 0xde) {
            return in.readUnsignedShort();
        }
        throw invalid("expected a map");
    }

    boolean isMap() {
        return in.isReadable() && ((peek() & 0xf0) == 0x80 || peek() == 0xde);
    }

    String readString(int maxBytes) throws FormatException {
        int first = in.readUnsignedByte();
        long length = (first & 0xe0) == 0xa0 ? first & 0x1f : first == 0xd9 ? in.readUnsignedByte()
            : first == 0xda ? in.readUnsignedShort() : first == 0xdb ? in.readUnsignedInt() : -1;
        if (length < 0 || length > maxBytes) {
            throw invalid("expected a string of at most " + maxBytes + " bytes");
        }
        String value = FrameDecoder.utf8(in, in.readerIndex(), (int) length, name);
        in.skipBytes((int) length);
        return value;
    }

    boolean readBoolean() throws FormatException {
        int first = in.readUnsignedByte();
        if (first != 0xc2 && first != 0xc3) {
            throw invalid("expected a boolean");
        }
        return first == 0xc3;
    }

    /** Reads an integer or a float. */
    double readNumber() throws FormatException {
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
            case 0xcf -> unsignedToDouble(in.readLong());
            case 0xd0 -> in.readByte();
            case 0xd1 -> in.readShort();
            case 0xd2 -> in.readInt();
            case 0xd3 -> in.readLong();
            default -> throw invalid("expected a number");
        };
    }

    private static double unsignedToDouble(long bits) {
        return bits >= 0 ? bits : (double) (bits >>> 1) * 2;
    }

    /** Skips a value of any type. */
    void skip() throws FormatException {
        MsgPackScanner scanner = new MsgPackScanner(MAX_DEPTH);
        scanner.begin(in.readableBytes());
        in.readerIndex(scanner.scan(in, in.readerIndex(), in.writerIndex()));
        if (!scanner.ended()) {
            throw invalid("value is truncated");
        }
    }
}
