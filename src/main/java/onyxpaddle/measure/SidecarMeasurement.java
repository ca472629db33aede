package onyxpaddle.measure;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import onyxpaddle.measure.Load.Result;
import onyxpaddle.standin.StandInServer;

/** What a sidecar adds to a call, against calling the same stand-in straight; runs of the two alternate. */
final class SidecarMeasurement implements Measure.Measurement {
    private static final int ROUNDS = 5;
    private static final double SECONDS = 2;
    private static final int CONNECTIONS = 8;

    private static final String CONFIG = """
        version: 1
        name: measured
        listeners:
          in: {address: "127.0.0.1:%d"}
        classes:
          look: {effect: safe, deadline: 2 s}
        pools:
          application: {servers: ["%s"], keep-alive: 30 s}
        routes:
          - {name: look, listener: in, path: /, pool: application, class: look}
        """;

    @Override
    public void run(Figures figures, double part) throws Exception {
        try (StandInServer application = new StandInServer("application", 0);
                NodeProcess node = NodeProcess.start(CONFIG, 1, application.hostPort())) {
            figures.hold("start to ready", node.startMs(), "ms", 0, 5_000);
            measure(figures, part, application.address(), node.listener(0));
            figures.hold("memory (resident) after the load", node.resident(), "MiB", 0, 200);
        }
    }

    private static void measure(Figures figures, double part, InetSocketAddress straight, InetSocketAddress node)
            throws InterruptedException {
        byte[] ask = Load.get("/slots");
        Load.run(straight, ask, CONNECTIONS, 2);
        Load.run(node, ask, CONNECTIONS, 4);
        List<Double> added50 = new ArrayList<>();
        List<Double> added99 = new ArrayList<>();
        List<Double> rate = new ArrayList<>();
        List<Double> served = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            Result without = Load.run(straight, ask, CONNECTIONS, SECONDS * part);
            Result with = Load.run(node, ask, CONNECTIONS, SECONDS * part);
            System.out.printf("round %d: straight p50 %.0f us, p99 %.0f us, %.0f/s; through the node %.0f us, %.0f us, %.0f/s%n",
                round + 1, without.quantile(0.5), without.quantile(0.99), without.perSecond(), with.quantile(0.5),
                with.quantile(0.99), with.perSecond());
            added50.add(with.quantile(0.5) - without.quantile(0.5));
            added99.add(with.quantile(0.99) - without.quantile(0.99));
            rate.add(with.perSecond() / without.perSecond());
            served.add(with.served());
        }
        System.out.println("added to the p50 in us, lowest and highest: " + Figures.spread(added50));
        figures.hold("added to the median call, median of rounds", Figures.median(added50), "us", -1_000, 5_000);
        figures.put("added to the p99, median of rounds", Figures.median(added99), "us");
        figures.put("requests a second, through / straight", Figures.median(rate), "");
        figures.hold("served through the node", Figures.median(served), "", 0.999, 1);
    }
}
