package onyxpaddle.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** What is decoded of one read is handed on in few parts, whole and in order, wherever the reads cut it. */
class BodyPartMergerTest {
    private static final int SEEDS = 300;
    private static final int CHUNKS = 2_000;

    private static String chunk(String data) {
        return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
    }

    private static String head(String headers) {
        return "POST /book HTTP/1.1\r\n" + headers + "\r\n";
    }

    /** Guards against an event for each chunk, and with it a write and its objects. */
    @Test
    void chunksOfOneReadAreOnePart() {
        RequestDecoder decoder = new RequestDecoder(new HttpDecoderConfig());
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        channel.writeInbound(Unpooled.copiedBuffer(head("Transfer-Encoding: chunked\r\n") + chunk("x").repeat(CHUNKS) + "0\r\n\r\n",
            StandardCharsets.US_ASCII));
        assertTrue(channel.readInbound() instanceof HttpRequest);
        HttpContent part = channel.readInbound();
        assertEquals("x".repeat(CHUNKS), part.content().toString(StandardCharsets.US_ASCII));
        part.release();
        assertTrue(channel.readInbound() instanceof LastHttpContent);
        assertTrue(decoder.takeSteps() >= CHUNKS, "each chunk is a step of its work");
        assertEquals(0, decoder.takeSteps());
        channel.finishAndReleaseAll();
    }

    @Test
    void bodiesAreWholeAndInOrderWhereverReadsCutThem() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            List<String> bodies = new ArrayList<>();
            StringBuilder wire = new StringBuilder();
            for (int request = 0; request < 4; request++) {
                StringBuilder body = new StringBuilder();
                StringBuilder chunked = new StringBuilder(head("Transfer-Encoding: chunked\r\n"));
                for (int chunk = random.nextInt(40); chunk > 0; chunk--) {
                    String data = Character.toString('a' + random.nextInt(26)).repeat(1 + random.nextInt(random.nextBoolean() ? 2 : 700));
                    body.append(data);
                    chunked.append(chunk(data));
                }
                bodies.add(body.toString());
                wire.append(random.nextBoolean() ? chunked.append(random.nextBoolean() ? "0\r\n\r\n" : "0\r\nt: u\r\n\r\n")
                    : head("Content-Length: " + body.length() + "\r\n") + body);
            }
            assertEquals(bodies, decode(wire.toString(), random), "seed " + seed);
        }
    }

    private static List<String> decode(String wire, Random random) {
        EmbeddedChannel channel = new EmbeddedChannel(new RequestDecoder(new HttpDecoderConfig()));
        List<String> bodies = new ArrayList<>();
        StringBuilder body = new StringBuilder();
        int most = 1 + random.nextInt(2_000);
        for (int from = 0; from < wire.length();) {
            int to = Math.min(wire.length(), from + 1 + random.nextInt(most));
            channel.writeInbound(Unpooled.copiedBuffer(wire.substring(from, to), StandardCharsets.US_ASCII));
            from = to;
            for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
                if (message instanceof HttpContent content) {
                    body.append(content.content().toString(StandardCharsets.US_ASCII));
                    content.release();
                }
                if (message instanceof LastHttpContent) {
                    bodies.add(body.toString());
                    body.setLength(0);
                }
            }
        }
        channel.finishAndReleaseAll();
        return bodies;
    }
}
