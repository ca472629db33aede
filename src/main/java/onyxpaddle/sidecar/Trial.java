package onyxpaddle.sidecar;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.InetAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import onyxpaddle.config.Faults;
import onyxpaddle.config.HostPort;
import onyxpaddle.config.MachineLimits;
import onyxpaddle.config.NodeConfig;
import onyxpaddle.config.NodeConfig.Effect;
import onyxpaddle.config.NodeConfig.Pool;
import onyxpaddle.config.NodeConfig.Server;
import onyxpaddle.config.NodeConfigReader;
import onyxpaddle.config.SourceFile;
import onyxpaddle.serve.Sidecar;
import onyxpaddle.sidecar.Description.Call;
import onyxpaddle.sidecar.Description.Served;
import onyxpaddle.standin.StandInServer;

/**
 * A description tried on loopback: the application and all that it calls are stand-ins, all ports are ones that are
 * free just now, and the node between them is the real one.
 */
final class Trial implements AutoCloseable {
    private static final Duration PATIENCE = Duration.ofSeconds(10);
    private static final int MOST_STAND_INS = 5;

    /** One request of the trial; {@code node}: whether the node itself gave the answer. */
    record Asked(String listener, String requestClass, String method, String path, int status, boolean node,
            String by, long micros) {
    }

    private final List<StandInServer> standIns = new ArrayList<>();
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(PATIENCE).build();
    private final Description description;
    private final Sidecar node;
    final String configuration;

    Trial(Description sound) throws Exception {
        try {
            description = onLoopback(sound);
            configuration = Derivation.text(description, List.of(description), Path.of("."));
            Faults faults = new Faults();
            NodeConfig config = NodeConfigReader.read(SourceFile.parse("trial", configuration, faults), Path.of("."),
                MachineLimits.UNKNOWN, faults);
            if (faults.any()) {
                throw new IllegalStateException("the configuration made of a sound description is at fault: "
                    + faults.list());
            }
            node = Sidecar.start(config);
        } catch (Exception e) {
            standIns.forEach(StandInServer::close);
            throw e;
        }
    }

    private StandInServer standIn(String name) throws Exception {
        StandInServer server = new StandInServer(name, 0);
        standIns.add(server);
        return server;
    }

    /** The same application, with stand-ins in the place of all that it needs. */
    private Description onLoopback(Description of) throws Exception {
        StandInServer application = standIn(of.name());
        Set<Integer> taken = new TreeSet<>();
        Map<String, Call> calls = new LinkedHashMap<>();
        for (Call call : of.calls().values()) {
            List<Server> servers = new ArrayList<>();
            int count = Math.max(1, Math.min(MOST_STAND_INS, call.pool().servers().size()));
            for (int i = 0; i < count; i++) {
                StandInServer server = standIn(call.name() + (count > 1 ? "-" + (i + 1) : ""));
                servers.add(server(server));
            }
            calls.put(call.name(), new Call(call.name(), call.at(), freePort(taken), at(call.pool(), servers), false,
                call.classes(), call.others()));
        }
        return new Description(of.file(), of.at(), of.name(), of.tenant(), application.address().getPort(),
            new HostPort("127.0.0.1", freePort(taken)), of.limits(), at(of.own(), List.of(server(application))),
            of.serves(), of.others(), calls);
    }

    private static Server server(StandInServer server) {
        return new Server(server.hostPort(), HostPort.parse(server.hostPort()), 1, "", false);
    }

    private static Pool at(Pool p, List<Server> servers) {
        return p.at(servers);
    }

    private static int freePort(Set<Integer> taken) throws IOException {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                if (taken.add(socket.getLocalPort())) {
                    return socket.getLocalPort();
                }
            }
        }
    }

    /** Asks for each path of each class once, and for one that no class has. */
    List<Asked> ask() throws Exception {
        List<Asked> asked = new ArrayList<>();
        ask(asked, "inbound", description.inbound().port(), description.serves(), description.others() != null);
        for (Call call : description.calls().values()) {
            ask(asked, "call-" + call.name(), call.port(), call.classes(), call.others() != null);
        }
        return asked;
    }

    private void ask(List<Asked> asked, String listener, int port, Map<String, Served> classes, boolean others)
            throws Exception {
        for (Map.Entry<String, Served> c : classes.entrySet()) {
            Served served = c.getValue();
            String method = served.methods().isEmpty()
                ? served.requestClass().effect() == Effect.SAFE ? "GET" : "POST" : new TreeSet<>(served.methods()).first();
            for (String path : served.paths()) {
                asked.add(ask(listener, port, c.getKey(), method, path, served.requestClass().effect()));
            }
        }
        asked.add(ask(listener, port, others ? "(default)" : "(no class)", "GET", "/no-class-has-this", Effect.SAFE));
    }

    private Asked ask(String listener, int port, String requestClass, String method, String path, Effect effect)
            throws Exception {
        boolean body = method.equals("POST") || method.equals("PUT") || method.equals("PATCH");
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .timeout(PATIENCE).method(method, body ? BodyPublishers.ofString("a trial") : BodyPublishers.noBody());
        if (effect == Effect.KEYED) {
            request.header("Idempotency-Key", "trial-" + System.nanoTime());
        }
        long start = System.nanoTime();
        HttpResponse<String> answer = client.send(request.build(), BodyHandlers.ofString());
        return new Asked(listener, requestClass, method, path, answer.statusCode(),
            answer.headers().firstValue("X-Answered-By").isPresent(),
            answer.headers().firstValue("X-Stand-In").orElse("the node"), (System.nanoTime() - start) / 1000);
    }

    /** Whether each request with a class was served, and each without was turned away. */
    static boolean sound(List<Asked> asked) {
        return asked.stream().allMatch(a -> a.requestClass().equals("(no class)") ? a.status() == 404 && a.node()
            : a.status() == 200 && !a.node());
    }

    /** Where each side is to be reached, as `name: address`. */
    Map<String, String> addresses() {
        Map<String, String> addresses = new LinkedHashMap<>();
        addresses.put("inbound", description.inbound().toString());
        description.calls().values().forEach(c -> addresses.put("call-" + c.name(), "127.0.0.1:" + c.port()));
        return addresses;
    }

    @Override
    public void close() {
        // All that was asked is answered: there is nothing to drain.
        node.stop();
        standIns.forEach(StandInServer::close);
    }
}
