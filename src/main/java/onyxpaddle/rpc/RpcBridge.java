package onyxpaddle.rpc;

import onyxpaddle.node.Answer;
import onyxpaddle.node.Exchange;

/** Lets calls of another protocol go to servers that speak this one. */
public interface RpcBridge {
    /** For calls of this protocol alone. */
    RpcBridge NONE = new RpcBridge() {
        @Override
        public RpcCallHead head(Exchange exchange) {
            return (RpcCallHead) exchange.head;
        }

        @Override
        public Answer answer(Exchange exchange, Answer answer) {
            return answer;
        }
    };

    /** The call as it goes to a server. */
    RpcCallHead head(Exchange exchange);

    /**
     * The answer, whose head is a {@link ReplyHead}, as it goes to the caller; it takes the place of the one given. Null
     * where there is no room for it.
     */
    Answer answer(Exchange exchange, Answer answer);
}
