package onyxpaddle.http;

import static onyxpaddle.http.RequestRejectedException.require;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import onyxpaddle.BalancerApi.RequestClass;
import onyxpaddle.node.Body;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.Exchange.Terms;
import onyxpaddle.node.Refusal;
import onyxpaddle.node.SharedLimit;
import onyxpaddle.route.Route;
import onyxpaddle.route.RouteTable;

/**
 * Reads requests of ordinary HTTP clients, which are unaware of this node. The route determines the pool and the class, the
 * class the deadline, and the node assigns the id. A caller may add {@code Idempotency-Key}, {@code X-Expires-In} (seconds) and
 * {@code X-Second-Try: 1}.
 */
public final class PlainRequestDialect implements RequestDialect {
    /** Path of the readiness check on every listener: 200 once requests can be served, 503 before. */
    public static final String READY = "/.lupinmount/ready";
    /** Header on every answer that the node generates itself, to distinguish it from an application's. */
    public static final String ANSWERED_BY = "X-Answered-By";
    private static final Pattern TARGET = Pattern.compile("/[!-~&&[^#]]*");
    private static final Pattern DOT_SEGMENTS = Pattern.compile("/(?:\\.|%2[eE]){1,2}(?:/|$)");
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /**
     * A pool that routes refer to; {@code maxBodyBytes}: the maximum size of the bodies of requests and answers; {@code
     * maxBufferedBytes}: the size up to which a request's body is buffered whole.
     */
    public record Target(Dispatcher pool, SharedLimit.Share bytes, long maxBodyBytes, long maxBufferedBytes) {
    }

    /** A class; {@code unkeyed}: the class of requests without the key that the class requires, otherwise the same class. */
    public record Classes(RequestClass keyed, RequestClass unkeyed) {
    }

    private final RouteTable routes;
    private final Map<String, Target> pools;
    private final Map<String, Classes> classes;
    private final String tenant;
    private final long idleTimeout;
    private final Supplier<String> ids;
    private final Predicate<Body> mappedBodyCheck;
    private long maxCallerTimeout;

    /**
     * {@code tenant}: may be null; {@code ids}: supplies request ids that are unique within the node; {@code mappedBodyCheck}:
     * whether a body is acceptable for a route that maps to a procedure.
     */
    public PlainRequestDialect(RouteTable routes, Map<String, Target> pools, Map<String, Classes> classes, String tenant,
            long idleTimeout, Supplier<String> ids, Predicate<Body> mappedBodyCheck) {
        this.mappedBodyCheck = mappedBodyCheck;
        this.routes = routes;
        this.pools = Map.copyOf(pools);
        this.classes = Map.copyOf(classes);
        this.tenant = tenant;
        this.idleTimeout = idleTimeout;
        this.ids = ids;
        routes.routes().forEach(r -> maxCallerTimeout = Math.max(maxCallerTimeout,
            classes.get(r.requestClass()).keyed().deadline()));
    }

    @Override
    public boolean isReadinessCheck(HttpRequest request) {
        return request.uri().equals(READY) && request.method().equals(HttpMethod.GET);
    }

    @Override
    public long maxCallerTimeout() {
        return maxCallerTimeout;
    }

    @Override
    public long firstRequestTimeout() {
        return idleTimeout;
    }

    @Override
    public long idleTimeout() {
        return idleTimeout;
    }

    @Override
    public String localAnswer(HttpResponseStatus status, long retryAfter, HttpHeaders headers) {
        headers.set(ANSWERED_BY, "lupinmount");
        if (status.code() == 200) {
            return "";
        }
        if (retryAfter > 0 || status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            // RFC 9110, 10.2.3: Retry-After is in whole seconds.
            headers.set(HttpHeaderNames.RETRY_AFTER, Math.max(1, (retryAfter + NANOS_PER_SECOND - 1) / NANOS_PER_SECOND));
        }
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        return "lupinmount: " + switch (status.code()) {
            case 404 -> "no route for this request";
            case 408 -> "the request did not come whole in time";
            case 413 -> "the body is larger than this route takes";
            case 502 -> "no server gave an answer; whether one acted on the request is not known";
            case 503 -> "refused, and never run: trying again is harmless";
            case 504 -> "no answer in time; whether a server acted on the request is not known";
            default -> "not a request that this node takes";
        } + "\n";
    }

    /** A request that may have run, and that nobody can promise to recognize, has failed. */
    @Override
    public HttpResponseStatus refusalStatus(Refusal refusal) {
        return refusal.repeatable() ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.BAD_GATEWAY;
    }

    @Override
    public String refusalAnswer(Refusal refusal, long retryAfter, HttpHeaders headers) {
        String answer = localAnswer(refusalStatus(refusal), refusal.repeatable() ? retryAfter : 0, headers);
        return switch (refusal) {
            case NEVER_RAN, MAY_RUN_TWICE -> answer;
            case REPEATABLE -> "lupinmount: no server gave an answer, and one may have acted on the request: trying again is harmless\n";
            case REPEATABLE_WITH_KEY -> "lupinmount: no server gave an answer, and one may have acted on the request: trying again with the"
                + " same Idempotency-Key is harmless\n";
        };
    }

    @Override
    public RoutedRequest read(HttpRequest request, InetSocketAddress caller) throws RequestRejectedException {
        HttpMethod method = request.method();
        HttpHeaders headers = request.headers();
        if (!Route.METHODS.contains(method.name())) {
            throw new RequestRejectedException(HttpResponseStatus.NOT_IMPLEMENTED);
        }
        String host = PlatformRequestDialect.single(headers, "Host");
        // RFC 9112, 3.2: Host is mandatory in HTTP/1.1.
        require(host != null || !request.protocolVersion().equals(HttpVersion.HTTP_1_1));
        String uri = request.uri();
        if (uri.startsWith("http://")) {
            // RFC 9112, 3.2.2: absolute form, as sent to a proxy; its host takes precedence over the Host header.
            int slash = uri.indexOf('/', "http://".length());
            host = uri.substring("http://".length(), slash < 0 ? uri.length() : slash);
            uri = slash < 0 ? "/" : uri.substring(slash);
        }
        String path = PlatformRequestDialect.path(uri);
        // A path that the server would normalise to another one could bypass a route.
        require(TARGET.matcher(uri).matches() && !DOT_SEGMENTS.matcher(path).find());
        Route route = routes.find(withoutPort(host), path, method.name(), headers::get);
        if (route == null) {
            throw new RequestRejectedException(HttpResponseStatus.NOT_FOUND);
        }
        Target target = pools.get(route.pool());
        Classes variants = classes.get(route.requestClass());
        String forwardedUri = uri == path ? route.rewrittenPath(path) : route.rewrittenPath(path) + uri.substring(path.length());
        HttpRequestHead head = new HttpRequestHead(method, forwardedUri, headers, target.maxBodyBytes(),
            caller.getAddress().getHostAddress(), route.procedure());
        String key = PlatformRequestDialect.single(headers, HttpRequestHead.IDEMPOTENCY_KEY);
        boolean keyed = key != null && !key.isEmpty() && target.pool().tellsKeys(head);
        RequestClass requestClass = keyed ? variants.keyed() : variants.unkeyed();
        long length = PlatformRequestDialect.length(request);
        if (length > target.maxBodyBytes()) {
            throw new RequestRejectedException(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        }
        long callerTimeout = PlatformRequestDialect.callerTimeout(PlatformRequestDialect.single(headers, PlatformRequestDialect.EXPIRES_IN),
            requestClass.deadline());
        Terms terms = new Terms(ids.get(), requestClass, callerTimeout, tenant, 0, "1".equals(headers.get("X-Second-Try")));
        boolean mapped = route.procedure() != null;
        return new RoutedRequest(target.pool(), target.bytes(), terms, head, length, target.maxBodyBytes(),
            mapped ? target.maxBodyBytes() : target.maxBufferedBytes(), mapped, mapped ? mappedBodyCheck : body -> true);
    }

    private static String withoutPort(String host) {
        if (host == null) {
            return null;
        }
        int colon = host.lastIndexOf(':');
        return colon > host.lastIndexOf(']') ? host.substring(0, colon) : host;
    }
}
