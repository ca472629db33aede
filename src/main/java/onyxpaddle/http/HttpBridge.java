package onyxpaddle.http;

import onyxpaddle.node.Answer;
import onyxpaddle.node.Exchange;

/** Translates requests of another protocol for HTTP servers, and their answers back. */
public interface HttpBridge {
    /** No translation, for pools that only receive HTTP requests. */
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

    /** The head of the HTTP request to send. */
    HttpRequestHead head(Exchange exchange);

    /**
     * Converts an answer, whose head is an {@link AnswerHead}, for the caller. The returned answer replaces the given one;
     * null if the memory for bodies is full.
     */
    Answer answer(Exchange exchange, Answer answer);
}
