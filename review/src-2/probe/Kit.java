package probe;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** What the cases share: processes of the program, a discovery, servers and clients, and the record of what was seen. */
final class Kit implements AutoCloseable {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final long STARTED = System.nanoTime();
    private static final AtomicInteger ADDRESS = new AtomicInteger();

    final Path root = Path.of(System.getProperty("root"));
    final Path tmp = Path.of(System.getProperty("tmp"));
    private final Path record = Path.of(System.getProperty("record"));
    private final List<Proc> processes = new ArrayList<>();
    private final StringBuilder lines = new StringBuilder();

    /** What a case does; it returns null if the rule held, else how it was broken. */
    interface Case {
        String run(Kit kit) throws Exception;
    }

    /** Thrown where the case could not be played, so that nothing is known of the rule. */
    static final class CouldNotRun extends Exception {
        private static final long serialVersionUID = 1;

        CouldNotRun(String why) {
            super(why);
        }
    }

    static void play(Case test) {
        int code = 2;
        Kit kit = new Kit();
        Thread end = new Thread(kit::close);
        Runtime.getRuntime().addShutdownHook(end);
        try {
            kit.note("trouble " + (TROUBLE ? "on" : "off"));
            String broken = test.run(kit);
            kit.note(broken == null ? "RESULT the rule held" : "RESULT the rule was broken: " + broken);
            code = broken == null ? 0 : 1;
        } catch (CouldNotRun e) {
            kit.note("RESULT could not run: " + e.getMessage());
        } catch (Throwable e) {
            kit.note("RESULT could not run: " + e);
            e.printStackTrace();
        }
        kit.close();
        Runtime.getRuntime().halt(code);
    }

    static long ms() {
        return (System.nanoTime() - STARTED) / 1_000_000;
    }

    synchronized void note(String line) {
        String text = String.format(Locale.ROOT, "%7d ms  %s%n", ms(), line);
        System.out.print(text);
        lines.append(text);
        try {
            Files.writeString(record, lines);
        } catch (IOException e) {
            System.err.println("cannot write the record: " + e);
        }
    }

    @Override
    public void close() {
        List<Proc> all;
        synchronized (processes) {
            all = new ArrayList<>(processes);
        }
        all.forEach(p -> p.process.destroyForcibly());
        for (Proc p : all) {
            try {
                p.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** A loopback address that nothing else uses. */
    static InetSocketAddress free() throws IOException {
        int n = ADDRESS.getAndIncrement();
        long pid = ProcessHandle.current().pid();
        InetAddress own = InetAddress.getByAddress(new byte[] {127, (byte) (1 + pid % 250), (byte) (n / 250), (byte) (1 + n % 250)});
        try (ServerSocket socket = new ServerSocket(0, 1, own)) {
            return new InetSocketAddress(own, socket.getLocalPort());
        }
    }

    /** An address of 127.0.0.1 that nothing else uses, for ports that are given without an address. */
    static InetSocketAddress freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByAddress(new byte[] {127, 0, 0, 1}))) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    static String text(InetSocketAddress at) {
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }

    static void sleep(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis));
    }

    /** Waits until the condition holds; false if it does not within that time. */
    static boolean await(long millis, java.util.concurrent.Callable<Boolean> condition) throws Exception {
        long until = System.nanoTime() + millis * 1_000_000;
        while (!condition.call()) {
            if (System.nanoTime() > until) {
                return false;
            }
            Thread.sleep(10);
        }
        return true;
    }

    // ---- processes ----

    static final class Proc {
        final String name;
        final Process process;
        final Path log;

        private Proc(String name, Process process, Path log) {
            this.name = name;
            this.process = process;
            this.log = log;
        }

        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        String log() throws IOException {
            return Files.readString(log);
        }
    }

    /** Starts a command by /bin/sh -c from the root of the repository. */
    Proc start(String name, String command, Map<String, String> environment) throws IOException {
        Path log = tmp.resolve(name + "-" + ADDRESS.getAndIncrement() + ".log");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command).directory(root.toFile())
            .redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().keySet().removeIf(key -> key.startsWith("GW_") || key.startsWith("LUPINMOUNT_"));
        builder.environment().putAll(environment);
        Proc proc = new Proc(name, builder.start(), log);
        synchronized (processes) {
            processes.add(proc);
            // For the script, should this process be killed.
            Files.writeString(tmp.resolve("pids"), proc.process.pid() + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        }
        note("start " + name + " (" + proc.process.pid() + "): " + command.replaceAll("^exec java .* -jar", "exec java ... -jar"));
        return proc;
    }

    /** The `run` line of the deploy file. */
    String runLine() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        throw new IOException("no run line in the deploy file");
    }

    // ---- a node of the platform ----

    /** Starts a node of the platform and waits until it is ready. */
    Proc node(String name, InetSocketAddress listen, InetSocketAddress discovery, String known, String classes, String more) throws Exception {
        Path config = tmp.resolve(name + ".json");
        Files.writeString(config, "{\"name\":\"" + name + "\",\"listen\":\"" + text(listen) + "\",\"discovery\":\"" + text(discovery)
            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + known
            + ",\"settings\":{\"az\":\"a\",\"areas\":[\"a\"],\"layer\":0,\"me\":0,\"siblings\":1,\"quantumS\":0.002,\"membershipMode\":\"push\","
            + "\"weights\":\"nominal\",\"valueBy\":\"request\",\"classes\":" + classes + ",\"customers\":[],"
            + "\"limits\":{\"maxAttempts\":6,\"secondCopies\":true,\"cancel\":true,\"probes\":false,\"retryAfter\":true,\"maxRetryAfterS\":1.5,"
            + "\"dialTimeoutS\":0.15,\"keepaliveS\":5.0},"
            + "\"rules\":{\"startCapacity\":0.31,\"coldS\":8.8,\"fallMultiple\":3.0,\"overloadForS\":3.0,\"drainGraceS\":2.0,"
            + "\"graceToAnswerS\":0.008,\"askEveryS\":10.0}" + more + "}}");
        Path folder = Files.createDirectories(tmp.resolve("tmp-" + name));
        Proc proc = start(name, runLine(), Map.of("GW_NAME", name, "GW_LISTEN", text(listen), "GW_DISCOVERY", text(discovery), "GW_CONFIG",
            config.toString(), "TMPDIR", folder.toString()));
        if (!await(30_000, () -> ready(listen))) {
            throw new CouldNotRun(name + " was not ready in 30 s: " + proc.log());
        }
        note(name + " is ready");
        return proc;
    }

    static boolean ready(InetSocketAddress at) {
        try {
            return call(at, "GET /ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n", 2_000).status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    // ---- HTTP ----

    static final class Message {
        String first;
        int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        /** Whether its end came as its framing says. */
        boolean whole;
        String end = "";

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("ended within a line");
            }
            if (b != '\r') {
                text.append((char) b);
            }
        }
        return text.toString();
    }

    /** Reads a message; null if the connection ends before its first byte. */
    static Message read(InputStream in, boolean answer) throws IOException {
        in.mark(1);
        if (in.read() < 0) {
            return null;
        }
        in.reset();
        Message m = new Message();
        m.first = line(in);
        if (answer) {
            m.status = Integer.parseInt(m.first.split(" ")[1]);
        }
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            m.headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if (m.header("transfer-encoding").equalsIgnoreCase("chunked")) {
                for (int size = chunk(in); size > 0; size = chunk(in)) {
                    copy(in, body, size);
                    line(in);
                }
                while (!line(in).isEmpty()) {
                    continue;
                }
            } else if (!m.header("content-length").isEmpty()) {
                copy(in, body, Long.parseLong(m.header("content-length")));
            } else if (answer) {
                copy(in, body, Long.MAX_VALUE);
            }
            m.whole = true;
        } catch (IOException e) {
            m.end = String.valueOf(e.getMessage());
        }
        m.body = body.toByteArray();
        return m;
    }

    private static int chunk(InputStream in) throws IOException {
        return Integer.parseInt(line(in).split(";")[0].trim(), 16);
    }

    private static void copy(InputStream in, ByteArrayOutputStream to, long count) throws IOException {
        byte[] buffer = new byte[16 * 1024];
        long left = count;
        while (left > 0) {
            int read = in.read(buffer, 0, (int) Math.min(left, buffer.length));
            if (read < 0) {
                if (count == Long.MAX_VALUE) {
                    return;
                }
                throw new EOFException("the connection ended within the body");
            }
            to.write(buffer, 0, read);
            left -= read;
        }
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** One request on a connection of its own. */
    static Message call(InetSocketAddress at, String request, int timeoutMs) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(at, timeoutMs);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write(ascii(request));
            Message m = read(new BufferedInputStream(socket.getInputStream()), true);
            if (m == null) {
                throw new EOFException("closed without an answer");
            }
            return m;
        }
    }

    // ---- servers ----

    /** Answers one request. What it throws ends the connection. */
    interface Handler {
        void handle(Message request, Socket socket, OutputStream out) throws Exception;
    }

    static final class Server implements AutoCloseable {
        final InetSocketAddress address;
        private final ServerSocket listener;

        Server(Handler handler) throws IOException {
            this(free(), handler);
        }

        Server(InetSocketAddress at, Handler handler) throws IOException {
            address = at;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(at, 200);
            thread(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    thread(() -> serve(socket, handler));
                }
            });
        }

        private void serve(Socket socket, Handler handler) throws Exception {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Message m = read(in, false); m != null && m.whole; m = read(in, false)) {
                    handler.handle(m, socket, socket.getOutputStream());
                }
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread thread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The peer has gone, or the case is over.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void answer(OutputStream out, int status, byte[] body, String headers) throws IOException {
        out.write(ascii("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length + "\r\n" + headers + "\r\n"));
        out.write(body);
        out.flush();
    }

    // ---- discovery ----

    /** An agent on the node's machine: it tells at once what it has. */
    static final class Discovery {
        final Server server;
        private final Map<String, String> entries = new LinkedHashMap<>();
        private long seq = 1;

        Discovery() throws IOException {
            server = new Server(this::handle);
        }

        synchronized void put(String host, InetSocketAddress dial, String health, long bornMs) {
            seq++;
            entries.put(host, entry(host, dial, health, bornMs));
            notifyAll();
        }

        static String entry(String host, InetSocketAddress dial, String health, long bornMs) {
            return "{\"host\":\"" + host + "\",\"dial\":\"" + text(dial) + "\",\"site\":\"a\",\"class\":\"m\",\"block\":1,\"health\":\"" + health
                + "\",\"share\":1.0,\"born_ms\":" + bornMs + "}";
        }

        synchronized String list() {
            return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[" + String.join(",", entries.values()) + "]}";
        }

        private void handle(Message request, Socket socket, OutputStream out) throws Exception {
            String query = request.first.split(" ")[1];
            String list;
            synchronized (this) {
                java.util.regex.Matcher m = java.util.regex.Pattern.compile("after=(\\d+)&wait_ms=(\\d+)").matcher(query);
                list = list();
                if (m.find()) {
                    long until = System.nanoTime() + Long.parseLong(m.group(2)) * 1_000_000;
                    while (seq <= Long.parseLong(m.group(1)) && System.nanoTime() < until) {
                        wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
                    }
                    list = seq > Long.parseLong(m.group(1)) ? list() : "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[]}";
                }
            }
            answer(out, 200, list.getBytes(StandardCharsets.UTF_8), "Content-Type: application/json\r\n");
        }
    }
}
