package onyxpaddle.node;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import onyxpaddle.Balancing.Effect;
import onyxpaddle.Balancing.RequestClass;

/**
 * What a request's head says, once it is found to say it as the protocol does. Guards against requests that node
 * and server could understand differently, and so against all that only pretends to be one; it should cover every
 * part of a head that decides what is done with the request. It would do harm where callers took liberties with the
 * protocol: each part is taken in one form only.
 *
 * @param length the body's length, or -1 where it comes in chunks
 */
record RequestHead(String id, RequestClass requestClass, long patience, long length) {
    private static final double SECOND = 1e9;
    private static final Pattern ID = Pattern.compile("[!-~]{1,64}");
    private static final Pattern TARGET = Pattern.compile("/[!-~]*");
    private static final Pattern SPAN = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,12})?");
    /** The patience of callers of a class that has no deadline. */
    private static final long LONGEST_PATIENCE = 60_000_000_000L;

    /** A head that is turned away; the status says why. */
    static final class MalformedException extends Exception {
        private static final long serialVersionUID = 1L;
        final transient HttpResponseStatus status;

        MalformedException(HttpResponseStatus status) {
            super(status.toString(), null, false, false);
            this.status = status;
        }
    }

    static RequestHead of(HttpRequest request, Map<String, RequestClass> classes) throws MalformedException {
        HttpHeaders headers = request.headers();
        HttpMethod method = request.method();
        if (!method.equals(HttpMethod.GET) && !method.equals(HttpMethod.POST)) {
            throw new MalformedException(HttpResponseStatus.METHOD_NOT_ALLOWED);
        }
        String id = single(headers, Headers.ID);
        require(id != null && ID.matcher(id).matches() && TARGET.matcher(request.uri()).matches());

        String path = firstPart(request.uri());
        String named = single(headers, Headers.REQUEST_CLASS);
        RequestClass requestClass = classes.get(path);
        if (requestClass == null || named != null && !named.equals(path)) {
            throw new MalformedException(HttpResponseStatus.NOT_FOUND);
        }
        Effect effect = requestClass.effect();
        String key = single(headers, Headers.KEY);
        require(method.equals(effect == Effect.SAFE ? HttpMethod.GET : HttpMethod.POST));
        require(effect == Effect.KEYED ? key != null && !key.isEmpty() : key == null);

        long length = length(request);
        require(length == 0 || !method.equals(HttpMethod.GET));
        if (length > Body.LARGEST) {
            throw new MalformedException(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        }
        return new RequestHead(id, requestClass, patience(single(headers, Headers.EXPIRES_IN), requestClass), length);
    }

    /** The body's length, -1 for chunks. One that states both is turned away by the decoder already. */
    private static long length(HttpRequest request) throws MalformedException {
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
    private static long patience(String seconds, RequestClass requestClass) throws MalformedException {
        long longest = requestClass.deadline() > 0 ? requestClass.deadline() : LONGEST_PATIENCE;
        if (seconds == null) {
            return longest;
        }
        String given = seconds.trim();
        // Java reads "NaN", "Infinity", "0x1p9" and "1d" as numbers, too.
        require(SPAN.matcher(given).matches());
        return (long) Math.min(longest, Double.parseDouble(given) * SECOND);
    }

    /** The one value of a header that may not be repeated; null where it is absent. */
    private static String single(HttpHeaders headers, String name) throws MalformedException {
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

    private static void require(boolean sound) throws MalformedException {
        if (!sound) {
            throw new MalformedException(HttpResponseStatus.BAD_REQUEST);
        }
    }
}
