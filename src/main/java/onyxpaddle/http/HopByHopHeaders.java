package onyxpaddle.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Removes hop-by-hop headers (RFC 9110, 7.6.1). */
final class HopByHopHeaders {
    private static final Set<String> FIELDS = Set.of("connection", "keep-alive", "proxy-connection",
        "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade");

    /** Meant for the server, whatever Connection names: without its id a request is unknown, and without its key its repeats are. */
    private static final Set<String> END_TO_END = Set.of("x-trace-id", "idempotency-key");

    private HopByHopHeaders() {
    }

    /** Copies end-to-end headers; {@code without}: lower-case names of further headers to leave out. */
    static void copy(HttpHeaders from, HttpHeaders to, Set<String> without) {
        String connection = from.get(HttpHeaderNames.CONNECTION, "").toLowerCase(Locale.ROOT);
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            boolean nominated = !connection.isEmpty() && lists(connection, name) && !END_TO_END.contains(name);
            if (!FIELDS.contains(name) && !without.contains(name) && !nominated) {
                to.add(header.getKey(), header.getValue());
            }
        }
    }

    private static boolean lists(String connection, String name) {
        for (String option : connection.split(",")) {
            if (option.trim().equals(name)) {
                return true;
            }
        }
        return false;
    }
}
