package onyxpaddle.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.net.SocketAddress;
import onyxpaddle.BalancerApi.Outcome;

/** Builds the request headers for a pool's servers and classifies their answers. */
public interface UpstreamDialect {
    /**
     * The outcome of an attempt by its answer's head; {@code forwarded} is the head that goes to the caller with the body,
     * null if the answer is not forwarded.
     */
    record Classification(Outcome outcome, AnswerHead forwarded) {
    }

    /**
     * The headers of a request to a server. {@code length}: of the body in bytes, -1 if it is sent chunked; {@code nanosLeft}:
     * the time left to answer.
     */
    HttpHeaders requestHeaders(HttpRequestHead head, long length, SocketAddress server, long nanosLeft);

    /**
     * How long a server may send nothing of an answer that is being streamed, in nanoseconds; {@code late}: the request's
     * deadline has passed. Does not apply while the caller does not read the body.
     */
    default long stallTimeout(boolean late) {
        return ServerConnection.STALL_TIMEOUT_NANOS;
    }

    Classification classify(HttpMethod method, HttpResponse response);

    /** Whether the head defines where the body ends, so that a truncated answer cannot be taken for a complete one. */
    boolean isDelimited(HttpMethod method, HttpResponse response, long length);
}
