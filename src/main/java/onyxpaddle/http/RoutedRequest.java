package onyxpaddle.http;

import java.util.function.Predicate;
import onyxpaddle.node.Body;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.Exchange.Terms;
import onyxpaddle.node.SharedLimit;

/**
 * A request that has a pool to go to.
 *
 * @param pool whose it is
 * @param bytes the pool's part of the node's memory for bodies
 * @param length the body's length, or -1 where it comes in chunks
 * @param sound whether a body that has come whole is one that can be sent on
 * @param largest the most bytes that its body may have
 * @param held the most bytes of it that are held whole; what is larger, or has no room, is passed on as it comes
 * @param whole whether it must be held whole all the same: what it is can't be told from a part
 */
public record RoutedRequest(Dispatcher pool, SharedLimit.Share bytes, Terms terms, HttpRequestHead head, long length, long largest,
        long held, boolean whole, Predicate<Body> sound) {
    /** One whose body may be anything. */
    public RoutedRequest(Dispatcher pool, SharedLimit.Share bytes, Terms terms, HttpRequestHead head, long length, long largest, long held) {
        this(pool, bytes, terms, head, length, largest, held, false, body -> true);
    }
}
