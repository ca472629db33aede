package onyxpaddle.bridge;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * An idempotency key as text of MessagePack and as the value of an HTTP header. Both forms have the same bytes, so that servers of both
 * protocols recognize each other's repeats, and distinct keys stay distinct. A key that the other protocol cannot carry has no form there.
 */
public final class KeyForms {
    /** The longest key in an envelope. */
    private static final int MAX_TEXT_BYTES = 256;

    private KeyForms() {
    }

    /**
     * The value of a header with the text's bytes in UTF-8, one char for each byte; null if a header can't carry them: control characters,
     * and blanks at the edges, which belong to no value (RFC 9110, 5.5).
     */
    public static String headerValue(String text) {
        byte[] bytes = encode(text);
        if (bytes == null || bytes.length == 0 || isBlank(bytes[0]) || isBlank(bytes[bytes.length - 1])) {
            return null;
        }
        for (byte b : bytes) {
            if (b != '\t' && b >= 0 && b < ' ' || b == 0x7f) {
                return null;
            }
        }
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    /** The text whose bytes in UTF-8 are those of a header's value; null if they are none, or too many for an envelope. */
    public static String text(String headerValue) {
        byte[] bytes = headerValue.getBytes(StandardCharsets.ISO_8859_1);
        if (bytes.length == 0 || bytes.length > MAX_TEXT_BYTES) {
            return null;
        }
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
        } catch (CharacterCodingException e) {
            return null;
        }
    }

    private static byte[] encode(String text) {
        try {
            ByteBuffer encoded = StandardCharsets.UTF_8.newEncoder().encode(CharBuffer.wrap(text));
            byte[] bytes = new byte[encoded.remaining()];
            encoded.get(bytes);
            return bytes;
        } catch (CharacterCodingException e) {
            // Half of a surrogate pair, which has no bytes.
            return null;
        }
    }

    private static boolean isBlank(byte b) {
        return b == ' ' || b == '\t';
    }
}
