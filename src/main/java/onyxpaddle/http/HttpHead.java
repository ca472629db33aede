package onyxpaddle.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import onyxpaddle.node.Metadata;

/** A request's head as it goes to a server; {@code largestAnswer}: the most bytes its answer's body may have. */
public record HttpHead(HttpMethod method, String uri, HttpHeaders headers, long largestAnswer) implements Metadata {
}
