package onyxpaddle.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import onyxpaddle.node.Refusal;

/** How a listener interprets requests: routing, time limits, and the answers that the node gives itself. */
public interface RequestDialect {
    /** Reads a request's head and routes it; {@code caller}: the address it came from. */
    RoutedRequest read(HttpRequest request, InetSocketAddress caller) throws RequestRejectedException;

    /** Whether the request is a readiness check of the node itself. */
    boolean isReadinessCheck(HttpRequest request);

    /** The longest time that any caller of this listener waits, in nanoseconds. */
    long maxCallerTimeout();

    /** How long a new connection may stay open without a request, in nanoseconds. */
    long firstRequestTimeout();

    /** How long a connection may stay open between requests, in nanoseconds. */
    long idleTimeout();

    /**
     * The body of an answer that the node generates itself; its headers are added to {@code headers}. {@code retryAfter}: in
     * nanoseconds, 0 for none.
     */
    String localAnswer(HttpResponseStatus status, long retryAfter, HttpHeaders headers);

    /** The status of a refusal by the pool to which the request was handed. */
    default HttpResponseStatus refusalStatus(Refusal refusal) {
        return HttpResponseStatus.SERVICE_UNAVAILABLE;
    }

    /** The body of such a refusal; headers and {@code retryAfter} as in {@link #localAnswer}. */
    default String refusalAnswer(Refusal refusal, long retryAfter, HttpHeaders headers) {
        return localAnswer(HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfter, headers);
    }
}
