package onyxpaddle.measure;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import onyxpaddle.drill.ServeProcess;
import onyxpaddle.standin.StandInServer;

/** The configuration file of one platform node, and questions to that node, for tests that start it as a process. */
final class PlatformFile {
    private PlatformFile() {
    }

    /** A whole list of these servers; {@code bornMs}: when they started. */
    static String list(int seq, long bornMs, StandInServer... servers) {
        return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[" + IntStream.range(0, servers.length).mapToObj(i ->
            "{\"host\":\"s-%s\",\"dial\":\"%s\",\"site\":\"a\",\"class\":\"m\",\"block\":1,\"health\":\"ready\",\"share\":1.0,\"born_ms\":%d}"
                .formatted(servers[i].hostPort(), servers[i].hostPort(), bornMs)).collect(Collectors.joining(",")) + "]}";
    }

    static String of(InetSocketAddress listen, String discovery, String known, int sockets) {
        String classes = List.of("read:read_like", "book:non_idempotent").stream().map(c -> c.split(":"))
            .map(c -> "{\"name\":\"%s\",\"effect\":\"%s\",\"aimS\":0.5,\"deadlineS\":3,\"worth\":1}".formatted(c[0], c[1]))
            .collect(Collectors.joining(","));
        return """
            {"name":"n0","listen":"%s","discovery":"%s","seed":"7","limits":{"cores":0.5,"memory_mb":96,"sockets":%d},"known":%s,
             "settings":{"az":"a","areas":["a"],"quantumS":0.002,"membershipMode":"push","weights":"nominal","classes":[%s],
              "limits":{"maxAttempts":3,"cancel":true,"retryAfter":true,"maxRetryAfterS":1,"dialTimeoutS":0.5,"keepaliveS":5},
              "rules":{"drainGraceS":2,"startCapacity":0.3,"coldS":20,"fallMultiple":3,"overloadForS":2}}}"""
            .formatted(ServeProcess.hostPort(listen), discovery, sockets, known, classes);
    }

    /** Asks on a connection of its own; empty where it ends without an answer. */
    static String ask(InetSocketAddress node, String request) {
        try (Socket socket = new Socket(node.getAddress(), node.getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            return "";
        }
    }

    static boolean ready(InetSocketAddress node) {
        return ask(node, "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n").startsWith("HTTP/1.1 200");
    }

    static String booking(String id) {
        return "POST /book HTTP/1.1\r\nX-Trace-Id: " + id + "\r\nX-Qos: book\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    }
}
