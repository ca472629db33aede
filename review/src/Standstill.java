import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 2: a node carries the most that the pages give one, and bookings have long bodies for servers that read slowly. Arrivals don't wait for
 * answers; classes, shares, times, retries and their pauses are the site's. Only look-ups are judged: a booking may also miss its time by case 3.
 */
final class Standstill {
    /** First tries a second: 18 % of 2,000. */
    private static final double PER_SECOND = 360;
    private static final long LASTS_MS = 25_000;
    /** A third of the node's 1,024 descriptors. */
    private static final int MOST_CONNECTIONS = 341;
    private static final int RETRIES = 3;
    private static final int RETRY_AFTER_MS = 100;
    /** A try is given up after this part of its class's time. */
    private static final double TRY_SHARE = 0.55;
    private static final int BODY = 3_000_000;
    private static final int SHORT_BODY = 2_000;
    /** A server reads 64 KiB at most of a connection in so many milliseconds. */
    private static final int PAUSE_MS = 60;
    /** Half a second after a client's time, the slack of 50 ms, and 50 ms for this process itself. */
    private static final int LATEST_MS = 600;
    /** Where this process itself stood still for longer, nothing is judged. */
    private static final double MOST_OWN_PAUSE_MS = 400;

    private static final List<Rig.RequestClass> CLASSES = List.of(new Rig.RequestClass("view-slots", "read_like", 0.6, 1.5, 3, 5),
        new Rig.RequestClass("book-visit", "non_idempotent", 0.6, 1.5, 3, 5), new Rig.RequestClass("book-farm", "non_idempotent", 1.2, 3, 3, 5),
        new Rig.RequestClass("book-campaign", "non_idempotent", 1.2, 3, 9, 5));
    private static final int[] SHARES = {50, 27, 13, 10};

    private final Rig rig;
    private final int port;
    private final byte[] body = new byte[Rig.TROUBLE ? BODY : SHORT_BODY];
    private final ArrayDeque<Rig.Client> idle = new ArrayDeque<>();
    private int connections;
    private int mostConnections;
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger tries = new AtomicInteger();
    private volatile double longestOwnPause;

    private Standstill(Rig rig, int port) {
        this.rig = rig;
        this.port = port;
        new Random(1).nextBytes(body);
    }

    public static void main(String[] arguments) {
        Rig.run(arguments, rig -> {
            Rig.Agent agent = rig.opened(new Rig.Agent());
            Random work = new Random(7);
            for (int i = 0; i < 12; i++) {
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
            rig.new Node("n1", port, Rig.config("n1", port, agent, CLASSES, true), rig.folder.resolve("tmp")).awaitReady();
            return new Standstill(rig, port).play();
        });
    }

    private int play() throws Exception {
        Rig.thread("own pauses", () -> {
            for (double last = rig.now(); ; last = rig.now()) {
                Rig.sleep(10);
                longestOwnPause = Math.max(longestOwnPause, rig.now() - last - 10);
            }
        });
        Random random = new Random(2);
        List<Thread> clients = new ArrayList<>();
        double start = rig.now();
        int arrivals = 0;
        for (double at = start; at < start + LASTS_MS; at += -Math.log(1 - random.nextDouble()) * 1000 / PER_SECOND) {
            if (at > rig.now()) {
                Rig.sleep((long) (at - rig.now()));
            }
            int draw = random.nextInt(100);
            int c = 0;
            for (int sum = SHARES[0]; draw >= sum; sum += SHARES[++c]) {
                // The class whose share the draw falls into.
            }
            Rig.RequestClass chosen = CLASSES.get(c);
            long seed = random.nextLong();
            arrivals++;
            clients.add(Rig.thread("client", () -> client(chosen, new Random(seed))));
        }
        rig.join(clients, start + LASTS_MS + 45_000);
        synchronized (outcomes) {
            outcomes.forEach((outcome, count) -> rig.note(outcome + ": " + count));
        }
        rig.note(String.format("%d first tries in %d s, %d tries, at most %d connections at once", arrivals, LASTS_MS / 1000, tries.get(), mostConnections));
        rig.note(lost + " look-ups had no answer in their time; this process itself stood still for at most " + Math.round(longestOwnPause) + " ms");
        rig.noteLogs(60);
        if (longestOwnPause > MOST_OWN_PAUSE_MS) {
            return Rig.CANNOT_RUN;
        }
        return lost.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private synchronized Rig.Client connect() throws IOException {
        Rig.Client kept = idle.pollFirst();
        if (kept != null) {
            return kept;
        }
        if (connections == MOST_CONNECTIONS) {
            return null;
        }
        mostConnections = Math.max(mostConnections, ++connections);
        return new Rig.Client(port);
    }

    private synchronized void done(Rig.Client client, boolean keep) throws IOException {
        if (keep) {
            idle.addFirst(client);
        } else {
            connections--;
            client.close();
        }
    }

    /** A client's first try and its retries: what may not be repeated is tried again after a refusal only. */
    private void client(Rig.RequestClass c, Random random) throws Exception {
        boolean looks = c.effect().equals("read_like");
        for (int i = 0; i <= RETRIES; i++) {
            Rig.Client on = connect();
            if (on == null) {
                count(c, "no connection left to the client");
                return;
            }
            tries.incrementAndGet();
            String outcome = request(on, c, looks, String.format("%016x", random.nextLong()), i > 0);
            count(c, outcome);
            if (outcome.equals("200") || !looks && !outcome.equals("503")) {
                return;
            }
            Rig.sleep(RETRY_AFTER_MS);
        }
    }

    private void count(Rig.RequestClass c, String outcome) {
        synchronized (outcomes) {
            outcomes.merge(c.name() + ", " + outcome, 1, Integer::sum);
        }
    }

    private String request(Rig.Client on, Rig.RequestClass c, boolean looks, String id, boolean retry) throws IOException {
        double expires = c.deadline() * TRY_SHARE;
        String extra = retry ? "X-Second-Try: 1\r\n" : "";
        double sent = -1;
        boolean keep = false;
        try {
            if (looks) {
                on.write(Rig.Client.head("GET", "/" + c.name(), c.name(), id, expires, extra));
            } else {
                on.write(Rig.Client.head("POST", "/" + c.name(), c.name(), id, expires, extra + "Content-Length: " + body.length + "\r\n"));
                on.write(body);
            }
            sent = rig.now();
            Rig.Message answer = on.answer((int) (expires * 1000) + LATEST_MS);
            keep = answer != null && !"close".equalsIgnoreCase(answer.headers().get("connection"));
            return answer == null ? "connection closed" : Integer.toString(answer.status());
        } catch (SocketTimeoutException e) {
            // Its connection is open, its last byte was written, and its time, half a second and the slack are over.
            if (looks) {
                lost.incrementAndGet();
                rig.note("BROKEN: look-up " + id + " has no answer " + Math.round(rig.now() - sent) + " ms after its last byte, with " + expires
                    + " s to wait");
            }
            return "no answer in time";
        } catch (IOException e) {
            return sent < 0 ? "connection broken while it was sent" : "connection reset";
        } finally {
            done(on, keep);
        }
    }
}
