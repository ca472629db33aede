package onyxpaddle.rpc;

import onyxpaddle.node.Metadata;

/**
 * A reply as it goes to a caller; the body beside it is its error and its result, one behind the other.
 *
 * @param errorBytes how many of the body's bytes are the error
 * @param failed the error is not nil
 */
public record ReplyHead(int errorBytes, boolean failed) implements Metadata {
}
