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
 * A node's usual work in small, on loopback sockets of its own. The build install it once so that the JVM can store
 * the classes that a node loads: a node that is restarted is away for as long as its start takes, and most of that
 * was the loading of classes. A run without the stored classes does the same, only later.
 */
public final class TrainingRun {
    private static final int REQUESTS = 200;
    private static final byte[] LIST = "{\"seq\":2,\"whole\":false,\"hosts\":[]}".getBytes(StandardCharsets.US_ASCII);

    private TrainingRun() {
    }

    public static void main() throws Exception {
        HttpServer peers = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
        byte[] answer = new byte[1000];
        peers.createContext("/", exchange -> {
            exchange.getRequestBody().readAllBytes();
            byte[] body = exchange.getRequestURI().getPath().equals("/v1/endpoints") ? LIST : answer;
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        peers.start();
        SighupHandler.install(() -> { });
        Path folder = Files.createTempDirectory("node");
        Node node = node(peers, "127.0.0.1:0", folder);
        for (int i = 0; i < REQUESTS; i++) {
            ask(node.address(), i);
        }
        for (String call : List.of("GET /ready", "GET /metrics", "POST /drain", "POST /undrain")) {
            say(node.adminAddress(), call + " HTTP/1.1\r\n\r\n");
        }
        Node next = node(peers, "127.0.0.1:" + node.address().getPort(), folder);
        node.drain();
        node.stop();
        next.drain();
        next.stop();
        peers.stop(0);
        try (Stream<Path> left = Files.list(folder)) {
            for (Path file : left.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    private static Node node(HttpServer peers, String listen, Path folder) throws Exception {
        return Node.start(PlatformConfig.parse(config(peers.getAddress()).getBytes(StandardCharsets.US_ASCII),
            Map.of("GW_LISTEN", listen, "GW_ADMIN", "127.0.0.1:0")), folder.toString());
    }

    private static void ask(InetSocketAddress node, int number) throws IOException {
        String head = number % 2 == 0 ? "GET /read" : "POST /book";
        say(node, head + " HTTP/1.1\r\nX-Trace-Id: r" + number + "\r\nX-Expires-In: 1.000\r\n"
            + "Connection: close\r\nContent-Length: " + (number % 2) + "\r\n\r\n" + "x".repeat(number % 2));
    }

    private static void say(InetSocketAddress node, String text) throws IOException {
        try (Socket socket = new Socket(node.getAddress(), node.getPort()); OutputStream out = socket.getOutputStream();
                InputStream in = socket.getInputStream()) {
            out.write(text.getBytes(StandardCharsets.US_ASCII));
            in.readAllBytes();
        }
    }

    private static String config(InetSocketAddress peers) {
        String at = "127.0.0.1:" + peers.getPort();
        return """
            {"name":"rehearsal","listen":"127.0.0.1:0","discovery":"%s","seed":"1","limits":{"sockets":256},
             "known":{"seq":1,"whole":true,"hosts":[{"host":"s1","dial":"%s","site":"a","health":"ready","share":1.0}]},
             "settings":{"az":"a","areas":["a"],"quantumS":0.002,
              "classes":[{"name":"read","effect":"read_like","aimS":1,"deadlineS":2},
                         {"name":"book","effect":"non_idempotent","aimS":1,"deadlineS":2}],
              "limits":{"maxAttempts":3,"cancel":true,"dialTimeoutS":1,"keepaliveS":5}}}""".formatted(at, at);
    }
}
