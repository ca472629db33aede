package onyxpaddle.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import onyxpaddle.http.HttpFrontHarness.Client;
import org.junit.jupiter.api.Test;

/**
 * A client that keeps sending after its last answer: the node must not read without limit, and must not close the connection
 * before the linger time is over, as closing with unread input resets it before the client has read the answer.
 */
class UnreadBytesAtCloseTest {
    private static final String LAST_REQUEST = "GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
    /** More than the node discards, but less than that plus the capacity of both sockets' buffers. */
    private static final int EXCESS_BYTES = 5 * 64 * 1024;
    private static final long LINGER_MS = 1_001;

    @Test
    void inputAfterLastAnswerIsBoundedAndConnectionStaysOpenForLinger() throws Exception {
        try (HttpFrontHarness harness = new HttpFrontHarness(); Client client = harness.connect()) {
            assertEquals(200, client.send(LAST_REQUEST).readStatus());
            client.socket.getOutputStream().write(new byte[EXCESS_BYTES]);
            harness.await(() -> !client.channel.config().isAutoRead());
            assertTrue(client.channel.isOpen(), "the linger time has not passed");
            harness.advance(LINGER_MS);
            harness.onLoop(() -> {
                harness.sweep();
                return null;
            });
            assertFalse(client.channel.isOpen());
        }
    }
}
