package onyxpaddle.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import onyxpaddle.http.HttpFrontHarness.Client;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The memory of unfinished heads is bounded, and every byte that is taken for one is given back once. */
class HeadMemoryTest {
    private static final int DECODERS = 500;
    private static final int FIELDS = 120;
    /** What the account may be under the heap's own figure by. */
    private static final double TOLERANCE = 0.1;
    private static final int CONNECTIONS = 232;
    private static final String PART_OF_A_HEAD = "GET /read HTTP/1.1\r\na: " + "b".repeat(12_000);
    private static final String MORE = "b".repeat(3_900);

    /** Guards against a heap that fills with the decoded fields of unfinished heads and trailers, of which a few bytes are counted. */
    @ParameterizedTest
    @ValueSource(strings = {"POST /book HTTP/1.1\r\n", "POST /book HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"})
    void fieldsOfUnfinishedHeadsAreCountedByWhatTheyTakeOfTheHeap(String start) {
        long[] held = new long[1];
        List<RequestDecoder> decoders = new ArrayList<>();
        List<EmbeddedChannel> channels = new ArrayList<>();
        for (int i = 0; i < DECODERS; i++) {
            decoders.add(new RequestDecoder(new HttpDecoderConfig()));
            channels.add(new EmbeddedChannel(decoders.get(i)));
            channels.get(i).writeInbound(Unpooled.copiedBuffer(start, StandardCharsets.US_ASCII));
        }
        long before = usedHeap();
        String fields = "a:\r\n".repeat(FIELDS);
        for (int i = 0; i < DECODERS; i++) {
            channels.get(i).writeInbound(Unpooled.copiedBuffer(fields, StandardCharsets.US_ASCII));
            HeadMemory memory = new HeadMemory(new HeadBudget() {
                @Override
                public boolean reserveHead(long bytes) {
                    held[0] += bytes;
                    return true;
                }

                @Override
                public void releaseHead(long bytes) {
                    held[0] -= bytes;
                }
            });
            memory.addUndecoded(fields.length(), decoders.get(i).incompleteFields());
        }
        long taken = usedHeap() - before;
        assertTrue(held[0] >= taken * (1 - TOLERANCE), held[0] + " bytes counted, " + taken + " taken");
        channels.forEach(EmbeddedChannel::finishAndReleaseAll);
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Guards against memory that is given back twice, when the head that needs more is the one that is given up for it. */
    @Test
    void headThatIsGivenUpForItsOwnGrowthGivesItsMemoryBackOnce() throws Exception {
        try (HttpFrontHarness harness = new HttpFrontHarness()) {
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < CONNECTIONS; i++) {
                Client client = harness.connect();
                client.send(PART_OF_A_HEAD);
                clients.add(client);
                long held = (i + 1L) * 3 * PART_OF_A_HEAD.length();
                harness.await(() -> harness.budget.heldForHeads() == held);
            }
            harness.advance(300);
            long full = harness.onLoop(harness.budget::heldForHeads);
            clients.get(1).send(MORE);
            harness.await(() -> harness.budget.heldForHeads() == full + 3L * MORE.length());
            // There is no room for this; the oldest head is its own.
            clients.get(0).send(MORE);
            harness.await(() -> harness.budget.heldForHeads() < full);
            for (Client client : clients) {
                client.close();
            }
            harness.await(() -> clients.stream().noneMatch(client -> client.channel.isActive()));
            assertEquals(0, harness.onLoop(harness.budget::heldForHeads));
        }
    }
}
