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
 * Reads requests of the platform's protocol. Validates strictly every part of the head that decides how the request is handled,
 * so that node and server cannot interpret it differently (request smuggling). Each part is accepted in one form only, so
 * callers that deviate from the protocol are rejected.
 */
public final class PlatformRequestDialect implements RequestDialect {
    static final String ID_HEADER = "X-Trace-Id";
    private static final String REQUEST_CLASS = "X-Qos";
    static final String EXPIRES_IN = "X-Expires-In";
    private static final double NANOS_PER_SECOND = 1e9;
    private static final Pattern ID = Pattern.compile("[!-~]{1,64}");
    private static final Pattern TARGET = Pattern.compile("/[!-~]*");
    private static final Pattern DURATION = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,12})?");
    private static final long FIRST_REQUEST_TIMEOUT_NANOS = 2_200_000_000L;
    private static final long IDLE_TIMEOUT_NANOS = 5_000_000_000L;
    /** How long callers of a class without a deadline are assumed to wait. */
    private static final long DEFAULT_TIMEOUT_NANOS = 60_000_000_000L;

    /** Bodies of requests and answers reach 32 MB; this leaves a margin of a quarter. */
    private static final long MAX_BODY_BYTES = 40L << 20;
    /**
     * Request bodies up to this size are buffered whole, as long as memory allows. Servers count a connection against their
     * limit of about thirty as soon as it is opened, and one that carries a body at its client's pace occupies a slot for seconds.
     */
    private static final long MAX_BUFFERED_BYTES = 1 << 20;

    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Dispatcher pool;
    private final SharedLimit.Share bytes;
    private long maxDeadline;

    public PlatformRequestDialect(List<RequestClass> requestClasses, Dispatcher pool, SharedLimit.Share bytes) {
        this.pool = pool;
        this.bytes = bytes;
        for (RequestClass c : requestClasses) {
            classes.put(c.name(), c);
            maxDeadline = Math.max(maxDeadline, c.deadline());
        }
    }

    @Override
    public boolean isReadinessCheck(HttpRequest request) {
        return request.method().equals(HttpMethod.GET) && path(request.uri()).equals("/ready");
    }

    @Override
    public long maxCallerTimeout() {
        return maxDeadline;
    }

    @Override
    public long firstRequestTimeout() {
        return FIRST_REQUEST_TIMEOUT_NANOS;
    }

    @Override
    public long idleTimeout() {
        return IDLE_TIMEOUT_NANOS;
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

        String className = firstSegment(request.uri());
        String named = single(headers, REQUEST_CLASS);
        RequestClass requestClass = classes.get(className);
        if (requestClass == null || named != null && !named.equals(className)) {
            throw new RequestRejectedException(HttpResponseStatus.NOT_FOUND);
        }
        Effect effect = requestClass.effect();
        String key = single(headers, HttpRequestHead.IDEMPOTENCY_KEY);
        require(method.equals(effect == Effect.SAFE ? HttpMethod.GET : HttpMethod.POST));
        require(effect == Effect.KEYED ? key != null && !key.isEmpty() : key == null);

        long length = length(request);
        require(length == 0 || !method.equals(HttpMethod.GET));
        if (length > MAX_BODY_BYTES) {
            throw new RequestRejectedException(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        }
        long callerTimeout = callerTimeout(single(headers, EXPIRES_IN), requestClass.deadline());
        Terms terms = new Terms(id, requestClass, callerTimeout, headers.get("X-Customer"), hintedCost(headers),
            "1".equals(headers.get("X-Second-Try")));
        return new RoutedRequest(pool, bytes, terms, new HttpRequestHead(method, request.uri(), headers, MAX_BODY_BYTES, null), length,
            MAX_BODY_BYTES, MAX_BUFFERED_BYTES);
    }

    /** The cost hint, which is in microseconds, as seconds; 0 if absent or invalid. */
    private static double hintedCost(HttpHeaders headers) {
        String hint = headers.get("X-Size-Hint");
        try {
            double cost = hint == null ? 0 : Double.parseDouble(hint) / 1e6;
            return cost > 0 && cost < 1e6 ? cost : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** The body's length, -1 if chunked. The decoder rejects requests with both a length and chunked coding. */
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

    /** How long the caller waits: as stated in {@code seconds}, at most the class's deadline, which is also the default. */
    static long callerTimeout(String seconds, long deadline) throws RequestRejectedException {
        long max = deadline > 0 ? deadline : DEFAULT_TIMEOUT_NANOS;
        if (seconds == null) {
            return max;
        }
        String given = seconds.trim();
        // Double.parseDouble also accepts "NaN", "Infinity", "0x1p9" and "1d".
        require(DURATION.matcher(given).matches());
        return (long) Math.min(max, Double.parseDouble(given) * NANOS_PER_SECOND);
    }

    /** The value of a header that must not be repeated; null if absent. */
    static String single(HttpHeaders headers, String name) throws RequestRejectedException {
        List<String> values = headers.getAll(name);
        require(values.size() <= 1);
        return values.isEmpty() ? null : values.get(0);
    }

    static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private static String firstSegment(String uri) {
        String path = path(uri);
        int end = path.indexOf('/', 1);
        return path.substring(1, end < 0 ? path.length() : end);
    }
}
