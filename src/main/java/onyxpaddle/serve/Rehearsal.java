package onyxpaddle.serve;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A node's usual work in small, on loopback sockets of its own. The build runs it once so that the JVM can store
 * the classes that a node loads: a node that is restarted is away for as long as its start takes, and most of that
 * was the loading of classes. A run without the stored classes does the same, only later.
 */
public final class Rehearsal {
    private static final int REQUESTS = 200;
    private static final byte[] LIST = "{\"seq\":2,\"whole\":false,\"hosts\":[]}".getBytes(StandardCharsets.US_ASCII);

    private Rehearsal() {
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
        Hangup.runs(() -> { });
        Node node = Node.start(PlatformConfig.parse(config(peers.getAddress()).getBytes(StandardCharsets.US_ASCII),
            Map.of()));
        for (int i = 0; i < REQUESTS; i++) {
            ask(node.address(), i);
        }
        node.drain();
        node.stop();
        peers.stop(0);
    }

    private static void ask(InetSocketAddress node, int number) throws IOException {
        String head = number % 2 == 0 ? "GET /read" : "POST /book";
        String text = head + " HTTP/1.1\r\nX-Trace-Id: r" + number + "\r\nX-Expires-In: 1.000\r\n"
            + "Connection: close\r\nContent-Length: " + (number % 2) + "\r\n\r\n" + "x".repeat(number % 2);
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
