package onyxpaddle.bridge;

import io.netty.buffer.ByteBuf;
import onyxpaddle.node.Answer;
import onyxpaddle.node.Body;
import onyxpaddle.node.Metadata;
import onyxpaddle.node.SharedLimit;

/** Puts one answer in the place of another. */
final class AnswerReplacement {
    private AnswerReplacement() {
    }

    /** The new answer, with the old one's body released; null where the memory for bodies has no room for it. */
    static Answer by(Answer old, Metadata head, ByteBuf bytes, SharedLimit.Share share) {
        old.body().release();
        Body body = new Body(share, bytes.readableBytes(), bytes.readableBytes());
        if (!body.add(bytes)) {
            body.release();
            return null;
        }
        return new Answer(head, body);
    }
}
