package onyxpaddle.rpc;

/** What a peer sent is not MessagePack-RPC, or goes beyond a bound; where the next frame would begin can't be known. */
final class FormatException extends Exception {
    private static final long serialVersionUID = 1;

    FormatException(String wrong) {
        // What peers send costs no stack trace.
        super(wrong, null, false, false);
    }
}
