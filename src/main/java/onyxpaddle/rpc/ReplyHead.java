package onyxpaddle.rpc;

import onyxpaddle.node.Metadata;

/**
 * Head of a reply on its way to a caller. The accompanying body is the error followed by the result.
 *
 * @param errorBytes the length of the error at the start of the body
 * @param failed whether the error is not nil
 */
public record ReplyHead(int errorBytes, boolean failed) implements Metadata {
}
