package onyxpaddle.rpc;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Metadata that a caller may attach to a call, as HTTP callers do in headers. The first parameter is a map with the
 * single key {@code lupinmount}, whose value is a map with any of the keys below. Unknown keys are ignored.
 *
 * @param expires how long the caller waits, in milliseconds; NaN if not given
 * @param key idempotency key, the same for each repetition of a call; null if not given
 * @param tenant the tenant on whose behalf the call is made; null if not given
 * @param retry whether the caller has already tried this call
 * @param worth the fraction of the worth of its class that the call has, from 0 to 1; NaN if not given
 */
record Envelope(double expires, String key, String tenant, boolean retry, double worth) {
    static final String NAME = "lupinmount";
    static final Envelope NONE = new Envelope(Double.NaN, null, null, false, Double.NaN);
    private static final int MAX_TEXT_BYTES = 256;
    private static final byte[] PREFIX = prefix();
    static final int PREFIX_LENGTH = PREFIX.length;

    private static byte[] prefix() {
        byte[] name = NAME.getBytes(StandardCharsets.US_ASCII);
        byte[] prefix = new byte[name.length + 2];
        prefix[0] = (byte) 0x81;
        prefix[1] = (byte) (0xa0 | name.length);
        System.arraycopy(name, 0, prefix, 2, name.length);
        return prefix;
    }

    /** A byte of the prefix with which every envelope begins: a map of one pair with the key {@link #NAME}. */
    static byte prefixByte(int index) {
        return PREFIX[index];
    }

    /** Reads the value under {@link #NAME} from a buffer that holds all of it. */
    static Envelope read(ByteBuf in) throws FormatException {
        MsgPackReader value = new MsgPackReader(in, "envelope");
        int pairs = value.readMapHeader();
        double expires = Double.NaN;
        String key = null;
        String tenant = null;
        boolean retry = false;
        double worth = Double.NaN;
        for (int i = 0; i < pairs; i++) {
            switch (value.readString(MAX_TEXT_BYTES)) {
                case "expires" -> expires = checkRange(value.readNumber(), Double.MAX_VALUE, "expires");
                case "key" -> key = value.readString(MAX_TEXT_BYTES);
                case "tenant" -> tenant = value.readString(MAX_TEXT_BYTES);
                case "retry" -> retry = value.readBoolean();
                case "worth" -> worth = checkRange(value.readNumber(), 1, "worth");
                default -> value.skip();
            }
        }
        return new Envelope(expires, key == null || key.isEmpty() ? null : key, tenant, retry, worth);
    }

    private static double checkRange(double value, double max, String name) throws FormatException {
        if (!(value >= 0 && value <= max)) {
            throw new FormatException("envelope: " + name + " must be a number of at least 0"
                + (max == Double.MAX_VALUE ? "" : " and at most " + (int) max));
        }
        return value;
    }

    /** Writes the envelope as a first parameter. */
    void write(ByteBuf out) {
        out.writeBytes(PREFIX);
        int pairs = (Double.isNaN(expires) ? 0 : 1) + (key == null ? 0 : 1) + (tenant == null ? 0 : 1) + (retry ? 1 : 0)
            + (Double.isNaN(worth) ? 0 : 1);
        MsgPackWriter.writeMapHeader(out, pairs);
        if (!Double.isNaN(expires)) {
            MsgPackWriter.writeString(out, "expires");
            MsgPackWriter.writeUnsigned(out, (long) expires);
        }
        if (key != null) {
            MsgPackWriter.writeString(out, "key");
            MsgPackWriter.writeString(out, key);
        }
        if (tenant != null) {
            MsgPackWriter.writeString(out, "tenant");
            MsgPackWriter.writeString(out, tenant);
        }
        if (retry) {
            MsgPackWriter.writeString(out, "retry");
            MsgPackWriter.writeBoolean(out, true);
        }
        if (!Double.isNaN(worth)) {
            MsgPackWriter.writeString(out, "worth");
            MsgPackWriter.writeDouble(out, worth);
        }
    }
}
