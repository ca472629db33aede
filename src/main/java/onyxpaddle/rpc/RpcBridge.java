package onyxpaddle.rpc;

import onyxpaddle.node.Answer;
import onyxpaddle.node.Exchange;

/** Converts requests of another protocol for servers that speak MessagePack-RPC, and their replies. */
public interface RpcBridge {
    /** Passes MessagePack-RPC calls through unchanged. */
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

    /** The head of the call to send to a server. */
    RpcCallHead head(Exchange exchange);

    /**
     * Converts a reply, whose head is a {@link ReplyHead}, to an answer for the caller.
     *
     * @return the answer, which replaces the one given; null if there is no memory for it
     */
    Answer answer(Exchange exchange, Answer answer);
}
