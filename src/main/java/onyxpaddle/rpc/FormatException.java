package onyxpaddle.rpc;

/**
 * A peer sent bytes that are not MessagePack-RPC or exceed a limit. The connection cannot be resynchronised, as the
 * start of the next frame is unknown.
 */
final class FormatException extends Exception {
    private static final long serialVersionUID = 1;

    FormatException(String message) {
        // No stack trace, so that malformed input from peers stays cheap.
        super(message, null, false, false);
    }
}
