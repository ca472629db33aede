package onyxpaddle.control;

/** A control process must not start as it was told to; the message says why and what to do. */
public final class StartRefusedException extends Exception {
    private static final long serialVersionUID = 1;

    StartRefusedException(String message) {
        super(message);
    }
}
