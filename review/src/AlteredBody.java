import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Case 1: keyed requests with long bodies. A server resets its connection under a few of them once it has read them whole. */
final class AlteredBody {
    private static final int REQUESTS = 30;
    /** The requests under which a connection is reset: every tenth. */
    private static final Set<Integer> RESET = Set.of(9, 18, 27);
    private static final int BODY = 1_600_000;
    private static final int CHUNK = 16_000;
    private static final double EXPIRES = 3;

    public static void main(String[] arguments) {
        Rig.run(arguments, AlteredBody::run);
    }

    private static int run(Rig rig) throws Exception {
        Map<String, String> sent = new ConcurrentHashMap<>();
        Set<String> toReset = ConcurrentHashMap.newKeySet();
        Set<String> altered = ConcurrentHashMap.newKeySet();
        Rig.Agent agent = rig.opened(new Rig.Agent());
        Random work = new Random(7);
        for (int i = 0; i < 5; i++) {
            Rig.Server server = rig.opened(new Rig.Server("s-" + i, (self, request, on) -> {
                String id = request.headers().get("x-trace-id");
                String got = request.body().length + " bytes, digest " + Rig.digest(request.body());
                rig.note(self.name + " got the whole of " + request.first() + " " + id + ": " + got);
                if (!got.equals(sent.get(id))) {
                    altered.add(id);
                    rig.note("BROKEN: no client sent " + id + " in this form; its client sent " + sent.get(id));
                    Rig.Server.answer(on, 400, "", new byte[0]);
                    return;
                }
                if (toReset.remove(id)) {
                    rig.note(self.name + " resets the connection under " + id + ", before it has run anything of it");
                    Rig.Server.reset(on);
                    return;
                }
                int ms;
                synchronized (work) {
                    ms = 24 + work.nextInt(18);
                }
                Rig.sleep(ms);
                Rig.Server.answer(on, 200, "", ("ran " + id + " with " + got).getBytes(StandardCharsets.US_ASCII));
            }));
            agent.put(server.name, server.port(), "ready", 0);
        }
        int port = Rig.freePort();
        List<Rig.RequestClass> classes = List.of(new Rig.RequestClass("view-slots", "read_like", 0.6, 1.5, 3, 5),
            new Rig.RequestClass("book-farm", "idempotency_key", 1.2, 3, 3, 5));
        rig.new Node("n1", port, Rig.config("n1", port, agent, classes, false), rig.folder.resolve("tmp")).awaitReady();
        Random random = new Random(1);
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            byte[] body = new byte[BODY];
            random.nextBytes(body);
            String id = String.format("%016x", random.nextLong());
            String key = String.format("%016x%016x", random.nextLong(), random.nextLong());
            boolean chunked = i % 4 != 0;
            sent.put(id, BODY + " bytes, digest " + Rig.digest(body));
            if (Rig.TROUBLE && RESET.contains(i)) {
                toReset.add(id);
            }
            try (Rig.Client client = new Rig.Client(port)) {
                client.write(Rig.Client.head("POST", "/book-farm", "book-farm", id, EXPIRES, "Idempotency-Key: " + key + "\r\n"
                    + (chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + BODY + "\r\n")));
                client.write(chunked ? chunks(body) : body);
                rig.note("client sent " + id + (chunked ? " in chunks: " : " with its length: ") + sent.get(id));
                String outcome;
                try {
                    Rig.Message answer = client.answer(5_000);
                    outcome = answer == null ? "the end of its connection"
                        : answer.status() + " " + new String(answer.body(), StandardCharsets.ISO_8859_1);
                    served += answer != null && answer.status() == 200 ? 1 : 0;
                } catch (IOException e) {
                    outcome = e.toString();
                }
                rig.note("client of " + id + " got: " + outcome);
            }
        }
        rig.note(REQUESTS + " requests, " + served + " answered 200, " + altered.size() + " at a server in a form that no client sent");
        rig.noteLogs(10);
        return altered.isEmpty() ? Rig.HELD : Rig.BROKEN;
    }

    private static byte[] chunks(byte[] body) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int at = 0; at < body.length; at += CHUNK) {
            byte[] part = Arrays.copyOfRange(body, at, Math.min(body.length, at + CHUNK));
            all.write((Integer.toHexString(part.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            all.write(part);
            all.write("\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        all.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        return all.toByteArray();
    }
}
