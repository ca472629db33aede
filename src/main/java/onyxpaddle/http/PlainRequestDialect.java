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
import onyxpaddle.node.SharedLimit;
import onyxpaddle.route.Route;
import onyxpaddle.route.RouteTable;

/**
 * Requests of ordinary HTTP clients, which know nothing of this node: the route gives the pool and the class, the class
 * the deadline, and the node the id. A caller may add {@code Idempotency-Key}, {@code X-Expires-In} (seconds) and
 * {@code X-Second-Try: 1}.
 */
public final class PlainRequestDialect implements RequestDialect {
    /** The node's own question, on any listener: 200 once a request can be served, 503 before. */
    public static final String READY = "/.lupinmount/ready";
    /** On every answer that the node gives by itself, so that it can be told from an application's. */
    public static final String OWN = "X-Answered-By";
    private static final Pattern TARGET = Pattern.compile("/[!-~&&[^#]]*");
    private static final Pattern DOTS = Pattern.compile("/(?:\\.|%2[eE]){1,2}(?:/|$)");
    private static final long WHOLE_SECOND = 1_000_000_000L;

    /**
     * A pool as requests see it; {@code body}: the most bytes of a body, both ways; {@code held}: the most of a request's
     * that is held until it is whole.
     */
    public record Target(Dispatcher pool, SharedLimit.Share bytes, long body, long held) {
    }

    /** A class; {@code unkeyed}: what a request is that should carry a key and does not, else the same. */
    public record Classes(RequestClass keyed, RequestClass unkeyed) {
    }

    private final RouteTable routes;
    private final Map<String, Target> pools;
    private final Map<String, Classes> classes;
    private final String tenant;
    private final long idleTimeout;
    private final Supplier<String> ids;
    private final Predicate<Body> mapped;
    private long maxCallerTimeout;

    /**
     * {@code tenant} may be null; {@code ids}: a new one for each request, among all of the node; {@code mapped}:
     * whether a body can go on where its route names a procedure.
     */
    public PlainRequestDialect(RouteTable routes, Map<String, Target> pools, Map<String, Classes> classes, String tenant,
            long idleTimeout, Supplier<String> ids, Predicate<Body> mapped) {
        this.mapped = mapped;
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
        headers.set(OWN, "lupinmount");
        if (status.code() == 200) {
            return "";
        }
        if (retryAfter > 0 || status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            // RFC 9110, 10.2.3: whole seconds.
            headers.set(HttpHeaderNames.RETRY_AFTER, Math.max(1, (retryAfter + WHOLE_SECOND - 1) / WHOLE_SECOND));
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

    @Override
    public RoutedRequest read(HttpRequest request, InetSocketAddress caller) throws RequestRejectedException {
        HttpMethod method = request.method();
        HttpHeaders headers = request.headers();
        if (!Route.METHODS.contains(method.name())) {
            throw new RequestRejectedException(HttpResponseStatus.NOT_IMPLEMENTED);
        }
        String host = PlatformRequestDialect.single(headers, "Host");
        // RFC 9112, 3.2: a request of HTTP/1.1 has one.
        require(host != null || !request.protocolVersion().equals(HttpVersion.HTTP_1_1));
        String uri = request.uri();
        if (uri.startsWith("http://")) {
            // RFC 9112, 3.2.2: as a client writes it that takes this node for its proxy; its host goes before the header.
            int slash = uri.indexOf('/', "http://".length());
            host = uri.substring("http://".length(), slash < 0 ? uri.length() : slash);
            uri = slash < 0 ? "/" : uri.substring(slash);
        }
        String path = PlatformRequestDialect.path(uri);
        // A path that means another one to the server could slip past a route.
        require(TARGET.matcher(uri).matches() && !DOTS.matcher(path).find());
        Route route = routes.find(withoutPort(host), path, method.name(), headers::get);
        if (route == null) {
            throw new RequestRejectedException(HttpResponseStatus.NOT_FOUND);
        }
        Target target = pools.get(route.pool());
        Classes about = classes.get(route.requestClass());
        String key = PlatformRequestDialect.single(headers, "Idempotency-Key");
        RequestClass requestClass = key == null || key.isEmpty() ? about.unkeyed() : about.keyed();
        long length = PlatformRequestDialect.length(request);
        if (length > target.body()) {
            throw new RequestRejectedException(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        }
        long callerTimeout = PlatformRequestDialect.callerTimeout(PlatformRequestDialect.single(headers, PlatformRequestDialect.EXPIRES_IN),
            requestClass.deadline());
        String onward = uri == path ? route.rewrittenPath(path) : route.rewrittenPath(path) + uri.substring(path.length());
        Terms terms = new Terms(ids.get(), requestClass, callerTimeout, tenant, 0, "1".equals(headers.get("X-Second-Try")));
        boolean mappedTo = route.procedure() != null;
        return new RoutedRequest(target.pool(), target.bytes(), terms, new HttpRequestHead(method, onward, headers, target.body(),
            caller.getAddress().getHostAddress(), route.procedure()), length, target.body(),
            mappedTo ? target.body() : target.held(), mappedTo, mappedTo ? mapped : body -> true);
    }

    private static String withoutPort(String host) {
        if (host == null) {
            return null;
        }
        int colon = host.lastIndexOf(':');
        return colon > host.lastIndexOf(']') ? host.substring(0, colon) : host;
    }
}
