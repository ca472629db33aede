import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What the cases share: node processes started by the deploy file's `run` line, an agent that stands in for discovery, servers, a
 * client's side of HTTP/1.1, and the record. Everything listens at 127.0.0.1 on ports that the system chooses. The program's own
 * classes are not used.
 */
final class Rig implements Closeable {
    /** Exit codes of a case's process; run.sh turns them into 0, 1 and 2, and everything else, as of a JVM that fails, into 2. */
    static final int HELD = 10;
    static final int BROKEN = 11;
    static final int CANNOT_RUN = 12;
    private static final Pattern RUN_LINE = Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE);

    /** Whether the disruption is made; TROUBLE=0 runs the same without it. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();
    private final List<Closeable> open = new ArrayList<>();

    /** {@code temporary}: a folder of run.sh, which removes it and, should this process be killed, ends the processes that are listed there. */
    Rig(String recordFile, String temporary) throws IOException {
        folder = Files.createDirectories(Path.of(temporary, "rig"));
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        note("trouble=" + (TROUBLE ? 1 : 0));
    }

    /** Runs a case and ends this process with its exit code. */
    static void run(String[] arguments, Case body) {
        int code = CANNOT_RUN;
        try (Rig rig = new Rig(arguments[0], arguments[1])) {
            try {
                code = body.run(rig);
            } catch (Throwable e) {
                rig.note("cannot run: " + e);
                e.printStackTrace();
            }
            rig.note(code == HELD ? "the rule held" : code == BROKEN ? "the rule was broken" : "the case could not run");
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    interface Case {
        int run(Rig rig) throws Exception;
    }

    /** Milliseconds since the case began. */
    double now() {
        return (System.nanoTime() - startedAt) / 1e6;
    }

    synchronized void note(String text) {
        record.printf(Locale.ROOT, "%10.1f ms  %s%n", now(), text);
    }

    <T extends Closeable> T opened(T resource) {
        synchronized (open) {
            open.add(resource);
        }
        return resource;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread thread(String name, Job job) {
        Thread thread = new Thread(() -> {
            try {
                job.run();
            } catch (IOException e) {
                // The other side has gone.
            } catch (Exception e) {
                e.printStackTrace();
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Job {
        void run() throws Exception;
    }

    /** Waits until the threads have ended, and no longer than until the case has run for so long. */
    void join(List<Thread> threads, double untilMs) throws InterruptedException {
        for (Thread thread : threads) {
            thread.join((long) Math.max(1, untilMs - now()));
        }
    }

    static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes), 0, 8);
        } catch (java.security.GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            return socket.getLocalPort();
        }
    }

    // ---- processes of the program ----

    /** The deploy file's `run` line. */
    String runLine() throws IOException {
        Matcher line = RUN_LINE.matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!line.find()) {
            throw new IOException("deploy/balancer.toml has no run line");
        }
        return line.group(1);
    }

    /** Starts a command by /bin/sh -c from the root, as the platform does; it ends by exec, so the process is the node itself. */
    Process start(String name, String command, Map<String, String> environment) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command).directory(root.toFile()).redirectErrorStream(true)
            .redirectOutput(folder.resolve(name + ".log").toFile());
        builder.environment().keySet().removeIf(key -> key.startsWith("GW_") || key.equals("LUPINMOUNT_SITES"));
        builder.environment().putAll(environment);
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        Files.writeString(folder.resolveSibling("pids"), process.pid() + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        note("started " + name);
        return process;
    }

    /** A node process on the platform. */
    final class Node {
        final String name;
        final int port;
        final int adminPort;
        final Process process;

        Node(String name, int port, String config, Path tmp) throws Exception {
            this.name = name;
            this.port = port;
            adminPort = freePort();
            Files.createDirectories(tmp);
            Path file = Files.writeString(folder.resolve(name + "-" + adminPort + ".json"), config);
            Matcher discovery = Pattern.compile("\"discovery\":\"([^\"]*)\"").matcher(config);
            if (!discovery.find()) {
                throw new IllegalArgumentException("no discovery");
            }
            process = start(name + "-" + adminPort, runLine(), Map.of("GW_NAME", name, "GW_LISTEN", "127.0.0.1:" + port,
                "GW_DISCOVERY", discovery.group(1), "GW_CONFIG", file.toString(), "GW_ADMIN", "127.0.0.1:" + adminPort,
                "TMPDIR", tmp.toString()));
        }

        Node awaitReady() throws Exception {
            awaitOk(adminPort, "/ready", process);
            note(name + " is ready");
            return this;
        }
    }

    /** Waits until GET of the path at this port is answered 200. */
    void awaitOk(int port, String path, Process process) throws Exception {
        for (int i = 0; i < 600; i++) {
            if (!process.isAlive()) {
                throw new IOException("a process of the program has ended with " + process.exitValue());
            }
            try {
                if (call(port, "GET", path) == 200) {
                    return;
                }
            } catch (IOException e) {
                // It does not listen yet.
            }
            sleep(50);
        }
        throw new IOException("not ready within 30 s");
    }

    /** One call of an operator; returns the status. */
    static int call(int port, String method, String path) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write((method + " " + path + " HTTP/1.1\r\nHost: node\r\nConnection: close\r\n"
                + (method.equals("POST") ? "Content-Length: 0\r\n" : "") + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            return Message.read(new BufferedInputStream(socket.getInputStream()), true).status();
        }
    }

    private void endProcesses() {
        synchronized (processes) {
            for (Process process : processes) {
                process.destroyForcibly();
            }
            for (Process process : processes) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    /** Copies the last lines of the processes' logs into the record, without those about discovery's answers. */
    void noteLogs(int lines) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".log")).sorted().toList()) {
                List<String> all = Files.readAllLines(file).stream().filter(line -> !line.startsWith("discovery:")).toList();
                all.subList(Math.max(0, all.size() - lines), all.size()).forEach(line -> note("log: " + line));
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        synchronized (open) {
            for (Closeable each : open) {
                try {
                    each.close();
                } catch (IOException e) {
                    // It is closed already.
                }
            }
        }
        try (Stream<Path> left = Files.walk(folder)) {
            for (Path file : left.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
        record.close();
    }

    // ---- settings ----

    /** One class of a configuration. */
    record RequestClass(String name, String effect, double aim, double deadline, double worth, double memorySpan) {
    }

    /**
     * A node's configuration with the settings of the kigali-booking site: limits, rules and prices as its wire shows them; {@code copies} is
     * limits.secondCopies.
     */
    static String config(String name, int port, Agent agent, List<RequestClass> classes, boolean copies) {
        StringBuilder list = new StringBuilder();
        for (RequestClass c : classes) {
            list.append(list.isEmpty() ? "" : ",").append(String.format(Locale.ROOT,
                "{\"name\":\"%s\",\"effect\":\"%s\",\"group\":\"all\",\"aimS\":%s,\"deadlineS\":%s,\"lateWorth\":0.25,"
                    + "\"memorySpanS\":%s,\"streamed\":false,\"worth\":%s}",
                c.name(), c.effect(), c.aim(), c.deadline(), c.memorySpan(), c.worth()));
        }
        return """
            {"name":"%s","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
             "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,
             "settings":{"areas":["kacyiru","remera","nyarutarama"],"az":"kacyiru","classes":[%s],
              "clients":{"marksRetry":true},"family":"chain","familyInfo":{"passesDeadline":true},"kinds":["front-fast","front-std"],"layer":0,
              "limits":{"cancel":true,"cpuUsPerRequest":0,"cpuUsPerS":39359,"dialTimeoutS":0.15,"keepaliveS":5,"maxAttempts":6,
               "maxRetryAfterS":1.5,"mayTell":false,"mostHeld":52479,"probes":false,"retryAfter":true,"secondCopies":%s,"streamsPerConn":1},
              "me":0,"membershipMode":"push","overShareWorth":0.1,"prices":{"crossZone":0.015,"lateFail":0.08,"waste":0.02},
              "quantumS":0.002,"report":{"fields":[],"how":"off"},
              "rules":{"askEveryS":10,"coldS":8.8,"drainGraceS":2,"fallMultiple":3,"graceToAnswerS":0.008,"overloadForS":3,
               "startCapacity":0.31},"siblings":1,"tiers":["front","records"],"valueBy":"request","weights":"nominal"}}"""
            .formatted(name, port, agent.port(), agent.whole(), list, copies);
    }

    // ---- HTTP/1.1 messages ----

    /** A message as read: its first line, its headers with lower-case names, its body. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        /** Reads a whole message; null at the end of the connection between messages. {@code answer}: no length means up to the end. */
        static Message read(InputStream in, boolean answer) throws IOException {
            String first = line(in);
            if (first == null) {
                return null;
            }
            Map<String, String> headers = new TreeMap<>();
            for (String line = line(in); ; line = line(in)) {
                if (line == null) {
                    throw new EOFException("the connection ended within a head");
                }
                if (line.isEmpty()) {
                    break;
                }
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            }
            byte[] body = new byte[0];
            if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                    all.write(whole(in, size));
                    line(in);
                }
                for (String trailer = line(in); trailer != null && !trailer.isEmpty(); trailer = line(in)) {
                    // Trailers are of no use here.
                }
                body = all.toByteArray();
            } else if (headers.containsKey("content-length")) {
                body = whole(in, Integer.parseInt(headers.get("content-length")));
            } else if (answer) {
                body = in.readAllBytes();
            }
            return new Message(first, headers, body);
        }

        private static int chunkSize(InputStream in) throws IOException {
            String line = line(in);
            if (line == null) {
                throw new EOFException("the connection ended between chunks");
            }
            return Integer.parseInt(line.split(";")[0].trim(), 16);
        }

        private static byte[] whole(InputStream in, int size) throws IOException {
            byte[] bytes = in.readNBytes(size);
            if (bytes.length < size) {
                throw new EOFException("the connection ended after " + bytes.length + " of " + size + " bytes");
            }
            return bytes;
        }

        private static String line(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    if (line.size() == 0) {
                        return null;
                    }
                    throw new EOFException("the connection ended within a line");
                }
                if (next != '\r') {
                    line.write(next);
                }
            }
            return line.toString(StandardCharsets.ISO_8859_1);
        }
    }

    // ---- discovery ----

    /** The agent on a node's machine: it holds the list that was pushed and answers calls for it, watches once there is news. */
    static final class Agent implements Closeable {
        record Entry(String host, int port, String health, long bornMs) {
        }

        private final ServerSocket socket = new ServerSocket();
        private final Map<String, Entry> entries = new LinkedHashMap<>();
        private final Map<String, Integer> changedAt = new LinkedHashMap<>();
        private int seq = 1;
        private boolean closed;

        Agent() throws IOException {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            thread("agent", () -> {
                while (true) {
                    Socket next = socket.accept();
                    next.setTcpNoDelay(true);
                    thread("agent-call", () -> serve(next));
                }
            });
        }

        int port() {
            return socket.getLocalPort();
        }

        synchronized void put(String host, int port, String health, long bornMs) {
            entries.put(host, new Entry(host, port, health, bornMs));
            changedAt.put(host, ++seq);
            notifyAll();
        }

        synchronized String whole() {
            return list(true, entries.values().stream().filter(e -> !e.health().equals("gone")).toList());
        }

        private String list(boolean whole, List<Entry> hosts) {
            StringBuilder text = new StringBuilder();
            for (Entry e : hosts) {
                text.append(text.isEmpty() ? "" : ",").append("{\"host\":\"" + e.host() + "\",\"dial\":\"127.0.0.1:" + e.port()
                    + "\",\"site\":\"kacyiru\",\"class\":\"front-fast\",\"block\":0,\"health\":\"" + e.health()
                    + "\",\"share\":1.0,\"born_ms\":" + e.bornMs() + "}");
            }
            return "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":[" + text + "]}";
        }

        private synchronized String answer(String target) throws InterruptedException {
            Matcher watch = Pattern.compile("after=(\\d+)&wait_ms=(\\d+)").matcher(target);
            if (!watch.find()) {
                return whole();
            }
            int after = Integer.parseInt(watch.group(1));
            long until = System.nanoTime() + Long.parseLong(watch.group(2)) * 1_000_000;
            while (seq <= after && !closed && until - System.nanoTime() > 0) {
                wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
            }
            return list(false, entries.values().stream().filter(e -> changedAt.get(e.host()) > after).toList());
        }

        private void serve(Socket call) throws Exception {
            try (call) {
                InputStream in = new BufferedInputStream(call.getInputStream());
                for (Message request = Message.read(in, false); request != null; request = Message.read(in, false)) {
                    byte[] list = answer(request.first().split(" ")[1]).getBytes(StandardCharsets.US_ASCII);
                    ByteArrayOutputStream answer = new ByteArrayOutputStream();
                    answer.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + list.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                    answer.write(list);
                    call.getOutputStream().write(answer.toByteArray());
                }
            }
        }

        @Override
        public void close() throws IOException {
            synchronized (this) {
                closed = true;
                notifyAll();
            }
            socket.close();
        }
    }

    // ---- servers ----

    /** A server by the protocol page: a thread for each connection, which reads whole requests and hands them to its work. */
    static final class Server implements Closeable {
        /** What is done with a whole request: answers on the connection, or breaks it. */
        interface Work {
            void run(Server server, Message request, Socket on) throws Exception;
        }

        private static final int RECEIVE_BUFFER = 64 * 1024;

        final String name;
        private final ServerSocket socket = new ServerSocket();
        private final List<Socket> connections = new ArrayList<>();
        /** While it hangs it reads nothing of its connections and writes nothing; the system goes on taking connections. */
        volatile boolean hangs;
        /** A pause before each read of up to 64 KiB, in milliseconds. */
        volatile int pauseMs;

        Server(String name, Work work) throws IOException {
            this.name = name;
            socket.setReuseAddress(true);
            socket.setReceiveBufferSize(RECEIVE_BUFFER);
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
            thread(name, () -> {
                while (true) {
                    Socket next = socket.accept();
                    next.setTcpNoDelay(true);
                    synchronized (connections) {
                        connections.add(next);
                    }
                    thread(name + "-connection", () -> serve(next, work));
                }
            });
        }

        int port() {
            return socket.getLocalPort();
        }

        private void serve(Socket connection, Work work) throws Exception {
            try (connection) {
                InputStream in = new BufferedInputStream(new Paced(connection.getInputStream()), 64 * 1024);
                for (Message request = Message.read(in, false); request != null; request = Message.read(in, false)) {
                    awaitNoHang();
                    work.run(this, request, connection);
                    if (connection.isClosed()) {
                        return;
                    }
                }
            } finally {
                synchronized (connections) {
                    connections.remove(connection);
                }
            }
        }

        /** Holds up whoever works for this server for as long as it hangs. */
        void awaitNoHang() {
            while (hangs) {
                sleep(20);
            }
        }

        /** Reads at this server's pace. */
        private final class Paced extends FilterInputStream {
            Paced(InputStream in) {
                super(in);
            }

            @Override
            public int read(byte[] to, int from, int length) throws IOException {
                awaitNoHang();
                if (pauseMs > 0) {
                    sleep(pauseMs);
                }
                return in.read(to, from, length);
            }
        }

        static void answer(Socket on, int status, String headers, byte[] body) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
            on.getOutputStream().write(all.toByteArray());
        }

        /** Breaks the connection by a reset. */
        static void reset(Socket on) throws IOException {
            on.setSoLinger(true, 0);
            on.close();
        }

        @Override
        public void close() throws IOException {
            socket.close();
            synchronized (connections) {
                for (Socket each : connections) {
                    each.close();
                }
            }
        }
    }

    // ---- clients ----

    /** One connection of a client. */
    static final class Client implements Closeable {
        final Socket socket;
        private final InputStream in;

        Client(int port) throws IOException {
            socket = new Socket("127.0.0.1", port);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        /** The head of a request by the protocol page; {@code extra}: further header lines, each with its line end. */
        static String head(String method, String path, String requestClass, String id, double expiresIn, String extra) {
            return method + " " + path + " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + id + "\r\nX-Qos: " + requestClass
                + String.format(Locale.ROOT, "\r\nX-Expires-In: %.3f\r\n", expiresIn) + extra + "\r\n";
        }

        void write(byte[] bytes) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(bytes);
            out.flush();
        }

        void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** The whole answer; null if the connection ends without one. */
        Message answer(int timeoutMs) throws IOException {
            socket.setSoTimeout(Math.max(1, timeoutMs));
            return Message.read(in, true);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
