package onyxpaddle.http;

import io.netty.handler.codec.http.HttpResponseStatus;

/** A request is rejected because of its head, with this status. */
public final class RequestRejectedException extends Exception {
    private static final long serialVersionUID = 1L;
    final transient HttpResponseStatus status;

    RequestRejectedException(HttpResponseStatus status) {
        super(status.toString(), null, false, false);
        this.status = status;
    }

    static void require(boolean valid) throws RequestRejectedException {
        if (!valid) {
            throw new RequestRejectedException(HttpResponseStatus.BAD_REQUEST);
        }
    }
}
