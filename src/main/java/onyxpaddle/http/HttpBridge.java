package onyxpaddle.http;

import onyxpaddle.node.Answer;
import onyxpaddle.node.Exchange;

/** Lets requests of another protocol go to servers that speak this one. */
public interface HttpBridge {
    /** For requests of this protocol alone. */
    HttpBridge NONE = new HttpBridge() {
        @Override
        public HttpRequestHead head(Exchange exchange) {
            return (HttpRequestHead) exchange.head;
        }

        @Override
        public Answer answer(Exchange exchange, Answer answer) {
            return answer;
        }
    };

    /** The request as it goes to a server. */
    HttpRequestHead head(Exchange exchange);

    /**
     * The answer, whose head is an {@link AnswerHead}, as it goes to the caller; it takes the place of the one given. Null
     * where there is no room for it.
     */
    Answer answer(Exchange exchange, Answer answer);
}
