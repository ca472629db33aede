package onyxpaddle.http;

import io.netty.handler.codec.http.HttpRequest;

/** What a listener makes of the requests that come to it. */
public interface RequestDialect {
    /** Reads a head, and says where the request goes. */
    Taken read(HttpRequest request) throws MalformedException;

    /** Whether the request asks the node itself if it is ready. */
    boolean asksReadiness(HttpRequest request);

    /** The longest that any caller here waits, in nanoseconds. */
    long longestPatience();
}
