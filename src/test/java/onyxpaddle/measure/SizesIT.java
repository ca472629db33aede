package onyxpaddle.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import onyxpaddle.drill.ServeProcess;
import onyxpaddle.standin.StandInServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Deployments other than the usual one, each as a process: it serves each of its classes within its memory, or says on one line what makes no sense. */
class SizesIT {
    private static final List<String> EFFECTS = List.of("read_like", "idempotency_key", "non_idempotent");
    @TempDir
    private Path folder;

    private static String list(int servers, int zones, StandInServer at) {
        String zone = zones == 0 ? "" : "zone-";
        return "{\"seq\":1,\"whole\":true,\"hosts\":[" + IntStream.range(0, servers).mapToObj(i ->
            "{\"host\":\"s-%d-%s\",\"dial\":\"%s\",\"site\":\"%s\",\"class\":\"m\",\"block\":%d,\"health\":\"ready\",\"share\":1.0,\"born_ms\":0}"
                .formatted(i, "x".repeat(200), at.hostPort(), zones == 0 ? "" : zone + i % zones, i % 7)).collect(Collectors.joining(",")) + "]}";
    }

    private static String config(InetSocketAddress listen, int discovery, String list, int sockets, double memory, String deadline) {
        String classes = EFFECTS.stream().map(e -> "{\"name\":\"" + e + "\",\"effect\":\"" + e + "\",\"memorySpanS\":5,\"aimS\":0.04"
            + (deadline.equals("none") ? "" : ",\"deadlineS\":" + deadline) + ",\"worth\":1}").collect(Collectors.joining(","));
        return """
            {"name":"n119","listen":"%s","discovery":"127.0.0.1:%d","seed":"7","limits":{"cores":0.5,"memory_mb":%s,"sockets":%d},"known":%s,
             "settings":{"az":"zone-0","areas":["zone-0","zone-1"],"me":119,"siblings":120,"quantumS":0.002,"membershipMode":"push","weights":"nominal",
              "classes":[%s],"limits":{"maxAttempts":4,"cancel":true,"retryAfter":true,"maxRetryAfterS":1,"dialTimeoutS":0.2,"keepaliveS":5},
              "rules":{"drainGraceS":2,"startCapacity":0.3,"coldS":5,"fallMultiple":3,"overloadForS":2}}}"""
            .formatted(ServeProcess.hostPort(listen), discovery, memory, sockets, list, classes);
    }

    /** Memory as the platform counts it is what is resident; the file system's share of the class archive is in it. */
    @ParameterizedTest
    @CsvSource({"1, 0, 100, 64, 0.05", "1100, 40, 128, 96, 4.5", "300, 3, 512, 80, none", "1, 1, 100, 64, none"})
    void servesEachClassWithinItsMemory(int servers, int zones, int sockets, double memory, String deadline) throws Exception {
        try (StandInServer server = new StandInServer("s", 0)) {
            HttpServer discovery = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
            byte[] list = list(servers, zones, server).getBytes(StandardCharsets.US_ASCII);
            discovery.setExecutor(Executors.newCachedThreadPool());
            discovery.createContext("/", exchange -> {
                exchange.sendResponseHeaders(200, list.length);
                exchange.getResponseBody().write(list);
                exchange.close();
            });
            discovery.start();
            InetSocketAddress listen = ServeProcess.freePort();
            ServeProcess node = ServeProcess.start(Files.writeString(folder.resolve("config.json"),
                config(listen, discovery.getAddress().getPort(), new String(list, StandardCharsets.US_ASCII), sockets, memory, deadline)),
                folder, folder.resolve("log"), Map.of());
            try {
                node.awaitReady();
                for (String effect : EFFECTS) {
                    String answer = "";
                    // Before its code is compiled a node may be later than the shortest deadline.
                    for (int i = 0; i < 200 && !answer.startsWith("HTTP/1.1 200"); i++) {
                        answer = ask(listen, effect, i);
                    }
                    assertTrue(answer.startsWith("HTTP/1.1 200"), effect + ": " + answer);
                }
                assertTrue(node.call("GET /metrics").contains("svc_hosts_listed " + servers + "\n"));
                double resident = node.peakResidentMiB();
                assertTrue(resident < memory, resident + " MiB of " + memory);
                node.process().destroy();
                assertTrue(node.process().waitFor(10, TimeUnit.SECONDS), "it ends by itself");
                assertEquals(143, node.process().exitValue());
            } finally {
                node.kill();
                discovery.stop(0);
            }
        }
    }

    private static String ask(InetSocketAddress node, String effect, int number) throws IOException {
        String head = (effect.equals("read_like") ? "GET /" : "POST /") + effect + " HTTP/1.1\r\nX-Trace-Id: r" + effect + number + "\r\n"
            + (effect.equals("idempotency_key") ? "Idempotency-Key: k" + number + "\r\n" : "") + "Connection: close\r\nContent-Length: 0\r\n\r\n";
        try (Socket socket = new Socket(node.getAddress(), node.getPort())) {
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    @Test
    void tooFewDescriptorsAreNoConfiguration() throws Exception {
        refused(config(ServeProcess.freePort(), 9, "{\"seq\":1,\"whole\":true,\"hosts\":[]}", 99, 64, "1"), "limits.sockets");
    }

    @ParameterizedTest
    @ValueSource(strings = {"\"maxAttempts\":4|\"maxAttempts\":0|limits.maxAttempts", "\"read_like\",\"memory|\"maybe\",\"memory|classes.0.effect",
        "\"deadlineS\":1|\"deadlineS\":-1|classes.deadline", "\"listen\":\"127|\"listen\":\"host.|listen", "\"seed\":\"7\"|\"seed\":\"z\"|seed"})
    void whatMakesNoSenseIsSaidOnOneLine(String change) throws Exception {
        String[] parts = change.split("\\|");
        String sound = config(ServeProcess.freePort(), 9, "{\"seq\":1,\"whole\":true,\"hosts\":[]}", 128, 64, "1");
        assertTrue(sound.contains(parts[0]), parts[0]);
        refused(sound.replace(parts[0], parts[1]), parts[2]);
    }

    private void refused(String config, String named) throws Exception {
        ServeProcess node = ServeProcess.start(Files.writeString(folder.resolve("config.json"), config), folder, folder.resolve("log"), Map.of());
        assertTrue(node.process().waitFor(20, TimeUnit.SECONDS));
        assertEquals(78, node.process().exitValue(), node.log());
        List<String> said = node.log().lines().filter(l -> l.startsWith("weldlink: ")).toList();
        assertEquals(1, said.size(), node.log());
        assertTrue(said.get(0).contains(named), said.get(0));
    }
}
