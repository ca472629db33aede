package onyxpaddle.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import onyxpaddle.distribution.WholeAnswerPacer.Admitted;
import onyxpaddle.distribution.WholeAnswerPacer.Decision;
import onyxpaddle.distribution.WholeAnswerPacer.Later;
import org.junit.jupiter.api.Test;

class WholeAnswerPacerTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long RATE = 1 << 20;
    private static final int SIZE = 32 << 10;

    private record Call(String caller, long at) {
    }

    private record Sent(long at, long bytes) {
    }

    @Test
    void athousandCallersAtOnceAreSpreadWithinTheRate() {
        WholeAnswerPacer pacer = new WholeAnswerPacer(RATE);
        Random random = new Random(7);
        PriorityQueue<Call> calls = new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
        for (int i = 0; i < 1_000; i++) {
            calls.add(new Call("n" + i, random.nextInt(1_000_000)));
        }
        List<Sent> sent = new ArrayList<>();
        int asked = 0;
        while (!calls.isEmpty()) {
            Call call = calls.remove();
            asked++;
            assertTrue(asked <= 2_000, "each asks twice at most");
            Decision decision = pacer.ask(call.caller(), SIZE, call.at());
            if (decision instanceof Later later) {
                // As Retry-After says it, in whole seconds.
                calls.add(new Call(call.caller(), call.at() + (later.waitNanos() + SECOND - 1) / SECOND * SECOND));
            } else {
                sent.add(new Sent(call.at(), SIZE));
            }
        }
        assertEquals(1_000, sent.size());
        assertEquals(0, pacer.reserved());
        for (int from = 0; from < sent.size(); from++) {
            long bytes = 0;
            for (int to = from; to < sent.size(); to++) {
                bytes += sent.get(to).bytes();
                long span = sent.get(to).at() - sent.get(from).at() + WholeAnswerPacer.BURST_NANOS + WholeAnswerPacer.GRACE_NANOS;
                assertTrue(bytes <= (double) RATE * span / SECOND + SIZE, "in " + span + " ns " + bytes);
            }
        }
        long last = sent.get(sent.size() - 1).at();
        long ideal = (long) (1_000.0 * SIZE / RATE * SECOND);
        assertTrue(last <= ideal + 2 * SECOND, last + " ns, and " + ideal + " would do");
    }

    @Test
    void whoComesTooLateHasToAskAnewAndItsTurnIsForgotten() {
        WholeAnswerPacer pacer = new WholeAnswerPacer(RATE);
        assertInstanceOf(Admitted.class, pacer.ask("a", 10 * RATE, 0));
        Later later = assertInstanceOf(Later.class, pacer.ask("b", 10 * RATE, 0));
        assertInstanceOf(Later.class, pacer.ask("c", 10 * RATE, 0));
        long missed = later.waitNanos() + WholeAnswerPacer.GRACE_NANOS + 1;
        Later again = assertInstanceOf(Later.class, pacer.ask("b", 10 * RATE, missed));
        assertTrue(again.waitNanos() > 10 * SECOND, "behind c");
    }

    @Test
    void reservedTurnsAreBounded() {
        WholeAnswerPacer pacer = new WholeAnswerPacer(RATE);
        for (int i = 0; i < 3 * WholeAnswerPacer.MOST_RESERVED; i++) {
            pacer.ask("n" + i, SIZE, 0);
        }
        assertEquals(WholeAnswerPacer.MOST_RESERVED, pacer.reserved());
    }
}
