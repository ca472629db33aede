package onyxpaddle.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.Test;

/** The head of a request to a server of the platform. */
class PlatformUpstreamDialectTest {
    /** Guards against a request that goes on without its key or id, as its client names them in Connection. */
    @Test
    void keyAndIdGoOnAlsoIfConnectionNamesThem() {
        HttpHeaders from = new DefaultHttpHeaders();
        from.set("X-Trace-Id", "t1").set("Idempotency-Key", "k1").set("X-Other", "o1").set("Connection", "X-Other, X-Trace-Id, idempotency-key");
        HttpRequestHead head = new HttpRequestHead(HttpMethod.POST, "/book", from, 1, null);
        HttpHeaders to = new PlatformUpstreamDialect().requestHeaders(head, 0, null, 1_000_000_000L);
        assertEquals("t1", to.get("X-Trace-Id"));
        assertEquals("k1", to.get("Idempotency-Key"));
        assertNull(to.get("X-Other"));
        assertNull(to.get("Connection"));
    }
}
