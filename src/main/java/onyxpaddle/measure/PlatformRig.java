package onyxpaddle.measure;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Stream;
import onyxpaddle.drill.ServeProcess;
import onyxpaddle.standin.StandInServer;

/** Servers, a discovery that names them, and processes of one platform node before them, as the platform starts them. */
final class PlatformRig implements AutoCloseable {
    final List<StandInServer> servers = new ArrayList<>();
    final InetSocketAddress listen;
    private final HttpServer discovery;
    private final ExecutorService watches = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "watch");
        thread.setDaemon(true);
        return thread;
    });
    private final Path folder = Files.createTempDirectory("upgrade");
    private final List<ServeProcess> running = new ArrayList<>();
    private final Limits limits;

    /** What the platform grants a process: descriptors and memory in MB. */
    record Limits(int sockets, int memoryMb) {
    }

    PlatformRig(int count) throws Exception {
        this(count, new Limits(1_024, 192));
    }

    PlatformRig(int count, Limits limits) throws Exception {
        this.limits = limits;
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
        listen = ServeProcess.freePort();
    }

    private String list(boolean empty) {
        List<String> hosts = new ArrayList<>();
        for (StandInServer server : empty ? List.<StandInServer>of() : servers) {
            hosts.add("{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"a\",\"health\":\"ready\",\"share\":1.0,\"born_ms\":0}"
                .formatted("s" + servers.indexOf(server), server.hostPort()));
        }
        return "{\"seq\":1,\"whole\":" + !empty + ",\"hosts\":[" + String.join(",", hosts) + "]}";
    }

    private String config() {
        return """
            {"name":"measured","listen":"%s","discovery":"127.0.0.1:%d","seed":"7","limits":{"sockets":%d,"memory_mb":%d},"known":%s,
             "settings":{"az":"a","areas":["a"],"quantumS":0.002,"membershipMode":"push","weights":"nominal",
              "classes":[{"name":"read","effect":"read_like","aimS":0.5,"deadlineS":3,"worth":1},
                         {"name":"book","effect":"non_idempotent","aimS":0.5,"deadlineS":3,"worth":1}],
              "limits":{"maxAttempts":3,"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfterS":1,
                        "dialTimeoutS":0.2,"keepaliveS":5},"rules":{"drainGraceS":2}}}"""
            .formatted(ServeProcess.hostPort(listen), discovery.getAddress().getPort(), limits.sockets(), limits.memoryMb(), list(false));
    }

    /** Starts a further process and waits until it is ready; {@code knows}: it is told what the one that runs knows. */
    ServeProcess start(boolean knows) throws Exception {
        return launch(knows).awaitReady();
    }

    /** As {@link #start}, and does not wait for it. */
    ServeProcess launch(boolean knows) throws Exception {
        Path meets = folder.resolve(knows ? "node" : "alone" + running.size());
        Files.createDirectories(meets);
        ServeProcess next = ServeProcess.start(Files.writeString(folder.resolve("config.json"), config()), meets,
            folder.resolve("process-" + running.size() + ".log"), Map.of(),
            new ServeProcess.Machine(limits.sockets(), ServeProcess.jar().resolveSibling("weldlink.jsa")));
        running.add(next);
        return next;
    }

    @Override
    public void close() throws IOException {
        for (ServeProcess r : running) {
            r.process().destroyForcibly().onExit().join();
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
