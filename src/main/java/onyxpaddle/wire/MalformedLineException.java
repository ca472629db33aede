package onyxpaddle.wire;

/** A wire line that is not what the protocol says; the message names the line and what is wrong. */
final class MalformedLineException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedLineException(long line, String wrong) {
        super("line " + line + ": " + wrong);
    }
}
