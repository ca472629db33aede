package onyxpaddle.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import onyxpaddle.node.Metadata;

/**
 * The head of a request to a server.
 *
 * @param maxAnswerBytes the maximum size of the answer's body
 * @param mapped the procedure to call on servers that speak MessagePack-RPC; null for none
 * @param caller the caller's IP address, forwarded to servers; null if it is not
 */
public record HttpRequestHead(HttpMethod method, String uri, HttpHeaders headers, long maxAnswerBytes, String caller, String mapped)
        implements Metadata {
    /** The header by which servers recognize repeats of a request. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** The idempotency key; null if the request has none. */
    public String key() {
        return headers.get(IDEMPOTENCY_KEY);
    }

    /** The head of a request that goes to HTTP servers only. */
    public HttpRequestHead(HttpMethod method, String uri, HttpHeaders headers, long maxAnswerBytes, String caller) {
        this(method, uri, headers, maxAnswerBytes, caller, null);
    }
}
