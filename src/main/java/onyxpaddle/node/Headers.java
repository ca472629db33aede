package onyxpaddle.node;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.SocketAddress;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** The headers that this protocol gives a meaning, and what passes from a caller to a server. */
final class Headers {
    static final String ID = "X-Trace-Id";
    static final String REQUEST_CLASS = "X-Qos";
    static final String KEY = "Idempotency-Key";
    static final String EXPIRES_IN = "X-Expires-In";
    /** Headers that speak of one connection only, and those that are written anew. */
    private static final Set<String> NOT_PASSED_ON = Set.of("connection", "keep-alive", "proxy-connection",
        "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect",
        "host", "content-length", "x-expires-in");

    private Headers() {
    }

    static HttpHeaders forServer(Exchange x, SocketAddress server, long nanosLeft) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        headers.set(HttpHeaderNames.HOST, x.headers.get(HttpHeaderNames.HOST, "app.svc"));
        String named = x.headers.get(HttpHeaderNames.CONNECTION, "").toLowerCase(Locale.ROOT);
        for (Map.Entry<String, String> header : x.headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!NOT_PASSED_ON.contains(name) && (named.isEmpty() || !namedIn(named, name))) {
                headers.add(header.getKey(), header.getValue());
            }
        }
        headers.set(EXPIRES_IN, seconds(Math.max(0, nanosLeft)));
        if (x.body.size() > 0 || x.method.equals(HttpMethod.POST)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, x.body.size());
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

    /** A span as seconds with decimals, to the millisecond below. */
    static String seconds(long nanos) {
        long millis = nanos / 1_000_000;
        return millis / 1000 + "." + Long.toString(1000 + millis % 1000).substring(1);
    }
}
