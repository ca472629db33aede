package onyxpaddle.http;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.net.SocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import onyxpaddle.Balancing.Outcome;
import onyxpaddle.node.Body;

/** What passes from a caller to a server of the platform, and back: of an answer, the body of a 200. */
public final class PlatformAnswers implements AnswerDialect {
    private static final Verdict TURNED_AWAY = new Verdict(Outcome.FULL, null);
    private static final Verdict AT_FAULT = new Verdict(Outcome.REJECTED, null);
    private static final Verdict ERROR = new Verdict(Outcome.ERROR, null);
    /** Headers that speak of one connection only, and those that are written anew. */
    private static final Set<String> NOT_PASSED_ON = Set.of("connection", "keep-alive", "proxy-connection",
        "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect",
        "host", "content-length", "x-expires-in");

    @Override
    public HttpHeaders forServer(HttpHead x, Body body, SocketAddress server, long nanosLeft) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        headers.set(HttpHeaderNames.HOST, x.headers().get(HttpHeaderNames.HOST, "app.svc"));
        String named = x.headers().get(HttpHeaderNames.CONNECTION, "").toLowerCase(Locale.ROOT);
        for (Map.Entry<String, String> header : x.headers()) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!NOT_PASSED_ON.contains(name) && (named.isEmpty() || !namedIn(named, name))) {
                headers.add(header.getKey(), header.getValue());
            }
        }
        headers.set(PlatformRequests.EXPIRES_IN, seconds(Math.max(0, nanosLeft)));
        if (body.size() > 0 || x.method().equals(HttpMethod.POST)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.size());
        }
        return headers;
    }

    private static boolean namedIn(String connection, String name) {
        for (String word : connection.split(",")) {
            if (word.trim().equals(name)) {
                return true;
            }
        }
        return false;
    }

    @Override
    public Verdict judge(HttpResponse response) {
        int status = response.status().code();
        if (status == 200) {
            HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
            String contentType = response.headers().get(HttpHeaderNames.CONTENT_TYPE);
            if (contentType != null) {
                headers.set(HttpHeaderNames.CONTENT_TYPE, contentType);
            }
            return new Verdict(Outcome.OK, new AnswerHead(HttpResponseStatus.OK, headers));
        }
        // A refusal counts as never run only with the server's own word for it; a bare 503 may have run.
        boolean neverRan = (status == 503 || status == 504)
            && "1".equals(response.headers().get("X-Never-Ran"));
        // Guards a server's standing against clients that get nonsense as far as here.
        boolean clientsFault = response.status().codeClass() == HttpStatusClass.CLIENT_ERROR;
        return neverRan ? TURNED_AWAY : clientsFault ? AT_FAULT : ERROR;
    }

    @Override
    public boolean tellsItsEnd(HttpMethod method, HttpResponse response, long length) {
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
