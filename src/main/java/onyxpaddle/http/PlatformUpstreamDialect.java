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

/** What passes from a caller to a server of the platform, and back: of an answer, the body of a 200. */
public final class PlatformUpstreamDialect implements UpstreamDialect {
    private static final Classification TURNED_AWAY = new Classification(Outcome.FULL, null);
    private static final Classification AT_FAULT = new Classification(Outcome.REJECTED, null);
    private static final Classification ERROR = new Classification(Outcome.ERROR, null);
    /** The platform counts an answer as held back from 2 s on, whoever holds it. */
    private static final long LONGEST_STALL_LATE = 2_000_000_000L;
    /** What is written anew for each server. */
    private static final Set<String> OWN = Set.of("expect", "host", "content-length", "x-expires-in");

    @Override
    public HttpHeaders requestHeaders(HttpRequestHead x, long length, SocketAddress server, long nanosLeft) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        headers.set(HttpHeaderNames.HOST, x.headers().get(HttpHeaderNames.HOST, "app.svc"));
        HopByHopHeaders.copy(x.headers(), headers, OWN);
        headers.set(PlatformRequestDialect.EXPIRES_IN, seconds(Math.max(0, nanosLeft)));
        if (length < 0) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else if (length > 0 || x.method().equals(HttpMethod.POST)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
        }
        return headers;
    }

    /**
     * Guards against a server that hangs in the middle of a body for longer than its caller waits, and so holds this one, and a
     * node that ends, to no end; it should cover every answer that is passed on. It would do harm where a sound server pauses for
     * so long after its caller's time: cutting off what it still gives would lose the request.
     */
    @Override
    public long stallTimeout(boolean late) {
        return late ? LONGEST_STALL_LATE : UpstreamDialect.super.stallTimeout(false);
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
        // A refusal counts as never run only with the server's own word for it; a bare 503 may have run.
        boolean neverRan = (status == 503 || status == 504)
            && "1".equals(response.headers().get("X-Never-Ran"));
        // Guards a server's standing against clients that get nonsense as far as here.
        boolean clientsFault = response.status().codeClass() == HttpStatusClass.CLIENT_ERROR;
        return neverRan ? TURNED_AWAY : clientsFault ? AT_FAULT : ERROR;
    }

    @Override
    public boolean isDelimited(HttpMethod method, HttpResponse response, long length) {
        return framed(response, length) || byClose(response, length);
    }

    /**
     * Where neither a length nor chunks tell the end, the end of the connection does (RFC 9112, 6.3, rule 8): taken
     * only where the server has said that it closes, and only where it ends without a reset.
     */
    static boolean byClose(HttpResponse response, long length) {
        return !response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING) && length < 0
            && !HttpUtil.isKeepAlive(response);
    }

    /** A length of its own, or chunks and nothing else. */
    static boolean framed(HttpResponse response, long length) {
        List<String> codings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return codings.isEmpty() ? length >= 0
            : codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).trim());
    }

    /** A span as seconds with decimals, to the millisecond below. */
    static String seconds(long nanos) {
        long millis = nanos / 1_000_000;
        return millis / 1000 + "." + Long.toString(1000 + millis % 1000).substring(1);
    }
}
