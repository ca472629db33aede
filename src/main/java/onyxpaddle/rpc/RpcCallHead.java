package onyxpaddle.rpc;

import onyxpaddle.node.Metadata;

/**
 * Head of a call on its way to a server. The accompanying body is the complete parameter array without the envelope.
 *
 * @param paramCount the number of parameters
 * @param notification no reply is expected; the call is served once it has been sent to a server
 * @param envelope the caller's metadata
 * @param mapped the path of the request if the server speaks HTTP; null if the call cannot be sent by HTTP
 * @param caller the IP address of the caller in text form
 */
public record RpcCallHead(String method, int paramCount, boolean notification, Envelope envelope, String mapped, String caller)
        implements Metadata {
    public RpcCallHead {
        if (envelope == null) {
            envelope = Envelope.NONE;
        }
    }

    /** The head of a request received by another protocol; {@code key} may be null. */
    public static RpcCallHead of(String method, int paramCount, String key, boolean retry, String caller) {
        return new RpcCallHead(method, paramCount, false, new Envelope(Double.NaN, key, null, retry, Double.NaN), null, caller);
    }

    /** The idempotency key; null if the caller gave none. */
    public String key() {
        return envelope.key();
    }

    /** Whether the caller has already tried this call. */
    public boolean retry() {
        return envelope.retry();
    }
}
