package onyxpaddle.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import onyxpaddle.node.Metadata;

/** The head of an answer as it goes to the caller, but for the headers that frame its body. */
public record AnswerHead(HttpResponseStatus status, HttpHeaders headers) implements Metadata {
}
