package onyxpaddle.http;

import io.netty.handler.codec.http.HttpResponseStatus;

/** A head that is turned away; the status says why. */
public final class RequestRejectedException extends Exception {
    private static final long serialVersionUID = 1L;
    final transient HttpResponseStatus status;

    RequestRejectedException(HttpResponseStatus status) {
        super(status.toString(), null, false, false);
        this.status = status;
    }

    static void require(boolean sound) throws RequestRejectedException {
        if (!sound) {
            throw new RequestRejectedException(HttpResponseStatus.BAD_REQUEST);
        }
    }
}
