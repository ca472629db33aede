package onyxpaddle.bgp;

import onyxpaddle.bgp.BgpMessage.Notification;

/** A protocol error that ends the session with the given NOTIFICATION. */
public final class BgpException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Notification notification;

    BgpException(ErrorCode error, byte... data) {
        super(ErrorCode.describe(error.code, error.subcode));
        notification = new Notification(error, data);
    }

    public Notification notification() {
        return notification;
    }
}
