import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 2: many long bodies at a time for servers that read slowly, while other clients look up slots. Only the look-ups are judged: a
 * booking may also miss its time by what case 3 shows.
 */
final class Standstill {
    /** With those who look up, under a quarter of the node's 1,024 descriptors; the page allows a third for requests. */
    private static final int UPLOADERS = 240;
    private static final int LOOKERS = 10;
    private static final int BODY = 3_000_000;
    private static final int SHORT_BODY = 2_000;
    /** A server reads 64 KiB at most of a connection in so many milliseconds: 1 MB/s; the page has peers of 64 kB/s. */
    private static final int PAUSE_MS = 60;
    private static final long LASTS = 30_000_000_000L;

    public static void main(String[] arguments) {
        Rig.run(arguments, Standstill::run);
    }

    private static int run(Rig rig) throws Exception {
        Rig.Agent agent = rig.opened(new Rig.Agent());
        Random work = new Random(7);
        for (int i = 0; i < 6; i++) {
            Rig.Server server = rig.opened(new Rig.Server("s-" + i, (self, request, on) -> {
                int ms;
                synchronized (work) {
                    ms = 24 + work.nextInt(18);
                }
                Rig.sleep(ms);
                Rig.Server.answer(on, 200, "", request.headers().get("x-trace-id").getBytes(StandardCharsets.US_ASCII));
            }));
            server.pauseMs = Rig.TROUBLE ? PAUSE_MS : 0;
            agent.put(server.name, server.port(), "ready", 0);
        }
        int port = Rig.freePort();
        List<Rig.RequestClass> classes = List.of(new Rig.RequestClass("view-slots", "read_like", 0.6, 1.5, 3, 5),
            new Rig.RequestClass("book-farm", "non_idempotent", 1.2, 3, 3, 5));
        rig.new Node("n1", port, Rig.config("n1", port, agent, classes, true), rig.folder.resolve("tmp")).awaitReady();
        byte[] body = new byte[Rig.TROUBLE ? BODY : SHORT_BODY];
        new Random(1).nextBytes(body);
        AtomicInteger lost = new AtomicInteger();
        Map<String, Integer> outcomes = new TreeMap<>();
        long until = System.nanoTime() + LASTS;
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < UPLOADERS + LOOKERS; c++) {
            boolean looks = c >= UPLOADERS;
            Random random = new Random(c);
            clients.add(Rig.thread("client", () -> {
                Rig.sleep(looks ? 0 : 2_000);
                while (System.nanoTime() < until) {
                    String id = String.format("%016x", random.nextLong());
                    String outcome = request(rig, port, looks, id, body, lost);
                    synchronized (outcomes) {
                        outcomes.merge(outcome, 1, Integer::sum);
                    }
                    Rig.sleep(looks ? 100 : 50 + random.nextInt(200));
                }
            }));
        }
        rig.join(clients, 60_000);
        outcomes.forEach((outcome, count) -> rig.note(outcome + ": " + count));
        rig.note(lost + " look-ups had no answer 0.5 s after their time");
        rig.noteLogs(60);
        return lost.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** One request on a new connection; returns what became of it. */
    private static String request(Rig rig, int port, boolean looks, String id, byte[] body, AtomicInteger lost) {
        double expires = looks ? 1.5 : 3;
        String name = looks ? "look-up" : "booking";
        double sent = -1;
        try (Rig.Client client = new Rig.Client(port)) {
            if (looks) {
                client.write(Rig.Client.head("GET", "/view-slots", "view-slots", id, expires, ""));
            } else {
                client.write(Rig.Client.head("POST", "/book-farm", "book-farm", id, expires, "Content-Length: " + body.length + "\r\n"));
                client.write(body);
            }
            sent = rig.now();
            Rig.Message answer = client.answer((int) (expires * 1000) + 600);
            return name + ", " + (answer == null ? "connection closed" : "answer " + answer.status());
        } catch (SocketTimeoutException e) {
            // Its connection is open, its last byte was written, and its time and half a second are over.
            if (!looks) {
                return name + ", no answer in time (not judged here)";
            }
            lost.incrementAndGet();
            rig.note("BROKEN: " + name + " " + id + " has no answer " + Math.round(rig.now() - sent) + " ms after its last byte, with "
                + expires + " s to wait");
            return name + ", no answer: lost";
        } catch (IOException e) {
            return name + ", " + (sent < 0 ? "connection broken while it was sent" : "connection reset");
        }
    }
}
