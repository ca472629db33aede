package onyxpaddle.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import onyxpaddle.node.Metadata;

/**
 * The head of an answer as it goes to the caller, without the headers that frame its body.
 *
 * @param bodiless the answer never has a body (a HEAD request, 204 or 304) and its headers are kept unchanged: a
 *     Content-Length among them is that of the body which a GET would have returned
 */
public record AnswerHead(HttpResponseStatus status, HttpHeaders headers, boolean bodiless) implements Metadata {
}
