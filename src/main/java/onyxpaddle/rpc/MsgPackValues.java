package onyxpaddle.rpc;

import io.netty.buffer.ByteBuf;

/** Looks at values that lie whole in a buffer, for bridges to other protocols. */
public final class MsgPackValues {
    private static final int DEEPEST = 64;

    private MsgPackValues() {
    }

    /** Whether the buffer holds one whole value and nothing else. */
    public static boolean isSingleValue(ByteBuf bytes) {
        MsgPackScanner scanner = new MsgPackScanner(DEEPEST);
        scanner.begin(bytes.readableBytes());
        try {
            return scanner.scan(bytes, bytes.readerIndex(), bytes.writerIndex()) == bytes.writerIndex() && scanner.ended();
        } catch (FormatException e) {
            return false;
        }
    }

    /** How many items the array has that fills the buffer; 0 for an empty buffer; -1 where it holds anything else. */
    public static int arrayLength(ByteBuf bytes) {
        if (!bytes.isReadable()) {
            return 0;
        }
        int at = bytes.readerIndex();
        int first = bytes.getUnsignedByte(at);
        if (!isSingleValue(bytes)) {
            return -1;
        }
        return (first & 0xf0) == 0x90 ? first & 0x0f : first == 0xdc ? bytes.getUnsignedShort(at + 1)
            : first == 0xdd ? (int) bytes.getUnsignedInt(at + 1) : -1;
    }

    /** Whether a reply's error is one that a node gave by itself. */
    public static boolean isNodeError(ByteBuf error) {
        return NodeError.read(error.duplicate()) != null;
    }

    /** Writes an error that stands for an answer of HTTP: {@code {"http": {"status", "type", "body"}}}; the body's bytes follow. */
    public static void writeHttpError(ByteBuf out, int status, String type, int bodyBytes) {
        MsgPackWriter.map(out, 1);
        MsgPackWriter.text(out, "http");
        MsgPackWriter.map(out, 3);
        MsgPackWriter.text(out, "status");
        MsgPackWriter.whole(out, status);
        MsgPackWriter.text(out, "type");
        MsgPackWriter.text(out, type);
        MsgPackWriter.text(out, "body");
        MsgPackWriter.binaryHead(out, bodyBytes);
    }

    /** Writes the head of a binary value of so many bytes. */
    public static void writeBinaryHeader(ByteBuf out, int bytes) {
        MsgPackWriter.binaryHead(out, bytes);
    }

    /** Writes nil. */
    public static void writeNil(ByteBuf out) {
        MsgPackWriter.nil(out);
    }
}
