package onyxpaddle.rpc;

import io.netty.buffer.ByteBuf;

/** Looks at values that lie whole in a buffer, for bridges to other protocols. */
public final class Values {
    private static final int DEEPEST = 64;

    private Values() {
    }

    /** Whether the buffer holds one whole value and nothing else. */
    public static boolean whole(ByteBuf bytes) {
        ValueScanner scanner = new ValueScanner(DEEPEST);
        scanner.begin(bytes.readableBytes());
        try {
            return scanner.scan(bytes, bytes.readerIndex(), bytes.writerIndex()) == bytes.writerIndex() && scanner.ended();
        } catch (FormatException e) {
            return false;
        }
    }

    /** How many items the array has that fills the buffer; 0 for an empty buffer; -1 where it holds anything else. */
    public static int items(ByteBuf bytes) {
        if (!bytes.isReadable()) {
            return 0;
        }
        int at = bytes.readerIndex();
        int first = bytes.getUnsignedByte(at);
        if (!whole(bytes)) {
            return -1;
        }
        return (first & 0xf0) == 0x90 ? first & 0x0f : first == 0xdc ? bytes.getUnsignedShort(at + 1)
            : first == 0xdd ? (int) bytes.getUnsignedInt(at + 1) : -1;
    }

    /** Whether a reply's error is one that a node gave by itself. */
    public static boolean isOwnError(ByteBuf error) {
        return OwnError.read(error.duplicate()) != null;
    }

    /** Writes an error that stands for an answer of HTTP: {@code {"http": {"status", "type", "body"}}}; the body's bytes follow. */
    public static void httpError(ByteBuf out, int status, String type, int bodyBytes) {
        MsgPack.map(out, 1);
        MsgPack.text(out, "http");
        MsgPack.map(out, 3);
        MsgPack.text(out, "status");
        MsgPack.whole(out, status);
        MsgPack.text(out, "type");
        MsgPack.text(out, type);
        MsgPack.text(out, "body");
        MsgPack.binaryHead(out, bodyBytes);
    }

    /** Writes the head of a binary value of so many bytes. */
    public static void binaryHead(ByteBuf out, int bytes) {
        MsgPack.binaryHead(out, bytes);
    }

    /** Writes nil. */
    public static void nil(ByteBuf out) {
        MsgPack.nil(out);
    }
}
