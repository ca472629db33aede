package onyxpaddle.bgp;

import onyxpaddle.bgp.BgpMessage.Notification;

/** What came is at fault so that the session ends, with this NOTIFICATION. */
public final class BgpException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Notification notification;

    BgpException(ErrorCode error, byte... data) {
        super(ErrorCode.told(error.code, error.subcode));
        notification = new Notification(error, data);
    }

    public Notification notification() {
        return notification;
    }
}
