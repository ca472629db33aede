package onyxpaddle.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What is kept of requests behind another one is counted by what it takes of the heap, and comes out as it went in. */
class PipelinedRequestsTest {
    private static final int CONNECTIONS = 1_000;
    /** What the account may be under the heap's own figure by. */
    private static final double TOLERANCE = 0.1;

    private long held;
    private final HeadBudget budget = new HeadBudget() {
        @Override
        public boolean reserveHead(long bytes) {
            held += bytes;
            return true;
        }

        @Override
        public void releaseHead(long bytes) {
            held -= bytes;
        }
    };

    private static HttpRequest head(int fields) {
        DefaultHttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, new String("/book"), new BoundedHttpHeaders());
        for (int i = 0; i < fields; i++) {
            request.headers().add(new AsciiString("a" + i), new String(Integer.toString(i)));
        }
        return request;
    }

    private static HttpContent piece(int bytes) {
        return new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[bytes]));
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Guards against a heap that fills with the objects around a few bytes each, which no account shows. */
    @ParameterizedTest
    @CsvSource({"1, 1, 30000, 4", "10, 1, 3000, 4", "1000, 1, 30, 4", "16000, 1, 2, 4", "1, 16, 1, 4", "1, 16, 1, 40", "1, 1, 1, 120"})
    void accountHoldsWhatTheHeapHolds(int pieceBytes, int requests, int pieces, int fields) {
        List<PipelinedRequests> connections = new ArrayList<>();
        long before = usedHeap();
        for (int i = 0; i < CONNECTIONS; i++) {
            PipelinedRequests pipelined = new PipelinedRequests(budget);
            for (int request = 0; request < requests; request++) {
                pipelined.add(head(fields), 0, 0);
                for (int piece = 0; piece < pieces; piece++) {
                    pipelined.add(piece(pieceBytes), 0, 0);
                }
                pipelined.add(new DefaultLastHttpContent(), 0, 0);
            }
            connections.add(pipelined);
        }
        long taken = usedHeap() - before;
        assertTrue(held >= taken * (1 - TOLERANCE), held + " bytes counted, " + taken + " taken");
        connections.forEach(PipelinedRequests::clear);
        assertEquals(0, held);
    }

    @Test
    void bytesComeOutAsTheyWentIn() {
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            PipelinedRequests pipelined = new PipelinedRequests(budget);
            List<byte[]> bodies = new ArrayList<>();
            for (int request = 0; request < 1 + random.nextInt(5); request++) {
                byte[] body = new byte[random.nextInt(6_000)];
                random.nextBytes(body);
                bodies.add(body);
                pipelined.add(head(request), request, request);
                int from = 0;
                while (from < body.length) {
                    int count = Math.min(body.length - from, 1 + random.nextInt(random.nextBoolean() ? 3 : 3_000));
                    pipelined.add(new DefaultHttpContent(Unpooled.copiedBuffer(body, from, count)), request, request);
                    from += count;
                }
                pipelined.add(new DefaultLastHttpContent(), request, request);
            }
            for (byte[] body : bodies) {
                assertArrayEquals(body, nextBody(pipelined), "seed " + seed);
            }
            assertTrue(pipelined.isEmpty());
            assertEquals(0, held);
        }
    }

    private static byte[] nextBody(PipelinedRequests pipelined) {
        assertTrue(pipelined.poll().message() instanceof HttpRequest);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            HttpContent content = (HttpContent) pipelined.poll().message();
            byte[] bytes = new byte[content.content().readableBytes()];
            content.content().readBytes(bytes);
            body.writeBytes(bytes);
            if (content instanceof LastHttpContent) {
                return body.toByteArray();
            }
            ReferenceCountUtil.release(content);
        }
    }
}
