package onyxpaddle.serve;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Training run for the class data archive: runs a node's typical work, in small, on loopback sockets of its own. The build runs it
 * once so that the JVM can archive the classes that a node loads, as class loading took most of a node's start time and a node that
 * restarts is unavailable for that time. Without the archive a node behaves the same, only starts more slowly.
 */
public final class TrainingRun {
    private static final int REQUESTS = 200;
    private static final byte[] LIST = "{\"seq\":2,\"whole\":false,\"hosts\":[]}".getBytes(StandardCharsets.US_ASCII);

    private TrainingRun() {
    }

    public static void main() throws Exception {
        HttpServer backend = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
        byte[] answer = new byte[1000];
        backend.createContext("/", exchange -> {
            exchange.getRequestBody().readAllBytes();
            byte[] body = exchange.getRequestURI().getPath().equals("/v1/endpoints") ? LIST : answer;
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        backend.start();
        SighupHandler.install(() -> { });
        Path folder = Files.createTempDirectory("node");
        Node node = node(backend, "127.0.0.1:0", folder);
        for (int i = 0; i < REQUESTS; i++) {
            request(node.address(), i);
        }
        for (String call : List.of("GET /ready", "GET /metrics", "POST /drain", "POST /undrain")) {
            send(node.adminAddress(), call + " HTTP/1.1\r\n\r\n");
        }
        Node next = node(backend, "127.0.0.1:" + node.address().getPort(), folder);
        node.drain();
        node.stop();
        next.drain();
        next.stop();
        backend.stop(0);
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    private static Node node(HttpServer backend, String listen, Path folder) throws Exception {
        return Node.start(PlatformConfig.parse(config(backend.getAddress()).getBytes(StandardCharsets.US_ASCII),
            Map.of("GW_LISTEN", listen, "GW_ADMIN", "127.0.0.1:0")), folder.toString());
    }

    private static void request(InetSocketAddress node, int number) throws IOException {
        String head = number % 2 == 0 ? "GET /read" : "POST /book";
        send(node, head + " HTTP/1.1\r\nX-Trace-Id: r" + number + "\r\nX-Expires-In: 1.000\r\n"
            + "Connection: close\r\nContent-Length: " + (number % 2) + "\r\n\r\n" + "x".repeat(number % 2));
    }

    private static void send(InetSocketAddress node, String text) throws IOException {
        try (Socket socket = new Socket(node.getAddress(), node.getPort()); OutputStream out = socket.getOutputStream();
                InputStream in = socket.getInputStream()) {
            out.write(text.getBytes(StandardCharsets.US_ASCII));
            in.readAllBytes();
        }
    }

    private static String config(InetSocketAddress backend) {
        String address = "127.0.0.1:" + backend.getPort();
        return """
            {"name":"rehearsal","listen":"127.0.0.1:0","discovery":"%s","seed":"1","limits":{"sockets":256},
             "known":{"seq":1,"whole":true,"hosts":[{"host":"s1","dial":"%s","site":"a","health":"ready","share":1.0}]},
             "settings":{"az":"a","areas":["a"],"quantumS":0.002,
              "classes":[{"name":"read","effect":"read_like","aimS":1,"deadlineS":2},
                         {"name":"book","effect":"non_idempotent","aimS":1,"deadlineS":2}],
              "limits":{"maxAttempts":3,"cancel":true,"dialTimeoutS":1,"keepaliveS":5}}}""".formatted(address, address);
    }
}
