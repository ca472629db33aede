package onyxpaddle.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;

/** What a listener makes of the requests that come to it. */
public interface RequestDialect {
    /** Reads a head, and says where the request goes; {@code caller}: the address it came from. */
    RoutedRequest read(HttpRequest request, InetSocketAddress caller) throws RequestRejectedException;

    /** Whether the request asks the node itself if it is ready. */
    boolean isReadinessCheck(HttpRequest request);

    /** The longest that any caller here waits, in nanoseconds. */
    long maxCallerTimeout();

    /** How long a connection that has never asked for anything stays open, in nanoseconds. */
    long firstRequestTimeout();

    /** How long a connection stays open between requests, in nanoseconds. */
    long idleTimeout();

    /** The body and headers of an answer that the node gives by itself; {@code retryAfter}: 0 for no advice. */
    String localAnswer(HttpResponseStatus status, long retryAfter, HttpHeaders headers);
}
