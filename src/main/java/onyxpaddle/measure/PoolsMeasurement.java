package onyxpaddle.measure;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import onyxpaddle.config.Faults;
import onyxpaddle.config.MachineLimits;
import onyxpaddle.config.NodeConfig;
import onyxpaddle.config.NodeConfigReader;
import onyxpaddle.config.SourceFile;
import onyxpaddle.measure.Load.Result;
import onyxpaddle.serve.Sidecar;
import onyxpaddle.standin.StandInServer;

/** One pool's servers are all silent: does the other pool notice? Runs with and without load on the silent one alternate. */
final class PoolsMeasurement implements Measure.Measurement {
    private static final int ROUNDS = 7;
    private static final double SECONDS = 2;
    private static final int SOUND_CONNECTIONS = 8;
    private static final int SILENT_CONNECTIONS = 64;

    private static final String CONFIG = """
        version: 1
        name: pools
        listeners:
          in: {address: "127.0.0.1:0"}
        classes:
          look: {effect: safe, deadline: 2 s}
          slow: {effect: unsafe, deadline: 500 ms}
        pools:
          sound: {servers: [%s, %s]}
          silent: {servers: [%s, %s]}
        routes:
          - {name: sound, listener: in, path: /sound, pool: sound, class: look}
          - {name: silent, listener: in, path: /silent, pool: silent, class: slow}
        """;

    @Override
    public void run(Figures figures, double part) throws Exception {
        try (StandInServer a = new StandInServer("a", 0).delay(2, 0); StandInServer b = new StandInServer("b", 0).delay(2, 0);
                StandInServer c = new StandInServer("c", 0).silent(true);
                StandInServer d = new StandInServer("d", 0).silent(true)) {
            Faults faults = new Faults();
            NodeConfig config = NodeConfigReader.read(SourceFile.parse("pools", CONFIG.formatted(a.hostPort(), b.hostPort(),
                c.hostPort(), d.hostPort()), faults), Path.of("."), MachineLimits.UNKNOWN, faults);
            if (faults.any()) {
                throw new IllegalStateException(faults.list().toString());
            }
            Sidecar node = Sidecar.start(config);
            try {
                measure(figures, part, node.address("in"));
            } finally {
                node.stop();
            }
        }
    }

    private static void measure(Figures figures, double part, InetSocketAddress node) throws Exception {
        Load.run(node, Load.get("/sound"), SOUND_CONNECTIONS, 3);
        List<Double> p99 = new ArrayList<>();
        List<Double> alone99 = new ArrayList<>();
        List<Double> beside99 = new ArrayList<>();
        List<Double> servedAlone = new ArrayList<>();
        List<Double> servedBeside = new ArrayList<>();
        long silentAsked = 0;
        long silentServed = 0;
        for (int round = 0; round < ROUNDS; round++) {
            Result alone = Load.run(node, Load.get("/sound"), SOUND_CONNECTIONS, SECONDS * part);
            Result[] silent = new Result[1];
            Thread load = new Thread(() -> {
                try {
                    silent[0] = Load.run(node, Load.get("/silent"), SILENT_CONNECTIONS, SECONDS * part);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            load.start();
            Result beside = Load.run(node, Load.get("/sound"), SOUND_CONNECTIONS, SECONDS * part);
            load.join();
            silentAsked += silent[0].others() + silent[0].broken() + silent[0].trips().length;
            silentServed += silent[0].trips().length;
            alone99.add(alone.quantile(0.99));
            beside99.add(beside.quantile(0.99));
            p99.add(beside.quantile(0.99) / alone.quantile(0.99));
            servedAlone.add(alone.served());
            servedBeside.add(beside.served());
        }
        figures.put("requests to the silent pool", silentAsked, "");
        figures.hold("of these served", silentServed, "", 0, 0);
        figures.put("p99 alone, median of rounds", Figures.median(alone99), "us");
        figures.put("p99 beside the silent pool, median of rounds", Figures.median(beside99), "us");
        System.out.println("p99 beside / alone, lowest and highest: " + Figures.spread(p99));
        figures.hold("p99 beside / alone, median of rounds", Figures.median(p99), "", 0, 1.05);
        figures.put("served alone", Figures.median(servedAlone), "");
        figures.hold("served beside / alone", Figures.median(servedBeside) / Figures.median(servedAlone), "", 0.95, 1.05);
    }
}
