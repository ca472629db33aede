package onyxpaddle.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.net.SocketAddress;
import onyxpaddle.BalancerApi.Outcome;

/** What a pool's servers are told, and what is made of the answers they give. */
public interface UpstreamDialect {
    /**
     * What an answer's head says of the attempt; {@code pass} is what goes to the caller with the body, null where
     * the answer is of no use to it.
     */
    record Classification(Outcome outcome, AnswerHead pass) {
    }

    /** {@code length}: of the request's body in bytes, or -1 where it goes in chunks. */
    HttpHeaders requestHeaders(HttpRequestHead head, long length, SocketAddress server, long nanosLeft);

    /**
     * How long a server may bring nothing of an answer that is being passed on, in nanoseconds; {@code late}: its request's time
     * is up. It says nothing of a body that its caller does not read.
     */
    default long stallTimeout(boolean late) {
        return ServerConnection.LONGEST_STALL;
    }

    Classification classify(HttpMethod method, HttpResponse response);

    /** Whether the head tells where the body ends, so that an answer that broke off can't look like a short one. */
    boolean isDelimited(HttpMethod method, HttpResponse response, long length);
}
