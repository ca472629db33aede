package onyxpaddle.http;

import java.util.function.Predicate;
import onyxpaddle.node.Body;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.Exchange.Terms;
import onyxpaddle.node.SharedLimit;

/**
 * A request that was read from its head and assigned to a pool.
 *
 * @param bytes the pool's share of the node's memory for bodies
 * @param length the body's length, or -1 if it is chunked
 * @param maxBodyBytes the maximum size of the body
 * @param maxBufferedBytes the size up to which the body is buffered whole; a larger one, or one that memory has no room for, is
 *     streamed
 * @param mustBuffer never stream the body, as {@code bodyCheck} needs all of it
 * @param bodyCheck whether a complete body is acceptable
 */
public record RoutedRequest(Dispatcher pool, SharedLimit.Share bytes, Terms terms, HttpRequestHead head, long length,
        long maxBodyBytes, long maxBufferedBytes, boolean mustBuffer, Predicate<Body> bodyCheck) {
    /** A request whose body may be streamed and is not checked. */
    public RoutedRequest(Dispatcher pool, SharedLimit.Share bytes, Terms terms, HttpRequestHead head, long length,
            long maxBodyBytes, long maxBufferedBytes) {
        this(pool, bytes, terms, head, length, maxBodyBytes, maxBufferedBytes, false, body -> true);
    }
}
