package onyxpaddle.route;

import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Which requests go to which pool, as what class. All conditions given must hold.
 *
 * @param name what people call it
 * @param listener the listener it belongs to
 * @param host a host without its port, {@code *.} before it for all names below it; null for any
 * @param path the start of the path, by whole segments: {@code /a} holds for {@code /a} and {@code /a/b}, not for
 *     {@code /ab}
 * @param methods empty for any
 * @param headers names (in any case) and the one value that each must have
 * @param procedure what it is called where a server speaks MessagePack-RPC; null for none
 * @param rewrite what stands in place of {@code path} as the request goes on; null to leave it
 */
public record Route(String name, String listener, String host, String path, Set<String> methods,
        Map<String, String> headers, String pool, String requestClass, String rewrite, String procedure) {
    /** The methods that are routed. */
    public static final Set<String> METHODS = Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");

    /** One that goes to servers of HTTP alone. */
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

    /** The target as it goes on: {@code path} without query. */
    public String rewrittenPath(String asked) {
        if (rewrite == null) {
            return asked;
        }
        String rest = path.equals("/") ? asked : asked.substring(path.length());
        String joined = (rewrite.equals("/") ? "" : rewrite) + (rest.isEmpty() || rest.startsWith("/") ? rest : "/" + rest);
        return joined.isEmpty() ? "/" : joined;
    }

    boolean holdsForPath(String asked) {
        return path.equals("/") || asked.startsWith(path)
            && (asked.length() == path.length() || asked.charAt(path.length()) == '/');
    }

    /** Its conditions, for people. */
    public String conditions() {
        return (host == null ? "" : "host " + host + ", ") + "path " + path
            + (methods.isEmpty() ? "" : ", method " + String.join("/", new TreeSet<>(methods)))
            + (headers.isEmpty() ? "" : ", " + new TreeMap<>(headers));
    }
}
