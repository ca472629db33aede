package probe;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The reply to a booking by MessagePack-RPC is lost, and the booking runs a second time. */
final class LostReply {
    private static final int BOOKINGS = 20;
    /** Of so many bookings one reply is lost. */
    private static final int LOST_EVERY = 10;

    /** The application of the partner clinic: its servers share what they know of keys, and drop a repeat of one. */
    private static final class Application {
        final Kit kit;
        final Map<String, Integer> runs = new HashMap<>();
        final Map<String, String> resultOfKey = new HashMap<>();
        final Set<String> lost = new HashSet<>();
        final List<String> keysSeen = new ArrayList<>();

        Application(Kit kit) {
            this.kit = kit;
        }

        /** Runs a call, unless it is the repeat of a key; returns the result. */
        synchronized String call(String server, List<?> params) {
            int first = 0;
            String key = null;
            if (!params.isEmpty() && params.get(0) instanceof Map<?, ?> map && map.get("lupinmount") instanceof Map<?, ?> envelope) {
                key = (String) envelope.get("key");
                first = 1;
            }
            String visit = (String) params.get(first);
            if (key != null) {
                keysSeen.add(key);
                String before = resultOfKey.get(key);
                if (before != null) {
                    kit.note("server " + server + ": repeat of key " + key + " dropped");
                    return before;
                }
            }
            int run = runs.merge(visit, 1, Integer::sum);
            kit.note("server " + server + ": run " + run + " of " + visit + ", key told: " + key);
            String result = "booked " + visit;
            if (key != null) {
                resultOfKey.put(key, result);
            }
            return result;
        }

        /** Whether the reply to this booking is lost: once for each tenth. */
        synchronized boolean loses(String visit) {
            int number = Integer.parseInt(visit.substring(visit.indexOf('-') + 1));
            return Kit.TROUBLE && number % LOST_EVERY == 0 && lost.add(visit);
        }
    }

    public static void main(String[] args) {
        Kit.play(LostReply::run);
    }

    private static InetSocketAddress server(String name, Application application) throws IOException {
        InetSocketAddress at = Kit.free();
        ServerSocket listener = new ServerSocket(at.getPort(), 100, at.getAddress());
        Kit.thread(() -> {
            while (true) {
                Socket socket = listener.accept();
                Kit.thread(() -> {
                    try (socket) {
                        InputStream in = new BufferedInputStream(socket.getInputStream());
                        while (true) {
                            List<?> call = (List<?>) Pack.read(in);
                            String result = application.call(name, (List<?>) call.get(3));
                            Kit.sleep(20);
                            if (application.loses(result.substring("booked ".length()))) {
                                application.kit.note("server " + name + ": the connection is reset under the reply of: " + result);
                                socket.setSoLinger(true, 0);
                                return;
                            }
                            List<Object> reply = new ArrayList<>(List.of(1L, call.get(1)));
                            reply.add(null);
                            reply.add(result);
                            socket.getOutputStream().write(Pack.of(reply));
                        }
                    }
                });
            }
        });
        return at;
    }

    private static String run(Kit kit) throws Exception {
        Application application = new Application(kit);
        InetSocketAddress inbound = Kit.free();
        InetSocketAddress calls = Kit.freePort();
        StringBuilder servers = new StringBuilder();
        for (String name : List.of("one", "two", "three")) {
            servers.append("      - {id: ").append(name).append(", rpc: \"").append(Kit.text(server(name, application))).append("\"}\n");
        }
        Path description = kit.tmp.resolve("clinic.yaml");
        Files.writeString(description, """
            application: clinic
            port: 8081
            inbound: %s
            serves:
              ui: {paths: [/], effect: safe, deadline: 2 s}
            calls:
              records:
                rpc-port: %d
                servers:
            %s    classes:
                  look-up: {procedures: ["patient.*"], effect: safe, deadline: 1 s}
                  enter: {procedures: [visit.book], effect: keyed, memory: 10 s, deadline: 2 s}
            """.formatted(Kit.text(inbound), calls.getPort(), servers));
        Kit.Proc check = kit.start("check", "exec bin/lupinmount sidecar check " + description, Map.of());
        int checked = check.process.waitFor();
        kit.note("sidecar check: exit code " + checked + ": " + check.log().strip());
        if (checked == 78) {
            // A description that can't keep the rule is refused: so it is kept.
            return null;
        }
        Kit.Proc write = kit.start("write", "exec bin/lupinmount sidecar write " + description + " --out " + kit.tmp.resolve("nodes"), Map.of());
        if (write.process.waitFor() != 0) {
            throw new Kit.CouldNotRun("sidecar write: " + write.log());
        }
        Path node = kit.tmp.resolve("nodes/clinic.node.yaml");
        kit.start("node", kit.runLine() + " --config " + node, Map.of());
        InetSocketAddress at = calls;
        if (!Kit.await(20_000, () -> open(at))) {
            throw new Kit.CouldNotRun("the node does not listen");
        }
        try (Socket caller = new Socket(at.getAddress(), at.getPort())) {
            caller.setSoTimeout(10_000);
            InputStream in = new BufferedInputStream(caller.getInputStream());
            for (int i = 1; i <= BOOKINGS; i++) {
                Map<String, Object> envelope = Map.of("key", "b-" + i);
                List<Object> params = List.of(Map.of("lupinmount", envelope), "visit-" + i, "2026-12-09");
                caller.getOutputStream().write(Pack.of(List.of(0L, (long) i, "visit.book", params)));
                kit.note("caller: visit.book visit-" + i + " with key b-" + i);
                List<?> reply = (List<?>) Pack.read(in);
                kit.note("caller: reply to " + reply.get(1) + ": error " + reply.get(2) + ", result " + reply.get(3));
            }
        }
        kit.note("keys that servers were told: " + application.keysSeen);
        String broken = null;
        for (Map.Entry<String, Integer> each : application.runs.entrySet()) {
            if (each.getValue() > 1) {
                broken = each.getKey() + " ran " + each.getValue() + " times for one call with one key";
            }
        }
        if (application.runs.size() < BOOKINGS && !Kit.TROUBLE) {
            throw new Kit.CouldNotRun("not all bookings ran");
        }
        return broken;
    }

    private static boolean open(InetSocketAddress at) {
        try {
            new Socket(at.getAddress(), at.getPort()).close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
