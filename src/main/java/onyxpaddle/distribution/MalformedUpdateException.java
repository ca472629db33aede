package onyxpaddle.distribution;

import java.io.IOException;

/** Bytes that are no update; the message says where and why: {@code update:line:column: path: what is wrong}. */
public final class MalformedUpdateException extends IOException {
    private static final long serialVersionUID = 1;

    MalformedUpdateException(String message) {
        super(message);
    }

    MalformedUpdateException(String message, Throwable cause) {
        super(message, cause);
    }
}
