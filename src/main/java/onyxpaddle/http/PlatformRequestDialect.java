package onyxpaddle.http;

import static onyxpaddle.http.RequestRejectedException.require;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import onyxpaddle.BalancerApi.Effect;
import onyxpaddle.BalancerApi.RequestClass;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.Exchange.Terms;
import onyxpaddle.node.SharedLimit;

/**
 * What a request's head says, once it is found to say it as the platform's protocol does. Guards against requests that
 * node and server could understand differently, and so against all that only pretends to be one; it should cover every
 * part of a head that decides what is done with the request. It would do harm where callers took liberties with the
 * protocol: each part is taken in one form only.
 */
public final class PlatformRequestDialect implements RequestDialect {
    static final String ID_HEADER = "X-Trace-Id";
    private static final String REQUEST_CLASS = "X-Qos";
    private static final String KEY = "Idempotency-Key";
    static final String EXPIRES_IN = "X-Expires-In";
    private static final double SECOND = 1e9;
    private static final Pattern ID = Pattern.compile("[!-~]{1,64}");
    private static final Pattern TARGET = Pattern.compile("/[!-~]*");
    private static final Pattern SPAN = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,12})?");
    private static final long LONGEST_SILENCE = 2_200_000_000L;
    private static final long LONGEST_IDLE = 5_000_000_000L;
    /** The callerTimeout of callers of a class that has no deadline. */
    private static final long LONGEST_PATIENCE = 60_000_000_000L;

    /** Bodies reach 32 MB, in requests and in answers; this is more by a quarter. */
    private static final long LARGEST = 40L << 20;
    /**
     * Of a request's body, as long as there is room. A server counts a connection from its start, and takes some thirty:
     * one that carries a body at its client's pace fills a place for seconds, so what can be is held until it is whole.
     */
    private static final long HELD = 1 << 20;

    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Dispatcher pool;
    private final SharedLimit.Share bytes;
    private long longest;

    public PlatformRequestDialect(List<RequestClass> known, Dispatcher pool, SharedLimit.Share bytes) {
        this.pool = pool;
        this.bytes = bytes;
        for (RequestClass c : known) {
            classes.put(c.name(), c);
            longest = Math.max(longest, c.deadline());
        }
    }

    @Override
    public boolean isReadinessCheck(HttpRequest request) {
        return request.method().equals(HttpMethod.GET) && path(request.uri()).equals("/ready");
    }

    @Override
    public long maxCallerTimeout() {
        return longest;
    }

    @Override
    public long firstRequestTimeout() {
        return LONGEST_SILENCE;
    }

    @Override
    public long idleTimeout() {
        return LONGEST_IDLE;
    }

    @Override
    public String localAnswer(HttpResponseStatus status, long retryAfter, HttpHeaders headers) {
        if (retryAfter > 0) {
            headers.set(HttpHeaderNames.RETRY_AFTER, PlatformUpstreamDialect.seconds(retryAfter));
        }
        return "";
    }

    @Override
    public RoutedRequest read(HttpRequest request, InetSocketAddress caller) throws RequestRejectedException {
        HttpHeaders headers = request.headers();
        HttpMethod method = request.method();
        if (!method.equals(HttpMethod.GET) && !method.equals(HttpMethod.POST)) {
            throw new RequestRejectedException(HttpResponseStatus.METHOD_NOT_ALLOWED);
        }
        String id = single(headers, ID_HEADER);
        require(id != null && ID.matcher(id).matches() && TARGET.matcher(request.uri()).matches());

        String path = firstPart(request.uri());
        String named = single(headers, REQUEST_CLASS);
        RequestClass requestClass = classes.get(path);
        if (requestClass == null || named != null && !named.equals(path)) {
            throw new RequestRejectedException(HttpResponseStatus.NOT_FOUND);
        }
        Effect effect = requestClass.effect();
        String key = single(headers, KEY);
        require(method.equals(effect == Effect.SAFE ? HttpMethod.GET : HttpMethod.POST));
        require(effect == Effect.KEYED ? key != null && !key.isEmpty() : key == null);

        long length = length(request);
        require(length == 0 || !method.equals(HttpMethod.GET));
        if (length > LARGEST) {
            throw new RequestRejectedException(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        }
        long callerTimeout = callerTimeout(single(headers, EXPIRES_IN), requestClass.deadline());
        Terms terms = new Terms(id, requestClass, callerTimeout, headers.get("X-Customer"), hintedCost(headers),
            "1".equals(headers.get("X-Second-Try")));
        return new RoutedRequest(pool, bytes, terms, new HttpRequestHead(method, request.uri(), headers, LARGEST, null), length,
            LARGEST, HELD);
    }

    /** The caller's guess at the work, given in microseconds, as seconds; 0 where it gives none that makes sense. */
    private static double hintedCost(HttpHeaders headers) {
        String hint = headers.get("X-Size-Hint");
        try {
            double cost = hint == null ? 0 : Double.parseDouble(hint) / 1e6;
            return cost > 0 && cost < 1e6 ? cost : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** The body's length, -1 for chunks. One that states both is turned away by the decoder already. */
    static long length(HttpRequest request) throws RequestRejectedException {
        List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.isEmpty()) {
            return HttpUtil.getContentLength(request, 0L);
        }
        require(codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).trim())
            && !request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
            && request.protocolVersion().equals(HttpVersion.HTTP_1_1));
        return -1;
    }

    /** How long the caller waits; without its word as long as its class does, and never longer than that. */
    static long callerTimeout(String seconds, long deadline) throws RequestRejectedException {
        long longest = deadline > 0 ? deadline : LONGEST_PATIENCE;
        if (seconds == null) {
            return longest;
        }
        String given = seconds.trim();
        // Java reads "NaN", "Infinity", "0x1p9" and "1d" as numbers, too.
        require(SPAN.matcher(given).matches());
        return (long) Math.min(longest, Double.parseDouble(given) * SECOND);
    }

    /** The one value of a header that may not be repeated; null where it is absent. */
    static String single(HttpHeaders headers, String name) throws RequestRejectedException {
        List<String> values = headers.getAll(name);
        require(values.size() <= 1);
        return values.isEmpty() ? null : values.get(0);
    }

    static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private static String firstPart(String uri) {
        String path = path(uri);
        int end = path.indexOf('/', 1);
        return path.substring(1, end < 0 ? path.length() : end);
    }
}
