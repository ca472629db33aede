package onyxpaddle.bridge;

import io.netty.buffer.ByteBuf;
import onyxpaddle.node.Answer;
import onyxpaddle.node.Body;
import onyxpaddle.node.Metadata;
import onyxpaddle.node.SharedLimit;

/** Replaces an answer by one translated to another protocol. */
final class AnswerReplacement {
    private AnswerReplacement() {
    }

    /** Releases the old answer's body and returns the new answer; null if the memory for bodies is full. */
    static Answer replace(Answer old, Metadata head, ByteBuf bytes, SharedLimit.Share share) {
        old.body().release();
        Body body = new Body(share, bytes.readableBytes(), bytes.readableBytes());
        if (!body.add(bytes)) {
            body.release();
            return null;
        }
        return new Answer(head, body);
    }
}
