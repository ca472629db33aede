package onyxpaddle.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import onyxpaddle.http.HttpFrontHarness.Client;
import org.junit.jupiter.api.Test;

/** A client that sends on after its last answer: the node takes in a bounded part, and leaves it its time to read the answer. */
class UnreadBytesAtCloseTest {
    private static final String LAST = "GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
    /** More than is read off, and less than that and what the two sockets' buffers hold. */
    private static final int BEYOND = 5 * 64 * 1024;
    private static final long LINGER_MS = 1_001;

    @Test
    void clientThatSendsOnAfterItsLastAnswerIsReadNoFurtherAndNotCutOff() throws Exception {
        try (HttpFrontHarness rig = new HttpFrontHarness(); Client client = rig.client()) {
            assertEquals(200, client.say(LAST).hear());
            client.socket.getOutputStream().write(new byte[BEYOND]);
            rig.await(() -> !client.channel.config().isAutoRead());
            assertTrue(client.channel.isOpen(), "it has its second");
            rig.pass(LINGER_MS);
            rig.onLoop(() -> {
                rig.sweep();
                return null;
            });
            assertFalse(client.channel.isOpen());
        }
    }
}
