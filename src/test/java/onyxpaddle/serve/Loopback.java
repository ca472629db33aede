package onyxpaddle.serve;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Runs a node on loopback sockets against a discovery, servers and clients whose bytes on the wire a test sets. */
final class Loopback implements AutoCloseable {
    static final int TIMEOUT_MS = 20_000;

    final Node node;
    final FakeDiscovery discovery;

    Loopback(FakeServer... servers) throws Exception {
        this(null, servers);
    }

    /** @param sites the file of the site monitor, null for none */
    Loopback(String sites, FakeServer... servers) throws Exception {
        discovery = new FakeDiscovery(list(1, servers));
        node = Node.start(PlatformConfig.parse(config(discovery, servers).getBytes(StandardCharsets.UTF_8),
            sites == null ? Map.of() : Map.of("GW_ADMIN", "127.0.0.1:0")), null, sites);
    }

    static String config(FakeDiscovery discovery, FakeServer... servers) {
        return """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"1","limits":{"sockets":256},"known":%s,
             "settings":{"az":"a","areas":["a"],"quantumS":0.002,"membershipMode":"push","weights":"nominal",
              "classes":[{"name":"read","effect":"read_like","aimS":5,"deadlineS":10,"worth":1},
                         {"name":"book","effect":"non_idempotent","aimS":5,"deadlineS":10,"worth":1}],
              "limits":{"maxAttempts":3,"cancel":true,"retryAfter":true,"maxRetryAfterS":1,"dialTimeoutS":2,
                        "keepaliveS":60},
              "rules":{"drainGraceS":2}}}""".formatted(discovery.address(), list(1, servers));
    }

    static String list(int seq, FakeServer... servers) {
        List<String> hosts = new ArrayList<>();
        for (FakeServer server : servers) {
            hosts.add("{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"a\",\"health\":\"ready\",\"share\":1.0,\"born_ms\":0}"
                .formatted(server.name, server.address()));
        }
        return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[" + String.join(",", hosts) + "]}";
    }

    static String request(String id, String requestClass, String... headers) {
        StringBuilder head = new StringBuilder(requestClass.equals("read") ? "GET" : "POST").append(" /")
            .append(requestClass).append(" HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: ").append(id)
            .append("\r\nX-Qos: ").append(requestClass).append("\r\n");
        for (String header : headers) {
            head.append(header).append("\r\n");
        }
        return head.append("\r\n").toString();
    }

    static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    Client client() throws IOException {
        return new Client(node.address());
    }

    static void await(java.util.function.BooleanSupplier check) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!check.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("condition does not hold after " + TIMEOUT_MS + " ms");
            }
            Thread.sleep(1);
        }
    }

    @Override
    public void close() throws IOException {
        node.stop();
        discovery.close();
    }

    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();

        Client(InetSocketAddress node) throws IOException {
            socket.setSoTimeout(TIMEOUT_MS);
            socket.connect(node);
        }

        Client send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        /** Polls until the node is ready. Each poll takes an iteration of the node's event loop. */
        Client awaitReady() throws IOException {
            while (!send("GET /ready HTTP/1.1\r\n\r\n").readAnswer().startsWith("200")) {
                Thread.onSpinWait();
            }
            return this;
        }

        /** Reads the next answer, as status and body; null if the node closes the connection instead. */
        String readAnswer() throws IOException {
            String head = head(socket.getInputStream());
            return head == null ? null : head.split(" ")[1] + " " + body(head, socket.getInputStream());
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Reads a head up to its empty line; null if the peer closes first. */
    static String head(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next;
            try {
                next = in.read();
            } catch (java.net.SocketException e) {
                next = -1;
            }
            if (next < 0) {
                return null;
            }
            head.write(next);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    static String body(String head, InputStream in) throws IOException {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                int length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
                return new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
            }
        }
        return "";
    }

    /** Accepts connections and serves each on a thread of its own. */
    abstract static class Peer implements AutoCloseable {
        final ServerSocket listener;

        Peer() throws IOException {
            listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
            daemon(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    daemon(() -> {
                        try (socket) {
                            serve(socket);
                        }
                    });
                }
            });
        }

        abstract void serve(Socket socket) throws Exception;

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }

        interface Task {
            void run() throws Exception;
        }

        /** Runs a task on a thread of its own until it fails. */
        static void daemon(Task task) {
            Thread thread = new Thread(() -> {
                try {
                    task.run();
                } catch (Exception e) {
                    // The node or the end of the test closed the socket.
                }
            });
            thread.setDaemon(true);
            thread.start();
        }
    }

    /** A server that answers each request with the next of its answers, and records the requests. */
    static class FakeServer extends Peer {
        /** In place of an answer: resets the connection. */
        static final String RESET = "";
        final String name;
        final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
        final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
        final BlockingQueue<Socket> connections = new LinkedBlockingQueue<>();
        /** Of requests that have begun to arrive. */
        final BlockingQueue<String> heads = new LinkedBlockingQueue<>();

        FakeServer(String name, String... answers) throws IOException {
            this.name = name;
            this.answers.addAll(List.of(answers));
        }

        @Override
        void serve(Socket socket) throws Exception {
            connections.add(socket);
            for (String head = head(socket.getInputStream()); head != null; head = head(socket.getInputStream())) {
                heads.add(head);
                String body = body(head, socket.getInputStream());
                requests.add(head + body);
                String answer = answers.take();
                if (answer.equals(RESET)) {
                    socket.setSoLinger(true, 0);
                    return;
                }
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            }
        }

        String nextRequest() throws InterruptedException {
            return requests.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** A discovery that answers each call with the next of its lists, and leaves calls open when it has none. */
    static final class FakeDiscovery extends Peer {
        final BlockingQueue<String> lists = new LinkedBlockingQueue<>();
        final BlockingQueue<String> calls = new LinkedBlockingQueue<>();

        FakeDiscovery(String list) throws IOException {
            lists.add(list);
        }

        @Override
        void serve(Socket socket) throws Exception {
            for (String head = head(socket.getInputStream()); head != null; head = head(socket.getInputStream())) {
                calls.add(head.split("\r\n")[0]);
                socket.getOutputStream().write(ok(lists.take()).getBytes(StandardCharsets.UTF_8));
            }
        }
    }
}
