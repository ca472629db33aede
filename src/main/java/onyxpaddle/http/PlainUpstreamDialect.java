package onyxpaddle.http;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.net.SocketAddress;
import java.util.Set;
import onyxpaddle.BalancerApi.Outcome;

/**
 * Ordinary HTTP servers. Forwards every status and all headers except hop-by-hop ones. 500, 502, 503 and 504 count as server
 * failures: the request is retried if its class allows, and the answer goes to the caller if no further attempt succeeds. Every
 * other status is final. A 503 or 504 with {@code X-Never-Ran: 1} is a refusal of a request that has not run.
 */
public final class PlainUpstreamDialect implements UpstreamDialect {
    private static final Classification TURNED_AWAY = new Classification(Outcome.FULL, null);
    private static final Set<String> GENERATED = Set.of("expect", "content-length", "x-expires-in", "x-forwarded-for");
    private static final Set<String> FRAMING = Set.of("content-length");

    private final String via;

    /** {@code node}: this node's name in the Via header. */
    public PlainUpstreamDialect(String node) {
        via = "1.1 " + node;
    }

    @Override
    public HttpHeaders requestHeaders(HttpRequestHead head, long length, SocketAddress server, long nanosLeft) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        HopByHopHeaders.copy(head.headers(), headers, GENERATED);
        if (!headers.contains(HttpHeaderNames.HOST)) {
            headers.set(HttpHeaderNames.HOST, server.toString().replaceFirst("^.*/", ""));
        }
        headers.add(HttpHeaderNames.VIA, via);
        String forwardedFor = head.headers().get("X-Forwarded-For");
        headers.set("X-Forwarded-For", forwardedFor == null ? head.caller() : forwardedFor + ", " + head.caller());
        headers.set(PlatformRequestDialect.EXPIRES_IN, PlatformUpstreamDialect.seconds(Math.max(0, nanosLeft)));
        if (length < 0) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else if (length > 0 || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH) || takesBody(head.method())) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
        }
        return headers;
    }

    private static boolean takesBody(HttpMethod method) {
        return method.equals(HttpMethod.POST) || method.equals(HttpMethod.PUT) || method.equals(HttpMethod.PATCH);
    }

    @Override
    public Classification classify(HttpMethod method, HttpResponse response) {
        int status = response.status().code();
        if ((status == 503 || status == 504) && "1".equals(response.headers().get("X-Never-Ran"))) {
            return TURNED_AWAY;
        }
        boolean bodiless = bodiless(method, status);
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        HopByHopHeaders.copy(response.headers(), headers, bodiless ? Set.of() : FRAMING);
        boolean failed = response.status().codeClass() == HttpStatusClass.SERVER_ERROR
            && (status == 500 || status >= 502 && status <= 504);
        return new Classification(failed ? Outcome.ERROR : Outcome.OK, new AnswerHead(response.status(), headers, bodiless));
    }

    private static boolean bodiless(HttpMethod method, int status) {
        return method.equals(HttpMethod.HEAD) || status == 204 || status == 304;
    }

    @Override
    public boolean isDelimited(HttpMethod method, HttpResponse response, long length) {
        return bodiless(method, response.status().code()) || PlatformUpstreamDialect.byClose(response, length)
            || PlatformUpstreamDialect.framed(response, length);
    }
}
