package onyxpaddle.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import onyxpaddle.node.Metadata;

/**
 * The head of an answer as it goes to the caller, but for the headers that frame its body.
 *
 * @param bodiless there is no body by the nature of the answer, and its headers stay as they are: a Content-Length
 *     among them speaks of the body that another request would have had
 */
public record AnswerHead(HttpResponseStatus status, HttpHeaders headers, boolean bodiless) implements Metadata {
}
