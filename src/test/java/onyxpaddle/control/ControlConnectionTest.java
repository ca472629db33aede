package onyxpaddle.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpServerCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** One connection on a manually advanced clock. */
class ControlConnectionTest {
    private final List<String> requests = new ArrayList<>();
    private final ControlConnection.RequestHandler requestHandler = new ControlConnection.RequestHandler() {
        @Override
        public void handle(ControlConnection connection, HttpMethod method, String uri, byte[] body) {
            requests.add(method + " " + uri + " " + body.length);
        }

        @Override
        public boolean tryAcquireBody() {
            bodies++;
            return bodies <= maxBodies;
        }

        @Override
        public void releaseBody() {
            bodies--;
        }

        @Override
        public void onDisconnect(ControlConnection connection) {
            disconnects++;
        }
    };
    private final ControlConnection connection = new ControlConnection(requestHandler);
    private EmbeddedChannel channel;
    private int bodies;
    private int maxBodies = 1;
    private int disconnects;

    @BeforeEach
    void open() {
        channel = new EmbeddedChannel(new HttpServerCodec(100, 100, 64), connection);
        channel.freezeTime();
        // Its timeout was scheduled before the clock was frozen.
        advanceClock(0);
    }

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    private void send(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private void advanceClock(int seconds) {
        channel.advanceTimeBy(seconds, TimeUnit.SECONDS);
        channel.runScheduledPendingTasks();
        channel.runPendingTasks();
    }

    /** After the last answer the connection stays open for a second, in which its peer may send on, and handles nothing of it. */
    private void assertInputIsDiscardedUntilTheClose() {
        List<String> handled = List.copyOf(requests);
        assertTrue(channel.isActive());
        send("GET /late HTTP/1.1\r\n\r\n");
        assertEquals("", takeOutput());
        assertEquals(handled, requests);
        advanceClock(ControlConnection.LINGER_SECONDS);
        assertFalse(channel.isActive());
    }

    private String takeOutput() {
        StringBuilder text = new StringBuilder();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            text.append(part.toString(StandardCharsets.US_ASCII));
            part.release();
        }
        return text.toString();
    }

    @Test
    void anIdleConnectionIsClosed() {
        advanceClock(ControlConnection.REQUEST_TIMEOUT_SECONDS - 1);
        assertTrue(channel.isActive());
        advanceClock(2);
        assertFalse(channel.isActive());
        assertEquals(1, disconnects);
    }

    @Test
    void aSlowHeadOrBodyTimesOut() {
        String request = "POST /v1/changes HTTP/1.1\r\nContent-Length: 40\r\n\r\n";
        int seconds = 0;
        while (channel.isActive() && seconds <= ControlConnection.REQUEST_TIMEOUT_SECONDS) {
            send(seconds < 20 ? request.substring(seconds, seconds + 1) : seconds == 20 ? request.substring(20) : "x");
            advanceClock(1);
            seconds++;
        }
        assertFalse(channel.isActive());
        assertEquals(ControlConnection.REQUEST_TIMEOUT_SECONDS, seconds);
        assertEquals(List.of(), requests);
        assertEquals(0, bodies);
    }

    @Test
    void aPendingRequestIsNotIdle() {
        send("GET /a HTTP/1.1\r\n\r\n");
        advanceClock(10 * ControlConnection.REQUEST_TIMEOUT_SECONDS);
        assertTrue(channel.isActive());
        connection.answer(Answer.ok(new byte[0]));
        assertTrue(takeOutput().startsWith("HTTP/1.1 200"));
        advanceClock(ControlConnection.REQUEST_TIMEOUT_SECONDS - 1);
        send("GET /b HTTP/1.1\r\n\r\n");
        assertEquals(List.of("GET /a 0", "GET /b 0"), requests);
        connection.answer(Answer.ok(new byte[0]));
        advanceClock(ControlConnection.REQUEST_TIMEOUT_SECONDS + 1);
        assertFalse(channel.isActive());
    }

    @Test
    void pipeliningClosesTheConnection() {
        send("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
        assertFalse(channel.isActive());
        assertEquals(List.of("GET /a 0"), requests);
    }

    @Test
    void aTooLongRequestLineIsRefused() {
        send("GET /" + "a".repeat(200) + " HTTP/1.1\r\n\r\n");
        assertTrue(takeOutput().startsWith("HTTP/1.1 400"));
        assertInputIsDiscardedUntilTheClose();
        assertEquals(List.of(), requests);
    }

    @Test
    void malformedRequestsAreRefused() {
        send("\u0001\u0002 noise\r\n\r\n");
        assertTrue(takeOutput().startsWith("HTTP/1.1 400"));
        assertInputIsDiscardedUntilTheClose();
        assertEquals(List.of(), requests);
    }

    @Test
    void aBodyIsBufferedCompletelyUpToTheLimit() {
        send("POST /v1/changes HTTP/1.1\r\nContent-Length: 3\r\n\r\nab");
        assertEquals(1, bodies);
        assertEquals(List.of(), requests);
        send("c");
        assertEquals(List.of("POST /v1/changes 3"), requests);
        assertEquals(0, bodies);
        connection.answer(Answer.ok(new byte[0]));
        takeOutput();
        send("POST /v1/changes HTTP/1.1\r\nContent-Length: " + (ChangeJson.MAX_BYTES + 1) + "\r\n\r\nab");
        assertTrue(takeOutput().startsWith("HTTP/1.1 413"));
        assertInputIsDiscardedUntilTheClose();
    }

    @Test
    void aChunkedBodyIsLimited() {
        send("POST /v1/changes HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
        String piece = "10000\r\n" + "x".repeat(0x10000) + "\r\n";
        for (int i = 0; i <= ChangeJson.MAX_BYTES / 0x10000 && channel.isActive(); i++) {
            send(piece);
        }
        assertTrue(takeOutput().startsWith("HTTP/1.1 413"));
        assertEquals(0, bodies);
        assertEquals(List.of(), requests);
    }

    @Test
    void bodiesBeyondTheMaximumAreAskedToRetry() {
        maxBodies = 0;
        send("POST /v1/changes HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
        assertTrue(takeOutput().startsWith("HTTP/1.1 503"));
        assertEquals(List.of(), requests);
    }
}
