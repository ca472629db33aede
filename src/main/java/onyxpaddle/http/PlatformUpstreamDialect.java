package onyxpaddle.http;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.net.SocketAddress;
import java.util.List;
import java.util.Set;
import onyxpaddle.BalancerApi.Outcome;

/** Servers that speak the platform's protocol. Of their answers only the body and content type of a 200 go to the caller. */
public final class PlatformUpstreamDialect implements UpstreamDialect {
    private static final Classification TURNED_AWAY = new Classification(Outcome.FULL, null);
    private static final Classification CLIENT_ERROR = new Classification(Outcome.REJECTED, null);
    private static final Classification ERROR = new Classification(Outcome.ERROR, null);
    /** The platform counts an answer as stalled after 2 s, whoever causes the delay. */
    private static final long LATE_STALL_TIMEOUT_NANOS = 2_000_000_000L;
    /** Headers that are generated for each attempt. */
    private static final Set<String> GENERATED = Set.of("expect", "host", "content-length", "x-expires-in");

    @Override
    public HttpHeaders requestHeaders(HttpRequestHead head, long length, SocketAddress server, long nanosLeft) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        headers.set(HttpHeaderNames.HOST, head.headers().get(HttpHeaderNames.HOST, "app.svc"));
        HopByHopHeaders.copy(head.headers(), headers, GENERATED);
        headers.set(PlatformRequestDialect.EXPIRES_IN, seconds(Math.max(0, nanosLeft)));
        if (length < 0) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else if (length > 0 || head.method().equals(HttpMethod.POST)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
        }
        return headers;
    }

    /**
     * Once the deadline has passed, a server that hangs in the middle of a body must not keep its caller, or a node that ends,
     * waiting any longer. A sound server that pauses for longer than this after the deadline has its answer cut off, which fails
     * the request.
     */
    @Override
    public long stallTimeout(boolean late) {
        return late ? LATE_STALL_TIMEOUT_NANOS : UpstreamDialect.super.stallTimeout(false);
    }

    @Override
    public Classification classify(HttpMethod method, HttpResponse response) {
        int status = response.status().code();
        if (status == 200) {
            HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
            String contentType = response.headers().get(HttpHeaderNames.CONTENT_TYPE);
            if (contentType != null) {
                headers.set(HttpHeaderNames.CONTENT_TYPE, contentType);
            }
            return new Classification(Outcome.OK, new AnswerHead(HttpResponseStatus.OK, headers, false));
        }
        // Only an explicit X-Never-Ran shows that a refused request has not run; a bare 503 may have run.
        boolean neverRan = (status == 503 || status == 504)
            && "1".equals(response.headers().get("X-Never-Ran"));
        // 4xx is caused by the client, so it must not count against the server's health.
        boolean clientError = response.status().codeClass() == HttpStatusClass.CLIENT_ERROR;
        return neverRan ? TURNED_AWAY : clientError ? CLIENT_ERROR : ERROR;
    }

    @Override
    public boolean isDelimited(HttpMethod method, HttpResponse response, long length) {
        return framed(response, length) || byClose(response, length);
    }

    /**
     * Whether the body is delimited by the end of the connection (RFC 9112, 6.3, rule 8). Accepted only if the server announced
     * the close; an end by reset fails the answer.
     */
    static boolean byClose(HttpResponse response, long length) {
        return !response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING) && length < 0
            && !HttpUtil.isKeepAlive(response);
    }

    /** Whether the body is delimited by a Content-Length, or by chunked as the only transfer coding. */
    static boolean framed(HttpResponse response, long length) {
        List<String> codings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return codings.isEmpty() ? length >= 0
            : codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).trim());
    }

    /** Formats a duration as seconds with three decimals, rounded down. */
    static String seconds(long nanos) {
        long millis = nanos / 1_000_000;
        return millis / 1000 + "." + Long.toString(1000 + millis % 1000).substring(1);
    }
}
