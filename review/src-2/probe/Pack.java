package probe;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The part of MessagePack that the cases need. */
final class Pack {
    private Pack() {
    }

    static byte[] of(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        write(out, value);
        return out.toByteArray();
    }

    private static void write(ByteArrayOutputStream out, Object value) {
        if (value == null) {
            out.write(0xc0);
        } else if (value instanceof Boolean b) {
            out.write(b ? 0xc3 : 0xc2);
        } else if (value instanceof Number n) {
            out.write(0xce);
            for (int shift = 24; shift >= 0; shift -= 8) {
                out.write((int) (n.longValue() >> shift));
            }
        } else if (value instanceof String s) {
            byte[] bytes = s.getBytes(StandardCharsets.UTF_8);
            out.write(0xda);
            out.write(bytes.length >> 8);
            out.write(bytes.length);
            out.writeBytes(bytes);
        } else if (value instanceof List<?> list) {
            out.write(0x90 | list.size());
            list.forEach(each -> write(out, each));
        } else if (value instanceof Map<?, ?> map) {
            out.write(0x80 | map.size());
            map.forEach((key, each) -> {
                // A short key, as in an envelope.
                byte[] bytes = ((String) key).getBytes(StandardCharsets.UTF_8);
                out.write(0xa0 | bytes.length);
                out.writeBytes(bytes);
                write(out, each);
            });
        } else {
            throw new IllegalArgumentException(String.valueOf(value));
        }
    }

    /** Reads a value; null at the end of the stream. */
    static Object read(InputStream in) throws IOException {
        int first = in.read();
        if (first < 0) {
            throw new EOFException("ended");
        }
        DataInputStream data = new DataInputStream(in);
        if (first < 0x80 || first >= 0xe0) {
            return (long) (byte) first;
        } else if (first < 0x90) {
            return map(in, first & 0x0f);
        } else if (first < 0xa0) {
            return list(in, first & 0x0f);
        } else if (first < 0xc0) {
            return text(data, first & 0x1f);
        }
        return switch (first) {
            case 0xc0 -> null;
            case 0xc2 -> false;
            case 0xc3 -> true;
            case 0xcc -> (long) data.readUnsignedByte();
            case 0xcd -> (long) data.readUnsignedShort();
            case 0xce -> data.readInt() & 0xffffffffL;
            case 0xcf, 0xd3 -> data.readLong();
            case 0xcb -> data.readDouble();
            case 0xd0 -> (long) data.readByte();
            case 0xd1 -> (long) data.readShort();
            case 0xd2 -> (long) data.readInt();
            case 0xc4, 0xd9 -> text(data, data.readUnsignedByte());
            case 0xc5, 0xda -> text(data, data.readUnsignedShort());
            case 0xc6, 0xdb -> text(data, data.readInt());
            case 0xdc -> list(in, data.readUnsignedShort());
            case 0xde -> map(in, data.readUnsignedShort());
            default -> throw new IOException("not read here: " + first);
        };
    }

    private static String text(DataInputStream in, int length) throws IOException {
        byte[] bytes = new byte[length];
        in.readFully(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static List<Object> list(InputStream in, int length) throws IOException {
        List<Object> list = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            list.add(read(in));
        }
        return list;
    }

    private static Map<Object, Object> map(InputStream in, int length) throws IOException {
        Map<Object, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < length; i++) {
            map.put(read(in), read(in));
        }
        return map;
    }
}
