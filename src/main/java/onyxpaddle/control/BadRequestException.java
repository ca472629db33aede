package onyxpaddle.control;

/** A request that is malformed or has invalid parameters; the message is returned to the caller. */
final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1;

    BadRequestException(String message) {
        super(message);
    }
}
