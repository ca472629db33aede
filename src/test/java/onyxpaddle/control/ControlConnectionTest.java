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

/** One connection on a clock that is moved by hand. */
class ControlConnectionTest {
    private final List<String> called = new ArrayList<>();
    private final ControlConnection.Calls calls = new ControlConnection.Calls() {
        @Override
        public void call(ControlConnection connection, HttpMethod method, String uri, byte[] body) {
            called.add(method + " " + uri + " " + body.length);
        }

        @Override
        public boolean openBody() {
            bodies++;
            return bodies <= mostBodies;
        }

        @Override
        public void closeBody() {
            bodies--;
        }

        @Override
        public void ended(ControlConnection connection) {
            ended++;
        }
    };
    private final ControlConnection connection = new ControlConnection(calls);
    private EmbeddedChannel channel;
    private int bodies;
    private int mostBodies = 1;
    private int ended;

    @BeforeEach
    void open() {
        channel = new EmbeddedChannel(new HttpServerCodec(100, 100, 64), connection);
        channel.freezeTime();
        // Its deadline was set before the clock stood still.
        pass(0);
    }

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    private void send(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private void pass(int seconds) {
        channel.advanceTimeBy(seconds, TimeUnit.SECONDS);
        channel.runScheduledPendingTasks();
        channel.runPendingTasks();
    }

    private String answered() {
        StringBuilder text = new StringBuilder();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            text.append(part.toString(StandardCharsets.US_ASCII));
            part.release();
        }
        return text.toString();
    }

    @Test
    void anIdleConnectionIsClosed() {
        pass(ControlConnection.CALL_WITHIN_SECONDS - 1);
        assertTrue(channel.isActive());
        pass(2);
        assertFalse(channel.isActive());
        assertEquals(1, ended);
    }

    @Test
    void aHeadOrABodyThatTricklesDoesNotKeepItOpen() {
        String call = "POST /v1/changes HTTP/1.1\r\nContent-Length: 40\r\n\r\n";
        int seconds = 0;
        while (channel.isActive() && seconds <= ControlConnection.CALL_WITHIN_SECONDS) {
            send(seconds < 20 ? call.substring(seconds, seconds + 1) : seconds == 20 ? call.substring(20) : "x");
            pass(1);
            seconds++;
        }
        assertFalse(channel.isActive());
        assertEquals(ControlConnection.CALL_WITHIN_SECONDS, seconds);
        assertEquals(List.of(), called);
        assertEquals(0, bodies);
    }

    @Test
    void aCallThatWaitsIsNotIdle() {
        send("GET /a HTTP/1.1\r\n\r\n");
        pass(10 * ControlConnection.CALL_WITHIN_SECONDS);
        assertTrue(channel.isActive());
        connection.answer(Answer.ok(new byte[0]));
        assertTrue(answered().startsWith("HTTP/1.1 200"));
        pass(ControlConnection.CALL_WITHIN_SECONDS - 1);
        send("GET /b HTTP/1.1\r\n\r\n");
        assertEquals(List.of("GET /a 0", "GET /b 0"), called);
        connection.answer(Answer.ok(new byte[0]));
        pass(ControlConnection.CALL_WITHIN_SECONDS + 1);
        assertFalse(channel.isActive());
    }

    @Test
    void aSecondCallBeforeTheAnswerEndsTheConnection() {
        send("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
        assertFalse(channel.isActive());
        assertEquals(List.of("GET /a 0"), called);
    }

    @Test
    void longLinesAndHeadsAndNoiseAreRefused() {
        send("GET /" + "a".repeat(200) + " HTTP/1.1\r\n\r\n");
        assertTrue(answered().startsWith("HTTP/1.1 400"));
        assertFalse(channel.isActive());
        assertEquals(List.of(), called);
    }

    @Test
    void noiseIsRefused() {
        send("\u0001\u0002 noise\r\n\r\n");
        assertFalse(channel.isActive());
        assertEquals(List.of(), called);
    }

    @Test
    void aBodyIsTakenWholeAndBounded() {
        send("POST /v1/changes HTTP/1.1\r\nContent-Length: 3\r\n\r\nab");
        assertEquals(1, bodies);
        assertEquals(List.of(), called);
        send("c");
        assertEquals(List.of("POST /v1/changes 3"), called);
        assertEquals(0, bodies);
        connection.answer(Answer.ok(new byte[0]));
        answered();
        send("POST /v1/changes HTTP/1.1\r\nContent-Length: " + (ChangeJson.MAX_BYTES + 1) + "\r\n\r\nab");
        assertTrue(answered().startsWith("HTTP/1.1 413"));
        assertFalse(channel.isActive());
    }

    @Test
    void aBodyWithoutALengthIsBoundedToo() {
        send("POST /v1/changes HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
        String piece = "10000\r\n" + "x".repeat(0x10000) + "\r\n";
        for (int i = 0; i <= ChangeJson.MAX_BYTES / 0x10000 && channel.isActive(); i++) {
            send(piece);
        }
        assertTrue(answered().startsWith("HTTP/1.1 413"));
        assertEquals(0, bodies);
        assertEquals(List.of(), called);
    }

    @Test
    void bodiesBeyondTheMostAreToldToComeAgain() {
        mostBodies = 0;
        send("POST /v1/changes HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
        assertTrue(answered().startsWith("HTTP/1.1 503"));
        assertEquals(List.of(), called);
    }
}
