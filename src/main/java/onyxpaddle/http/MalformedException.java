package onyxpaddle.http;

import io.netty.handler.codec.http.HttpResponseStatus;

/** A head that is turned away; the status says why. */
public final class MalformedException extends Exception {
    private static final long serialVersionUID = 1L;
    final transient HttpResponseStatus status;

    MalformedException(HttpResponseStatus status) {
        super(status.toString(), null, false, false);
        this.status = status;
    }

    static void require(boolean sound) throws MalformedException {
        if (!sound) {
            throw new MalformedException(HttpResponseStatus.BAD_REQUEST);
        }
    }
}
