package onyxpaddle.measure;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import onyxpaddle.measure.Load.Result;
import onyxpaddle.measure.Measure.Measurement;
import onyxpaddle.standin.StandInBgpPeer;
import onyxpaddle.standin.StandInServer;

/**
 * Four routers whose sessions break every half second, one of which announces routes without end while it is connected: what do
 * requests through the same node notice, and how many updates do the routers get?
 */
final class BgpMeasurement implements Measurement {
    private static final int ROUTERS = 4;
    private static final int ROUNDS = 6;
    private static final double SECONDS = 2;
    private static final int CONNECTIONS = 16;
    private static final int BREAK_MS = 500;
    private static final long ANNOUNCED_MS = 10_000;
    /** An UPDATE of 200 prefixes, in hex behind its header. */
    private static final String FLOOD = "0000 0014 40010100 400206 0201 0000fc59 4003040a000001".replace(" ", "") + "200b000001".repeat(200);

    private static final String CONFIG = """
        version: 1
        name: announcer
        listeners:
          in: {address: "127.0.0.1:%d"}
        classes:
          look: {effect: safe, deadline: 2 s}
        pools:
          app: {servers: [%s, %s]}
        routes:
          - {name: look, listener: in, path: /, pool: app, class: look}
        bgp:
          as: 64600
          identifier: 10.0.0.4
          peers:
        %s  addresses:
            clinic: {prefixes: [10.9.8.7/32], pools: [app], hold-down: 1 s}
        """;

    @Override
    public void run(Figures figures, double part) throws Exception {
        List<StandInBgpPeer> routers = new ArrayList<>();
        StringBuilder peers = new StringBuilder();
        try (StandInServer a = new StandInServer("a", 0).delay(5, 5); StandInServer b = new StandInServer("b", 0).delay(5, 5)) {
            for (int i = 0; i < ROUTERS; i++) {
                StandInBgpPeer router = new StandInBgpPeer("127.0.0." + (2 + i), 64601, i + 1, 30);
                routers.add(router);
                peers.append("    r").append(i).append(": {address: \"127.0.0.").append(2 + i).append(':').append(router.address().getPort())
                    .append("\", as: 64601, next-hop: 10.0.0.4, connect-retry: 1 s}\n");
            }
            try (NodeProcess node = NodeProcess.start(CONFIG, 1, a.hostPort(), b.hostPort(), peers)) {
                measure(figures, part, node, routers);
            }
        } finally {
            for (StandInBgpPeer router : routers) {
                router.close();
            }
        }
    }

    private static void measure(Figures figures, double part, NodeProcess node, List<StandInBgpPeer> routers) throws Exception {
        long start = System.nanoTime();
        while (!routers.stream().allMatch(r -> r.table().containsKey("10.9.8.7/32"))) {
            if (System.nanoTime() - start > TimeUnit.MILLISECONDS.toNanos(ANNOUNCED_MS)) {
                throw new IOException("not announced within " + ANNOUNCED_MS + " ms");
            }
            TimeUnit.MILLISECONDS.sleep(5);
        }
        Load.run(node.listener(0), Load.get("/"), CONNECTIONS, 3);
        List<Double> ratios = new ArrayList<>();
        List<Double> quiet99 = new ArrayList<>();
        List<Double> flapping99 = new ArrayList<>();
        List<Double> served = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            Result quiet = Load.run(node.listener(0), Load.get("/"), CONNECTIONS, SECONDS * part);
            Thread flaps = new Thread(() -> flap(routers));
            flaps.start();
            Result flapping = Load.run(node.listener(0), Load.get("/"), CONNECTIONS, SECONDS * part);
            flaps.interrupt();
            flaps.join();
            quiet99.add(quiet.quantile(0.99));
            flapping99.add(flapping.quantile(0.99));
            ratios.add(flapping.quantile(0.99) / quiet.quantile(0.99));
            served.add(flapping.served());
        }
        double minutes = (System.nanoTime() - start) / 60e9;
        figures.put("routers, sessions in all", routers.stream().mapToInt(StandInBgpPeer::sessions).sum(), "");
        figures.put("messages that routers got", routers.stream().mapToInt(StandInBgpPeer::messages).sum(), "");
        figures.hold("announcements and withdrawals beyond one a session", routers.stream().mapToInt(r -> r.changes().size() - r.sessions()).sum(),
            "", -1_000, 0);
        figures.put("minutes", minutes, "");
        figures.hold("what broke the RFCs", routers.stream().mapToInt(r -> r.faults().size()).sum(), "", 0, 0);
        figures.put("p99 with quiet sessions", Figures.median(quiet99), "us");
        figures.put("p99 with flapping ones", Figures.median(flapping99), "us");
        System.out.println("p99 flapping / quiet, lowest and highest: " + Figures.spread(ratios));
        figures.hold("p99 flapping / quiet, median of rounds", Figures.median(ratios), "", 0, 1.05);
        figures.hold("served with flapping ones", Figures.median(served), "", 0.999, 1);
    }

    /** Breaks sessions off again and again; the first router floods as long as its own stands. */
    private static void flap(List<StandInBgpPeer> routers) {
        try {
            while (true) {
                long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BREAK_MS);
                while (System.nanoTime() < until) {
                    if (routers.get(0).established()) {
                        flood(routers.get(0));
                    }
                    TimeUnit.MILLISECONDS.sleep(5);
                }
                for (StandInBgpPeer router : routers) {
                    router.closeSession();
                }
            }
        } catch (InterruptedException e) {
            // The round is over.
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static void flood(StandInBgpPeer router) {
        try {
            for (int i = 0; i < 10; i++) {
                router.send(2, FLOOD);
            }
        } catch (IOException e) {
            // The session has just ended.
        }
    }
}
