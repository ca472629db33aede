package onyxpaddle.handover;

import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * What one process of a node tells the other of a request that must run once, so that its id runs in one of them only. On the wire: the
 * kind in one byte, and pool and id, each behind its length in bytes as two bytes, big-endian.
 *
 * @param pool the name of the request's pool
 * @param id the request's id
 */
public record RunMessage(Kind kind, String pool, String id) {
    /** What is told. */
    public enum Kind {
        /** Nothing of a request: the sender understands these messages. */
        HELLO,
        /** An attempt begins, or may have run. */
        MAY_HAVE_RUN,
        /** All attempts have ended, and none of them has run. */
        NEVER_RAN
    }

    static final RunMessage HELLO = new RunMessage(Kind.HELLO, "", "");
    private static final int MAX_LENGTH = 1_024;

    /** Whether it can be written; ids that are longer are none that a client may send. */
    boolean fits() {
        return pool.length() <= MAX_LENGTH / 4 && id.length() <= MAX_LENGTH / 4;
    }

    void write(ByteBuf out) {
        out.writeByte(kind.ordinal());
        writeText(out, pool);
        writeText(out, id);
    }

    private static void writeText(ByteBuf out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeShort(bytes.length).writeBytes(bytes);
    }

    /** Reads the next message; null, with nothing read, if it has not arrived whole. */
    static RunMessage read(ByteBuf in) throws IOException {
        in.markReaderIndex();
        if (!in.isReadable()) {
            return null;
        }
        int kind = in.readUnsignedByte();
        if (kind >= Kind.values().length) {
            throw new IOException("unknown message of kind " + kind);
        }
        String pool = readText(in);
        String id = pool == null ? null : readText(in);
        if (id == null) {
            in.resetReaderIndex();
            return null;
        }
        return new RunMessage(Kind.values()[kind], pool, id);
    }

    private static String readText(ByteBuf in) throws IOException {
        if (in.readableBytes() < Short.BYTES) {
            return null;
        }
        int length = in.readUnsignedShort();
        if (length > MAX_LENGTH) {
            throw new IOException("name of " + length + " bytes, " + MAX_LENGTH + " is the most");
        }
        return in.readableBytes() < length ? null : in.readCharSequence(length, StandardCharsets.UTF_8).toString();
    }
}
