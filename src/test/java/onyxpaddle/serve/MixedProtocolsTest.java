package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import onyxpaddle.measure.MixedTraffic;
import onyxpaddle.measure.MixedTraffic.Outcome;
import org.junit.jupiter.api.Test;

/** Both protocols share boxes, of which one stalls and one loses replies. Traffic is random by a seed, which a failure prints. */
class MixedProtocolsTest {
    private static final int SEEDS = 20;
    private static final long TRAFFIC_MS = 400;

    @Test
    void noBookingRunsTwiceAndBothProtocolsAreServedEqually() throws Exception {
        List<Outcome> outcomes = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            try (MixedTraffic traffic = new MixedTraffic(seed)) {
                Sidecar node = Sidecar.start(SidecarRig.config(traffic.config(0, 0)));
                try {
                    Outcome outcome = traffic.run(node.address("web"), node.address("rpc"), TRAFFIC_MS);
                    outcomes.add(outcome);
                    assertEquals(0, outcome.twice(), "seed " + seed + ": " + outcome);
                    assertTrue(outcome.recovery() >= 0, "seed " + seed + ": the stalled box gets no requests again: " + outcome);
                    assertTrue(outcome.bookings() > 50, "seed " + seed + ": too few bookings ran: " + outcome);
                } finally {
                    node.stop();
                }
            }
        }
        double http = (double) outcomes.stream().mapToLong(Outcome::httpServed).sum()
            / outcomes.stream().mapToLong(Outcome::httpAsked).sum();
        double rpc = (double) outcomes.stream().mapToLong(Outcome::rpcServed).sum()
            / outcomes.stream().mapToLong(Outcome::rpcAsked).sum();
        System.out.printf("seeds 1 to %d: served by HTTP %.4f, by MessagePack-RPC %.4f, recovery of the stalled box after %.2f s at most%n",
            SEEDS, http, rpc, outcomes.stream().mapToDouble(Outcome::recovery).max().orElse(0));
        assertEquals(http, rpc, 0.01, outcomes.toString());
    }
}
