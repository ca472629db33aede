package onyxpaddle.rpc;

import onyxpaddle.node.Metadata;

/**
 * A call's head as it goes to a server. The body beside it is the parameters' array whole, without the envelope.
 *
 * @param params how many parameters there are
 * @param notification no answer is asked for: it is served once the server has it
 * @param envelope what the caller said of it
 * @param mapped the path it is called by where a server speaks HTTP; null for none
 * @param caller whom it came from, in digits
 */
public record RpcCallHead(String method, int params, boolean notification, Envelope envelope, String mapped, String caller)
        implements Metadata {
    public RpcCallHead {
        if (envelope == null) {
            envelope = Envelope.NONE;
        }
    }

    /** A call that came by another protocol; {@code key} may be null. */
    public static RpcCallHead of(String method, int params, String key, boolean retry, String caller) {
        return new RpcCallHead(method, params, false, new Envelope(Double.NaN, key, null, retry, Double.NaN), null, caller);
    }

    /** The key that the caller gave, or null. */
    public String key() {
        return envelope.key();
    }

    /** Whether the caller has tried before. */
    public boolean retry() {
        return envelope.retry();
    }
}
