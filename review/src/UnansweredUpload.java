import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 3: requests with long bodies, and one server of five that hangs. */
final class UnansweredUpload {
    private static final int CLIENTS = 3;
    private static final int REQUESTS_EACH = 30;
    private static final int HANGS_AFTER = 9;
    private static final int[] BODIES = {5_200_000, 4_200_000, 6_000_000, 7_000_000};
    private static final double EXPIRES = 3;
    /** The page's half a second after a client's time, the protocol page's slack of 50 ms, and 50 ms for this process itself. */
    private static final int LATEST_MS = 600;
    private static final long LASTS = 60_000_000_000L;

    public static void main(String[] arguments) {
        Rig.run(arguments, UnansweredUpload::run);
    }

    private static int run(Rig rig) throws Exception {
        Rig.Agent agent = rig.opened(new Rig.Agent());
        List<Rig.Server> servers = new ArrayList<>();
        Random work = new Random(7);
        for (int i = 0; i < 5; i++) {
            Rig.Server server = rig.opened(new Rig.Server("s-" + i, (self, request, on) -> {
                rig.note(self.name + " got the whole of " + request.headers().get("x-trace-id"));
                int ms;
                synchronized (work) {
                    ms = 65 + work.nextInt(55);
                }
                Rig.sleep(ms);
                self.awaitNoHang();
                Rig.Server.answer(on, 200, "Connection: close\r\n", "booked".getBytes(StandardCharsets.US_ASCII));
                on.close();
            }));
            servers.add(server);
            agent.put(server.name, server.port(), "ready", 0);
        }
        int port = Rig.freePort();
        List<Rig.RequestClass> classes = List.of(new Rig.RequestClass("view-slots", "read_like", 0.6, 1.5, 3, 5),
            new Rig.RequestClass("book-farm", "non_idempotent", 1.2, 3, 3, 5));
        rig.new Node("n1", port, Rig.config("n1", port, agent, classes, true), rig.folder.resolve("tmp")).awaitReady();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger done = new AtomicInteger();
        long until = System.nanoTime() + LASTS;
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            Random random = new Random(c);
            clients.add(Rig.thread("client", () -> {
                for (int i = 0; i < REQUESTS_EACH && System.nanoTime() < until; i++) {
                    byte[] body = new byte[BODIES[i % BODIES.length]];
                    random.nextBytes(body);
                    if (!answeredInTime(rig, port, String.format("%016x", random.nextLong()), body)) {
                        lost.incrementAndGet();
                    }
                    if (done.incrementAndGet() == HANGS_AFTER && Rig.TROUBLE) {
                        rig.note("s-0 hangs: it reads nothing and says nothing");
                        servers.get(0).hangs = true;
                    }
                    Rig.sleep(200);
                }
            }));
        }
        rig.join(clients, 98_000);
        rig.note(done + " requests, " + lost + " without an answer 0.5 s after their time");
        rig.noteLogs(10);
        return lost.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** Sends one request and waits for its answer, also beyond its time, to tell when it came. */
    private static boolean answeredInTime(Rig rig, int port, String id, byte[] body) throws Exception {
        try (Rig.Client client = new Rig.Client(port)) {
            client.write(Rig.Client.head("POST", "/book-farm", "book-farm", id, EXPIRES, "Content-Length: " + body.length + "\r\n"));
            client.write(body);
            double sent = rig.now();
            String outcome;
            try {
                Rig.Message answer = client.answer((int) (EXPIRES * 1000) + LATEST_MS);
                outcome = answer == null ? "the end of its connection" : Integer.toString(answer.status());
            } catch (java.net.SocketTimeoutException e) {
                rig.note("BROKEN: client of " + id + ", " + body.length + " bytes, has nothing " + Math.round(rig.now() - sent)
                    + " ms after its last byte, with " + EXPIRES + " s to wait; bytes that the node's machine has not confirmed: "
                    + unconfirmed(client));
                try {
                    Rig.Message answer = client.answer(32_000);
                    rig.note("client of " + id + " got " + (answer == null ? "the end of its connection" : answer.status()) + " after "
                        + Math.round(rig.now() - sent) + " ms");
                } catch (IOException never) {
                    rig.note("client of " + id + " got nothing in " + Math.round(rig.now() - sent) + " ms: " + never.getMessage());
                }
                return false;
            } catch (IOException e) {
                outcome = e.toString();
            }
            rig.note("client of " + id + ", " + body.length + " bytes, got " + outcome + " after " + Math.round(rig.now() - sent) + " ms");
            return true;
        }
    }

    /** How many bytes that the client has written the other side's system has not confirmed, by this system's tables; -1 if not known. */
    private static long unconfirmed(Rig.Client client) throws IOException {
        String port = String.format(":%04X", client.socket.getLocalPort());
        for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            if (Files.isReadable(Path.of(table))) {
                for (String line : Files.readAllLines(Path.of(table))) {
                    String[] fields = line.trim().split("\\s+");
                    if (fields.length > 4 && fields[1].endsWith(port)) {
                        return Long.parseLong(fields[4].split(":")[0], 16);
                    }
                }
            }
        }
        return -1;
    }
}
