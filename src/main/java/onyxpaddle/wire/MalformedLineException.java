package onyxpaddle.wire;

/** A wire line that violates the protocol; the message has the line number and the problem. */
final class MalformedLineException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedLineException(long line, String problem) {
        super("line " + line + ": " + problem);
    }
}
