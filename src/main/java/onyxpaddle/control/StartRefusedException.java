package onyxpaddle.control;

/** A control process must not start with its settings and state; the message says why and what to do. */
public final class StartRefusedException extends Exception {
    private static final long serialVersionUID = 1;

    StartRefusedException(String message) {
        super(message);
    }
}
