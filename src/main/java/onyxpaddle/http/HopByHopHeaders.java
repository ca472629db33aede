package onyxpaddle.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Leaves out the headers that speak of one connection only (RFC 9110, 7.6.1). */
final class HopByHopHeaders {
    private static final Set<String> FIELDS = Set.of("connection", "keep-alive", "proxy-connection",
        "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade");

    private HopByHopHeaders() {
    }

    /** Copies the headers that go on, but for those of these lower-case names. */
    static void copy(HttpHeaders from, HttpHeaders to, Set<String> without) {
        String named = from.get(HttpHeaderNames.CONNECTION, "").toLowerCase(Locale.ROOT);
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!FIELDS.contains(name) && !without.contains(name) && (named.isEmpty() || !namedIn(named, name))) {
                to.add(header.getKey(), header.getValue());
            }
        }
    }

    private static boolean namedIn(String connection, String name) {
        for (String word : connection.split(",")) {
            if (word.trim().equals(name)) {
                return true;
            }
        }
        return false;
    }
}
