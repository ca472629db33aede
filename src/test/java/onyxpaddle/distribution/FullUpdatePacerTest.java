package onyxpaddle.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import onyxpaddle.distribution.FullUpdatePacer.Admitted;
import onyxpaddle.distribution.FullUpdatePacer.Decision;
import onyxpaddle.distribution.FullUpdatePacer.Deferred;
import org.junit.jupiter.api.Test;

class FullUpdatePacerTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long RATE = 1 << 20;
    private static final int SIZE = 32 << 10;

    private record Call(String caller, long at) {
    }

    private record Sent(long at, long bytes) {
    }

    @Test
    void simultaneousCallersAreSpreadWithinTheRate() {
        FullUpdatePacer pacer = new FullUpdatePacer(RATE);
        Random random = new Random(7);
        PriorityQueue<Call> calls = new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
        for (int i = 0; i < 1_000; i++) {
            calls.add(new Call("n" + i, random.nextInt(1_000_000)));
        }
        List<Sent> sent = new ArrayList<>();
        int requests = 0;
        while (!calls.isEmpty()) {
            Call call = calls.remove();
            requests++;
            assertTrue(requests <= 2_000, "each caller requests at most twice");
            Decision decision = pacer.request(call.caller(), SIZE, call.at());
            if (decision instanceof Deferred deferred) {
                // Rounded up to whole seconds, as in Retry-After.
                calls.add(new Call(call.caller(), call.at() + (deferred.waitNanos() + SECOND - 1) / SECOND * SECOND));
            } else {
                sent.add(new Sent(call.at(), SIZE));
            }
        }
        assertEquals(1_000, sent.size());
        assertEquals(0, pacer.reservationCount());
        for (int from = 0; from < sent.size(); from++) {
            long bytes = 0;
            for (int to = from; to < sent.size(); to++) {
                bytes += sent.get(to).bytes();
                long span = sent.get(to).at() - sent.get(from).at() + FullUpdatePacer.BURST_NANOS + FullUpdatePacer.GRACE_NANOS;
                assertTrue(bytes <= (double) RATE * span / SECOND + SIZE, "in " + span + " ns " + bytes);
            }
        }
        long last = sent.get(sent.size() - 1).at();
        long ideal = (long) (1_000.0 * SIZE / RATE * SECOND);
        assertTrue(last <= ideal + 2 * SECOND, last + " ns, and " + ideal + " would do");
    }

    @Test
    void missedReservationExpires() {
        FullUpdatePacer pacer = new FullUpdatePacer(RATE);
        assertInstanceOf(Admitted.class, pacer.request("a", 10 * RATE, 0));
        Deferred deferred = assertInstanceOf(Deferred.class, pacer.request("b", 10 * RATE, 0));
        assertInstanceOf(Deferred.class, pacer.request("c", 10 * RATE, 0));
        long missed = deferred.waitNanos() + FullUpdatePacer.GRACE_NANOS + 1;
        Deferred again = assertInstanceOf(Deferred.class, pacer.request("b", 10 * RATE, missed));
        assertTrue(again.waitNanos() > 10 * SECOND, "queued behind c");
    }

    @Test
    void reservationsAreBounded() {
        FullUpdatePacer pacer = new FullUpdatePacer(RATE);
        for (int i = 0; i < 3 * FullUpdatePacer.MAX_RESERVATIONS; i++) {
            pacer.request("n" + i, SIZE, 0);
        }
        assertEquals(FullUpdatePacer.MAX_RESERVATIONS, pacer.reservationCount());
    }
}
