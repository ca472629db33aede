package onyxpaddle.http;

/**
 * How often a kept connection breaks under the request that it is given next, over the node's last uses of kept
 * ones. Guards what must not run twice: a request on a connection that its server, or something on the way, is just
 * closing ends as may-have-run and can't be tried again, so while that happens it goes on a new connection. Should
 * cover servers that keep connections for less long than they say, and middle boxes that drop them. A new connection
 * costs its server work, so it would do harm where kept ones break rarely and servers are near their limit; what may
 * be repeated goes on using kept ones, and so the doubt ends by itself.
 */
final class ReuseFailureRate {
    private static final double STEP = 1.0 / 32;
    /** A handshake is a small part of a call's work, a failed booking is all of it. */
    private static final double TOO_OFTEN = 0.02;
    /** A break so soon after the request speaks of the connection, a later one of the server. */
    static final long SOON = 50_000_000L;

    private double share;

    void used(boolean broke) {
        share += STEP * ((broke ? 1 : 0) - share);
    }

    boolean holds() {
        return share > TOO_OFTEN;
    }
}
