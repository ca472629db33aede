package onyxpaddle.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import onyxpaddle.node.Metadata;

/**
 * A request's head as it goes to a server.
 *
 * @param maxAnswerBytes the most bytes its answer's body may have
 * @param mapped the procedure it stands for where a server speaks MessagePack-RPC; null for none
 * @param caller whom it came from, in digits, for the servers to know; null where they aren't told
 */
public record HttpRequestHead(HttpMethod method, String uri, HttpHeaders headers, long maxAnswerBytes, String caller, String mapped)
        implements Metadata {
    /** One that goes to servers of HTTP alone. */
    public HttpRequestHead(HttpMethod method, String uri, HttpHeaders headers, long maxAnswerBytes, String caller) {
        this(method, uri, headers, maxAnswerBytes, caller, null);
    }
}
