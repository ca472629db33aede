package onyxpaddle.measure;

import java.util.ArrayList;
import java.util.List;
import onyxpaddle.measure.MixedTraffic.Outcome;

/** Both protocols over the same boxes, one of which stalls while another loses replies: seed after seed. */
final class RpcMixedMeasurement implements Measure.Measurement {
    private static final int SEEDS = 10;
    private static final long MILLIS = 1000;

    @Override
    public void run(Figures figures, double part) throws Exception {
        Outcome all = null;
        List<Double> recoveries = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS * part; seed++) {
            Outcome outcome;
            try (MixedTraffic traffic = new MixedTraffic(seed);
                    NodeProcess node = NodeProcess.start(traffic.config(0, 0).replace("127.0.0.1:0", "127.0.0.1:%d"), 2)) {
                outcome = traffic.run(node.listener(0), node.listener(1), MILLIS);
            }
            System.out.printf("seed %d: HTTP %.4f of %d, MessagePack-RPC %.4f of %d, twice %d, share back after %.2f s%n", seed,
                outcome.http(), outcome.httpAsked(), outcome.rpc(), outcome.rpcAsked(), outcome.twice(), outcome.recovery());
            all = all == null ? outcome : all.plus(outcome);
            recoveries.add(outcome.recovery());
        }
        figures.put("requests by HTTP", all.httpAsked(), "");
        figures.put("calls by MessagePack-RPC", all.rpcAsked(), "");
        figures.put("bookings that ran", all.bookings(), "");
        figures.hold("bookings that ran twice", all.twice(), "", 0, 0);
        figures.put("served, HTTP", all.http(), "");
        figures.put("served, MessagePack-RPC", all.rpc(), "");
        figures.hold("difference", Math.abs(all.http() - all.rpc()), "", 0, 0.01);
        figures.put("stalled box has its share back, median", Figures.median(recoveries), "s");
        figures.hold("the same, longest", recoveries.stream().allMatch(r -> r >= 0)
            ? recoveries.stream().mapToDouble(r -> r).max().orElse(0) : Double.NaN, "s", 0, 10);
    }
}
