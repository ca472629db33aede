package onyxpaddle.rpc;

import io.netty.buffer.ByteBuf;
import java.util.Locale;

/**
 * An error that a node gives by itself, in place of an application's: a map with the one key {@code lupinmount}, whose
 * value is a map with {@code code}, {@code message} and, where there is advice, {@code retry_after} in milliseconds. An
 * application that turns calls away unseen says so with {@code refused} in the same form.
 *
 * @param retryAfter in milliseconds; 0 for no advice
 */
record NodeError(Code code, String message, long retryAfter) {
    private static final int LONGEST_TEXT = 1024;

    /** What befell the call. */
    enum Code {
        /** It never ran: trying again is harmless. */
        REFUSED("refused, and never run: trying again is harmless"),
        /** Whether it ran is not known. */
        FAILED("no server gave an answer; whether one acted on the call is not known"),
        /** No answer came in time; whether it ran is not known. */
        LATE("no answer in time; whether a server acted on the call is not known"),
        /** The node routes no such method. It never ran. */
        NO_METHOD("no route for this method"),
        /** The call is not one that the node takes. It never ran. */
        REJECTED("not a call that this node takes"),
        /** Its parameters have more bytes than the route takes. It never ran. */
        TOO_LARGE("the parameters are larger than this route takes");

        final String usual;

        Code(String usual) {
            this.usual = usual;
        }

        String word() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        static Code of(String word) {
            for (Code code : values()) {
                if (code.word().equals(word)) {
                    return code;
                }
            }
            return null;
        }
    }

    static NodeError of(Code code) {
        return new NodeError(code, code.usual, 0);
    }

    void write(ByteBuf out) {
        MsgPackWriter.map(out, 1);
        MsgPackWriter.text(out, Envelope.NAME);
        MsgPackWriter.map(out, retryAfter > 0 ? 3 : 2);
        MsgPackWriter.text(out, "code");
        MsgPackWriter.text(out, code.word());
        MsgPackWriter.text(out, "message");
        MsgPackWriter.text(out, message);
        if (retryAfter > 0) {
            MsgPackWriter.text(out, "retry_after");
            MsgPackWriter.whole(out, retryAfter);
        }
    }

    /** Reads one from a reply's error, which has come whole; null where the error is an application's own. */
    static NodeError read(ByteBuf error) {
        MsgPackReader value = new MsgPackReader(error, "the error");
        try {
            if (!value.isMap() || value.map() != 1 || !value.text(LONGEST_TEXT).equals(Envelope.NAME)) {
                return null;
            }
            Code code = null;
            String message = "";
            double retryAfter = 0;
            int pairs = value.map();
            for (int i = 0; i < pairs; i++) {
                switch (value.text(LONGEST_TEXT)) {
                    case "code" -> code = Code.of(value.text(LONGEST_TEXT));
                    case "message" -> message = value.text(LONGEST_TEXT);
                    case "retry_after" -> retryAfter = value.number();
                    default -> value.skip();
                }
            }
            return code == null ? null : new NodeError(code, message, (long) Math.max(0, retryAfter));
        } catch (FormatException | IndexOutOfBoundsException e) {
            // It only looked like one: an application's error may be any value.
            return null;
        }
    }
}
