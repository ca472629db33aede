package onyxpaddle.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;

/** What a listener makes of the requests that come to it. */
public interface RequestDialect {
    /** Reads a head, and says where the request goes; {@code caller}: the address it came from. */
    Taken read(HttpRequest request, InetSocketAddress caller) throws MalformedException;

    /** Whether the request asks the node itself if it is ready. */
    boolean asksReadiness(HttpRequest request);

    /** The longest that any caller here waits, in nanoseconds. */
    long longestPatience();

    /** How long a connection that has never asked for anything stays open, in nanoseconds. */
    long longestSilence();

    /** How long a connection stays open between requests, in nanoseconds. */
    long longestIdle();

    /** The body and headers of an answer that the node gives by itself; {@code retryAfter}: 0 for no advice. */
    String ownAnswer(HttpResponseStatus status, long retryAfter, HttpHeaders headers);
}
