package onyxpaddle.route;

import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Assigns requests to a pool and a class. A request must meet all conditions that are given.
 *
 * @param name the route's name in the configuration
 * @param host a host without port, or {@code *.} and a domain for all names below it; null for any
 * @param path a path prefix by whole segments: {@code /a} matches {@code /a} and {@code /a/b}, but not {@code /ab}
 * @param methods empty for any
 * @param headers header names, which are case-insensitive, and the exact value that each must have
 * @param procedure the procedure to call on servers that speak MessagePack-RPC; null for none
 * @param rewrite replaces {@code path} in the forwarded request; null to keep it
 */
public record Route(String name, String listener, String host, String path, Set<String> methods,
        Map<String, String> headers, String pool, String requestClass, String rewrite, String procedure) {
    /** The supported methods. */
    public static final Set<String> METHODS = Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");

    /** A route to HTTP servers only. */
    public Route(String name, String listener, String host, String path, Set<String> methods,
            Map<String, String> headers, String pool, String requestClass, String rewrite) {
        this(name, listener, host, path, methods, headers, pool, requestClass, rewrite, null);
    }

    public Route {
        host = host == null ? null : host.toLowerCase(Locale.ROOT);
        path = path.length() > 1 && path.endsWith("/") ? path.substring(0, path.length() - 1) : path;
        methods = Set.copyOf(methods);
        Map<String, String> lower = new TreeMap<>();
        headers.forEach((header, value) -> lower.put(header.toLowerCase(Locale.ROOT), value));
        headers = Map.copyOf(lower);
    }

    /** The path of the forwarded request; {@code requestPath}: without query. */
    public String rewrittenPath(String requestPath) {
        if (rewrite == null) {
            return requestPath;
        }
        String rest = path.equals("/") ? requestPath : requestPath.substring(path.length());
        String joined = (rewrite.equals("/") ? "" : rewrite) + (rest.isEmpty() || rest.startsWith("/") ? rest : "/" + rest);
        return joined.isEmpty() ? "/" : joined;
    }

    boolean matchesPath(String requestPath) {
        return path.equals("/") || requestPath.startsWith(path)
            && (requestPath.length() == path.length() || requestPath.charAt(path.length()) == '/');
    }

    /** A human-readable summary of the conditions. */
    public String conditions() {
        return (host == null ? "" : "host " + host + ", ") + "path " + path
            + (methods.isEmpty() ? "" : ", method " + String.join("/", new TreeSet<>(methods)))
            + (headers.isEmpty() ? "" : ", " + new TreeMap<>(headers));
    }
}
