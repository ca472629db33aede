package onyxpaddle.rpc;

import io.netty.buffer.ByteBuf;
import java.util.Locale;
import onyxpaddle.node.Refusal;

/**
 * An error that a node generates itself, as opposed to one of an application: a map with the single key {@code
 * lupinmount}, whose value is a map with {@code code}, {@code message} and, if there is advice on when to retry,
 * {@code retry_after} in milliseconds. An application that refuses calls without executing them reports {@code
 * refused} in the same form.
 *
 * @param retryAfter in milliseconds; 0 for no advice
 */
record NodeError(Code code, String message, long retryAfter) {
    private static final int MAX_TEXT_BYTES = 1024;

    /** Why the call has no result of an application. */
    enum Code {
        /** It never ran; a retry is safe. */
        REFUSED("refused, and never run: trying again is harmless"),
        /** It is not known whether it ran. */
        FAILED("no server gave an answer; whether one acted on the call is not known"),
        /** No answer arrived in time; it is not known whether it ran. */
        LATE("no answer in time; whether a server acted on the call is not known"),
        /** The node has no route for the method. It never ran. */
        NO_METHOD("no route for this method"),
        /** The node does not accept such a call. It never ran. */
        REJECTED("not a call that this node takes"),
        /** The parameters exceed the limit of the route. It never ran. */
        TOO_LARGE("the parameters are larger than this route takes");

        final String defaultMessage;

        Code(String defaultMessage) {
            this.defaultMessage = defaultMessage;
        }

        String wireName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        static Code of(String wireName) {
            for (Code code : values()) {
                if (code.wireName().equals(wireName)) {
                    return code;
                }
            }
            return null;
        }
    }

    /** The error for a call that the pool refuses. Only one that never ran is {@link Code#REFUSED}, which other nodes rely on. */
    static NodeError of(Refusal refusal, long retryAfterMillis) {
        return switch (refusal) {
            case NEVER_RAN -> new NodeError(Code.REFUSED, Code.REFUSED.defaultMessage, retryAfterMillis);
            case REPEATABLE -> new NodeError(Code.FAILED,
                "no server gave an answer, and one may have acted on the call: trying again is harmless", retryAfterMillis);
            case REPEATABLE_WITH_KEY -> new NodeError(Code.FAILED,
                "no server gave an answer, and one may have acted on the call: trying again with the same key is harmless", retryAfterMillis);
            case MAY_RUN_TWICE -> of(Code.FAILED);
        };
    }

    static NodeError of(Code code) {
        return new NodeError(code, code.defaultMessage, 0);
    }

    void write(ByteBuf out) {
        MsgPackWriter.writeMapHeader(out, 1);
        MsgPackWriter.writeString(out, Envelope.NAME);
        MsgPackWriter.writeMapHeader(out, retryAfter > 0 ? 3 : 2);
        MsgPackWriter.writeString(out, "code");
        MsgPackWriter.writeString(out, code.wireName());
        MsgPackWriter.writeString(out, "message");
        MsgPackWriter.writeString(out, message);
        if (retryAfter > 0) {
            MsgPackWriter.writeString(out, "retry_after");
            MsgPackWriter.writeUnsigned(out, retryAfter);
        }
    }

    /** Parses the complete error of a reply; null if it is an error of an application. */
    static NodeError read(ByteBuf error) {
        MsgPackReader value = new MsgPackReader(error, "error");
        try {
            if (!value.isMap() || value.readMapHeader() != 1 || !value.readString(MAX_TEXT_BYTES).equals(Envelope.NAME)) {
                return null;
            }
            Code code = null;
            String message = "";
            double retryAfter = 0;
            int pairs = value.readMapHeader();
            for (int i = 0; i < pairs; i++) {
                switch (value.readString(MAX_TEXT_BYTES)) {
                    case "code" -> code = Code.of(value.readString(MAX_TEXT_BYTES));
                    case "message" -> message = value.readString(MAX_TEXT_BYTES);
                    case "retry_after" -> retryAfter = value.readNumber();
                    default -> value.skip();
                }
            }
            return code == null ? null : new NodeError(code, message, (long) Math.max(0, retryAfter));
        } catch (FormatException | IndexOutOfBoundsException e) {
            // An error of an application, which may be any value.
            return null;
        }
    }
}
