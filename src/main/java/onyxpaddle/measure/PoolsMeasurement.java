package onyxpaddle.measure;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import onyxpaddle.measure.Load.Result;
import onyxpaddle.standin.StandInServer;

/**
 * One pool's servers are all silent: does the other pool notice? Rounds with and without load on the silent one alternate.
 * Measured twice: beside servers that take as long as a booking's first tier does, and beside servers
 * and connections so fast that whatever the node's loop does shows. Neither must notice: at the slower pace the servers'
 * own time hides all but a gross disturbance.
 */
final class PoolsMeasurement implements Measure.Measurement {
    private static final int ROUNDS = 5;
    private static final double SECONDS = 2;
    private static final int SILENT_CONNECTIONS = 64;
    /** The silent class's deadline in seconds: the connections' first requests are spread over it. */
    private static final double SILENT_FOR = 0.5;

    /** How long the sound servers take, in milliseconds, and how many connections ask. */
    private record Pace(String name, int least, int jitter, int connections) {
    }

    private static final List<Pace> PACES = List.of(new Pace("20 to 40 ms a call", 20, 20, 64),
        new Pace("2 ms a call", 2, 0, 8));

    private static final String CONFIG = """
        version: 1
        name: pools
        listeners:
          in: {address: "127.0.0.1:%d"}
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
        for (Pace pace : PACES) {
            try (StandInServer a = new StandInServer("a", 0).delay(pace.least(), pace.jitter());
                    StandInServer b = new StandInServer("b", 0).delay(pace.least(), pace.jitter());
                    StandInServer c = new StandInServer("c", 0).silent(true);
                    StandInServer d = new StandInServer("d", 0).silent(true);
                    NodeProcess node = NodeProcess.start(CONFIG, 1, a.hostPort(), b.hostPort(), c.hostPort(), d.hostPort())) {
                System.out.println(pace.name() + ", " + pace.connections() + " connections:");
                measure(figures, part, node.listener(0), pace);
            }
        }
    }

    private static void measure(Figures figures, double part, InetSocketAddress node, Pace pace) throws Exception {
        Load.run(node, Load.get("/sound"), pace.connections(), 3);
        List<Double> p99 = new ArrayList<>();
        List<Double> alone99 = new ArrayList<>();
        List<Double> beside99 = new ArrayList<>();
        List<Double> servedAlone = new ArrayList<>();
        List<Double> servedBeside = new ArrayList<>();
        List<Double> rates = new ArrayList<>();
        long silentAsked = 0;
        long silentServed = 0;
        for (int round = 0; round < ROUNDS; round++) {
            Result alone = Load.run(node, Load.get("/sound"), pace.connections(), SECONDS * part);
            Result[] silent = new Result[1];
            Thread load = new Thread(() -> {
                try {
                    silent[0] = Load.run(node, Load.get("/silent"), SILENT_CONNECTIONS, SECONDS * part, SILENT_FOR);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            load.start();
            Result beside = Load.run(node, Load.get("/sound"), pace.connections(), SECONDS * part);
            load.join();
            silentAsked += silent[0].others() + silent[0].broken() + silent[0].trips().length;
            silentServed += silent[0].trips().length;
            alone99.add(alone.quantile(0.99));
            beside99.add(beside.quantile(0.99));
            p99.add(beside.quantile(0.99) / alone.quantile(0.99));
            servedAlone.add(alone.served());
            servedBeside.add(beside.served());
            rates.add(beside.perSecond());
        }
        String of = pace.name() + ": ";
        double served = Figures.median(servedBeside) / Figures.median(servedAlone);
        figures.put(of + "requests a second, sound pool", Figures.median(rates), "");
        figures.put(of + "requests to the silent pool", silentAsked, "");
        figures.hold(of + "of these served", silentServed, "", 0, 0);
        figures.put(of + "p99 alone", Figures.median(alone99), "us");
        figures.put(of + "p99 beside the silent pool", Figures.median(beside99), "us");
        System.out.println("p99 beside / alone, lowest and highest: " + Figures.spread(p99));
        figures.hold(of + "p99 beside / alone, median of rounds", Figures.median(p99), "", 0, 1.05);
        figures.put(of + "served alone", Figures.median(servedAlone), "");
        figures.hold(of + "served beside / alone", served, "", 0.95, 1.05);
    }
}
