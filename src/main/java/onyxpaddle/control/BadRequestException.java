package onyxpaddle.control;

/** A call that makes no sense; the message is for whoever called. */
final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1;

    BadRequestException(String message) {
        super(message);
    }
}
