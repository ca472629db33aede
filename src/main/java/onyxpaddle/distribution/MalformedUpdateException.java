package onyxpaddle.distribution;

import java.io.IOException;

/** Raised for bytes that are not a valid update; the message has the location: {@code update:line:column: path: message}. */
public final class MalformedUpdateException extends IOException {
    private static final long serialVersionUID = 1;

    MalformedUpdateException(String message) {
        super(message);
    }

    MalformedUpdateException(String message, Throwable cause) {
        super(message, cause);
    }
}
