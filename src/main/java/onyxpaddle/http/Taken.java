package onyxpaddle.http;

import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.Exchange.Terms;
import onyxpaddle.node.SharedLimit;

/**
 * A request that has a pool to go to.
 *
 * @param pool whose it is
 * @param bytes the pool's part of the node's memory for bodies
 * @param length the body's length, or -1 where it comes in chunks
 * @param largest the most bytes that its body may have
 */
public record Taken(Dispatcher pool, SharedLimit.Share bytes, Terms terms, HttpHead head, long length, long largest) {
}
