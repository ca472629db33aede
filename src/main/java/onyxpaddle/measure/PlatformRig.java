package onyxpaddle.measure;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import onyxpaddle.standin.StandInServer;

/** Servers, a discovery that names them, and processes of one platform node before them, as the platform starts them. */
final class PlatformRig implements AutoCloseable {
    private static final long LONGEST_START_S = 20;
    private static final List<String> OPTIONS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xms24m", "-Xmx48m",
        "-Xss512k", "-XX:MaxDirectMemorySize=24m", "-XX:-UsePerfData", "-Dio.netty.leakDetection.level=disabled");

    final List<StandInServer> servers = new ArrayList<>();
    final InetSocketAddress listen;
    private final HttpServer discovery;
    private final ExecutorService watches = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "watch");
        thread.setDaemon(true);
        return thread;
    });
    private final Path folder = Files.createTempDirectory("upgrade");
    private final List<Running> running = new ArrayList<>();

    PlatformRig(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            servers.add(new StandInServer("s" + i, 0));
        }
        discovery = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
        discovery.setExecutor(watches);
        discovery.createContext("/v1/endpoints", exchange -> {
            String query = exchange.getRequestURI().getQuery();
            boolean watch = query != null && query.contains("after=1") && !query.contains("wait_ms=0");
            try {
                Thread.sleep(watch ? 2_000 : 0);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            byte[] list = list(watch).getBytes(StandardCharsets.US_ASCII);
            exchange.sendResponseHeaders(200, list.length);
            exchange.getResponseBody().write(list);
            exchange.close();
        });
        discovery.start();
        listen = free();
    }

    private String list(boolean empty) {
        List<String> hosts = new ArrayList<>();
        for (StandInServer server : empty ? List.<StandInServer>of() : servers) {
            hosts.add("{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"a\",\"health\":\"ready\",\"share\":1.0,\"born_ms\":0}"
                .formatted("s" + servers.indexOf(server), server.hostPort()));
        }
        return "{\"seq\":1,\"whole\":" + !empty + ",\"hosts\":[" + String.join(",", hosts) + "]}";
    }

    private static InetSocketAddress free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    /** A process of the node that runs. */
    final class Running {
        final Process process;
        double startMs;
        private final long startedAt;
        private final Path log;
        private final InetSocketAddress admin = free();

        /** Starts it; {@code meets}: the folder where its processes meet. */
        private Running(Path meets) throws Exception {
            Path config = Files.writeString(folder.resolve("config.json"), """
                {"name":"measured","listen":"%s","discovery":"127.0.0.1:%d","seed":"7","limits":{"sockets":1024},"known":%s,
                 "settings":{"az":"a","areas":["a"],"quantumS":0.002,"membershipMode":"push","weights":"nominal",
                  "classes":[{"name":"read","effect":"read_like","aimS":0.5,"deadlineS":3,"worth":1},
                             {"name":"book","effect":"non_idempotent","aimS":0.5,"deadlineS":3,"worth":1}],
                  "limits":{"maxAttempts":3,"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfterS":1,
                            "dialTimeoutS":0.2,"keepaliveS":5},"rules":{"drainGraceS":2}}}"""
                .formatted(text(listen), discovery.getAddress().getPort(), list(false)));
            Path from = Path.of(PlatformRig.class.getProtectionDomain().getCodeSource().getLocation().toURI());
            // Tests may run from the classes beside the jar.
            Path jar = Files.isDirectory(from) ? from.resolveSibling("weldlink.jar") : from;
            log = folder.resolve("process-" + running.size() + ".log");
            List<String> command = new ArrayList<>();
            command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
            Path classes = jar.resolveSibling("weldlink.jsa");
            if (Files.exists(classes)) {
                command.add("-XX:SharedArchiveFile=" + classes);
            }
            command.addAll(OPTIONS);
            command.addAll(List.of("-jar", jar.toString(), "serve"));
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(log.toFile());
            builder.environment().put("GW_CONFIG", config.toString());
            builder.environment().put("GW_ADMIN", text(admin));
            builder.environment().put("TMPDIR", meets.toString());
            startedAt = System.nanoTime();
            process = builder.start();
        }

        /** Waits until it says that it is ready. */
        Running awaitReady() throws Exception {
            while (!call("GET /ready").startsWith("HTTP/1.1 200")) {
                if (System.nanoTime() - startedAt > TimeUnit.SECONDS.toNanos(LONGEST_START_S) || !process.isAlive()) {
                    process.destroyForcibly();
                    throw new IOException("the node was not ready within " + LONGEST_START_S + " s");
                }
                Thread.sleep(2);
            }
            startMs = (System.nanoTime() - startedAt) / 1e6;
            return this;
        }

        /** What it has written so far. */
        String log() throws IOException {
            return Files.readString(log);
        }

        /** Sends it a signal by its name, such as STOP or CONT. */
        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        /** What the door answers, head and all; empty where it doesn't. */
        String call(String what) {
            try (Socket socket = new Socket(admin.getAddress(), admin.getPort())) {
                socket.setSoTimeout(2_000);
                socket.getOutputStream().write((what + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            } catch (IOException e) {
                return "";
            }
        }

        /** Its resident memory in MiB, the highest so far. */
        double highestResident() throws IOException {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith("VmHWM:")) {
                    return Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024;
                }
            }
            return Double.NaN;
        }
    }

    /** Starts a further process and waits until it is ready; {@code knows}: it is told what the one that runs knows. */
    Running start(boolean knows) throws Exception {
        return launch(knows).awaitReady();
    }

    /** As {@link #start}, and does not wait for it. */
    Running launch(boolean knows) throws Exception {
        Path meets = folder.resolve(knows ? "node" : "alone" + running.size());
        Files.createDirectories(meets);
        Running next = new Running(meets);
        running.add(next);
        return next;
    }

    private static String text(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    @Override
    public void close() throws IOException {
        for (Running r : running) {
            r.process.destroyForcibly().onExit().join();
        }
        discovery.stop(0);
        watches.shutdownNow();
        for (StandInServer server : servers) {
            server.close();
        }
        try (Stream<Path> left = Files.walk(folder)) {
            for (Path file : left.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
