package onyxpaddle.measure;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import onyxpaddle.measure.Load.Result;
import onyxpaddle.standin.StandInServer;

/** What a sidecar adds to a call, against calling the same stand-in straight; runs of the two alternate. */
final class SidecarMeasurement implements Measure.Measurement {
    private static final int ROUNDS = 5;
    private static final double SECONDS = 2;
    private static final int CONNECTIONS = 8;
    private static final long LONGEST_START_S = 20;

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
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        Path jar = Path.of(SidecarMeasurement.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        Path file = Files.createTempFile("measured", ".yaml");
        try (StandInServer application = new StandInServer("application", 0)) {
            Files.writeString(file, CONFIG.formatted(port, application.hostPort()));
            long start = System.nanoTime();
            Process node = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m", "-Xss512k", "-cp", jar.toString(),
                "onyxpaddle.Main", "serve", "--config", file.toString()).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
            try {
                awaitReady(port);
                figures.hold("start to ready", (System.nanoTime() - start) / 1e6, "ms", 0, 5_000);
                measure(figures, part, application.address(), new InetSocketAddress("127.0.0.1", port));
                figures.hold("memory (resident) after the load", resident(node.pid()), "MiB", 0, 200);
            } finally {
                node.destroy();
                node.waitFor(10, TimeUnit.SECONDS);
                node.destroyForcibly();
            }
        } finally {
            Files.delete(file);
        }
    }

    private static void awaitReady(int port) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LONGEST_START_S);
        byte[] ask = Load.get("/.lupinmount/ready", "Connection: close");
        while (System.nanoTime() < end) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.getOutputStream().write(ask);
                if (new String(socket.getInputStream().readAllBytes()).startsWith("HTTP/1.1 200")) {
                    return;
                }
            } catch (IOException e) {
                // not yet there
            }
            Thread.sleep(5);
        }
        throw new IOException("the node was not ready within " + LONGEST_START_S + " s");
    }

    private static double resident(long pid) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024;
            }
        }
        return Double.NaN;
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
