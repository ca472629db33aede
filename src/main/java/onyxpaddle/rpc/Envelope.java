package onyxpaddle.rpc;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * What a caller may say of a call, as HTTP callers do in headers: the first parameter is a map with the one key {@code
 * lupinmount}, whose value is a map of any of these. Keys that aren't known are passed over.
 *
 * @param expires how long the caller waits, in milliseconds; NaN where it doesn't say
 * @param key the same for each repeat of a call; null for none
 * @param tenant whose call it is; null where it doesn't say
 * @param retry whether the caller has tried before
 * @param worth the part of the class's worth that the call has, from 0 to 1; NaN where it doesn't say
 */
record Envelope(double expires, String key, String tenant, boolean retry, double worth) {
    static final String NAME = "lupinmount";
    static final Envelope NONE = new Envelope(Double.NaN, null, null, false, Double.NaN);
    private static final int LONGEST_TEXT = 256;
    private static final byte[] MARK = mark();
    static final int MARK_LENGTH = MARK.length;

    private static byte[] mark() {
        byte[] name = NAME.getBytes(StandardCharsets.US_ASCII);
        byte[] mark = new byte[name.length + 2];
        mark[0] = (byte) 0x81;
        mark[1] = (byte) (0xa0 | name.length);
        System.arraycopy(name, 0, mark, 2, name.length);
        return mark;
    }

    /** The byte at that place of how an envelope begins: a map of one pair whose key is the name. */
    static byte mark(int at) {
        return MARK[at];
    }

    /** Reads the value under the name, which has come whole. */
    static Envelope read(ByteBuf in) throws FormatException {
        MsgPackReader value = new MsgPackReader(in, "the envelope");
        int pairs = value.map();
        double expires = Double.NaN;
        String key = null;
        String tenant = null;
        boolean retry = false;
        double worth = Double.NaN;
        for (int i = 0; i < pairs; i++) {
            switch (value.text(LONGEST_TEXT)) {
                case "expires" -> expires = within(value.number(), Double.MAX_VALUE, "expires");
                case "key" -> key = value.text(LONGEST_TEXT);
                case "tenant" -> tenant = value.text(LONGEST_TEXT);
                case "retry" -> retry = value.flag();
                case "worth" -> worth = within(value.number(), 1, "worth");
                default -> value.skip();
            }
        }
        return new Envelope(expires, key == null || key.isEmpty() ? null : key, tenant, retry, worth);
    }

    private static double within(double value, double most, String name) throws FormatException {
        if (!(value >= 0 && value <= most)) {
            throw new FormatException("the envelope: " + name + " is a number from 0"
                + (most == Double.MAX_VALUE ? "" : " to " + (int) most));
        }
        return value;
    }

    /** Writes it as a first parameter. */
    void write(ByteBuf out) {
        out.writeBytes(MARK);
        int pairs = (Double.isNaN(expires) ? 0 : 1) + (key == null ? 0 : 1) + (tenant == null ? 0 : 1) + (retry ? 1 : 0)
            + (Double.isNaN(worth) ? 0 : 1);
        MsgPackWriter.map(out, pairs);
        if (!Double.isNaN(expires)) {
            MsgPackWriter.text(out, "expires");
            MsgPackWriter.whole(out, (long) expires);
        }
        if (key != null) {
            MsgPackWriter.text(out, "key");
            MsgPackWriter.text(out, key);
        }
        if (tenant != null) {
            MsgPackWriter.text(out, "tenant");
            MsgPackWriter.text(out, tenant);
        }
        if (retry) {
            MsgPackWriter.text(out, "retry");
            MsgPackWriter.flag(out, true);
        }
        if (!Double.isNaN(worth)) {
            MsgPackWriter.text(out, "worth");
            MsgPackWriter.number(out, worth);
        }
    }
}
