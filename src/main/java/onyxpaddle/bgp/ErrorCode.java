package onyxpaddle.bgp;

/** Codes and subcodes of NOTIFICATION (RFC 4271, 4.5 and 6; RFC 4486; RFC 5492, 5; RFC 6608; RFC 9687). */
public enum ErrorCode {
    NOT_SYNCHRONIZED(1, 1, "connection not synchronized"),
    BAD_LENGTH(1, 2, "bad message length"),
    BAD_TYPE(1, 3, "bad message type"),
    OPEN_UNSPECIFIC(2, 0, "malformed OPEN"),
    VERSION(2, 1, "unsupported version"),
    BAD_AS(2, 2, "bad peer AS"),
    BAD_IDENTIFIER(2, 3, "bad BGP identifier"),
    OPTIONAL_PARAMETER(2, 4, "unsupported optional parameter"),
    HOLD_TIME(2, 6, "unacceptable hold time"),
    CAPABILITY(2, 7, "unsupported capability"),
    ATTRIBUTE_LIST(3, 1, "malformed attribute list"),
    WELL_KNOWN_UNKNOWN(3, 2, "unrecognized well-known attribute"),
    WELL_KNOWN_MISSING(3, 3, "missing well-known attribute"),
    ATTRIBUTE_FLAGS(3, 4, "attribute flags error"),
    ATTRIBUTE_LENGTH(3, 5, "attribute length error"),
    ORIGIN(3, 6, "invalid ORIGIN"),
    NEXT_HOP(3, 8, "invalid NEXT_HOP"),
    OPTIONAL_ATTRIBUTE(3, 9, "optional attribute error"),
    NETWORK_FIELD(3, 10, "invalid network field"),
    AS_PATH(3, 11, "malformed AS_PATH"),
    HOLD_TIMER(4, 0, "hold timer expired"),
    FSM_UNSPECIFIC(5, 0, "unexpected message"),
    FSM_OPEN_SENT(5, 1, "unexpected message in OpenSent"),
    FSM_OPEN_CONFIRM(5, 2, "unexpected message in OpenConfirm"),
    FSM_ESTABLISHED(5, 3, "unexpected message in Established"),
    MAX_PREFIXES(6, 1, "maximum number of prefixes reached"),
    SHUTDOWN(6, 2, "administrative shutdown"),
    DECONFIGURED(6, 3, "peer deconfigured"),
    RESET(6, 4, "administrative reset"),
    REJECTED(6, 5, "connection rejected"),
    CONFIGURATION(6, 6, "other configuration change"),
    COLLISION(6, 7, "connection collision resolution"),
    OUT_OF_RESOURCES(6, 8, "out of resources"),
    ROUTE_REFRESH_LENGTH(7, 1, "invalid ROUTE-REFRESH length"),
    SEND_HOLD_TIMER(8, 0, "send hold timer expired");

    public final int code;
    public final int subcode;
    private final String text;

    ErrorCode(int code, int subcode, String text) {
        this.code = code;
        this.subcode = subcode;
        this.text = text;
    }

    /** A code and subcode in words, as far as they are known. */
    public static String describe(int code, int subcode) {
        for (ErrorCode error : values()) {
            if (error.code == code && error.subcode == subcode) {
                return error.text + " (" + code + "/" + subcode + ")";
            }
        }
        return "error " + code + "/" + subcode;
    }
}
