package onyxpaddle.sidecar;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
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
import onyxpaddle.config.NodeConfig.Server;
import onyxpaddle.config.NodeConfigReader;
import onyxpaddle.config.SourceFile;
import onyxpaddle.serve.Sidecar;
import onyxpaddle.sidecar.Description.Call;
import onyxpaddle.sidecar.Description.Ports;
import onyxpaddle.sidecar.Description.Served;
import onyxpaddle.standin.ExecutionCounter;
import onyxpaddle.standin.RpcCaller;
import onyxpaddle.standin.StandInRpcServer;
import onyxpaddle.standin.StandInServer;
import org.msgpack.value.Value;
import org.msgpack.value.ValueFactory;

/**
 * A description tried on loopback: the application and all that it calls are stand-ins, all ports are ones that are
 * free just now, and the node between them is the real one.
 */
final class LoopbackTrial implements AutoCloseable {
    private static final Duration PATIENCE = Duration.ofSeconds(10);
    private static final int MOST_STAND_INS = 5;
    private static final String NO_CLASS = "(no class)";

    /** One request of the trial; {@code node}: whether the node itself gave the answer. */
    record TrialRequest(String listener, String requestClass, String method, String path, int status, boolean node,
            String by, long micros) {
    }

    private final List<AutoCloseable> standIns = new ArrayList<>();
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(PATIENCE).build();
    private final Description description;
    private final Sidecar node;
    final String configuration;

    LoopbackTrial(Description sound) throws Exception {
        try {
            description = onLoopback(sound);
            configuration = ConfigGenerator.text(description, List.of(description), Path.of("."));
            Faults faults = new Faults();
            NodeConfig config = NodeConfigReader.read(SourceFile.parse("trial", configuration, faults), Path.of("."),
                MachineLimits.UNKNOWN, faults);
            if (faults.any()) {
                throw new IllegalStateException("the configuration made of a sound description is at fault: "
                    + faults.list());
            }
            node = Sidecar.start(config);
        } catch (Exception e) {
            closeStandIns();
            throw e;
        }
    }

    /** A stand-in that speaks what is asked of it, as it stands in a list. */
    private Server standIn(String name, boolean http, boolean rpc) throws Exception {
        ExecutionCounter ledger = new ExecutionCounter();
        HostPort address = null;
        HostPort rpcAddress = null;
        if (http) {
            StandInServer server = new StandInServer(name, 0, ledger);
            standIns.add(server);
            address = HostPort.parse(server.hostPort());
        }
        if (rpc) {
            StandInRpcServer server = new StandInRpcServer(name, 0, ledger);
            standIns.add(server);
            rpcAddress = HostPort.parse(server.hostPort());
        }
        return new Server(name, address, 1, "", false, rpcAddress);
    }

    /** The same application, with stand-ins in the place of all that it needs. */
    private Description onLoopback(Description of) throws Exception {
        Server application = standIn(of.name(), of.ports().http() != 0, of.ports().rpc() != 0);
        Set<Integer> taken = new TreeSet<>();
        Map<String, Call> calls = new LinkedHashMap<>();
        for (Call call : of.calls().values()) {
            List<Server> servers = new ArrayList<>();
            int count = Math.max(1, Math.min(MOST_STAND_INS, call.pool().servers().size()));
            for (int i = 0; i < count; i++) {
                servers.add(standIn(call.name() + (count > 1 ? "-" + (i + 1) : ""), call.ports().http() != 0,
                    call.ports().rpc() != 0));
            }
            calls.put(call.name(), new Call(call.name(), call.at(), freePorts(call.ports(), taken), call.pool().withServers(servers),
                false,
                call.classes(), call.others()));
        }
        Ports inbound = freePorts(new Ports(of.inbound() == null ? 0 : 1, of.inboundRpc() == null ? 0 : 1), taken);
        return new Description(of.file(), of.at(), of.name(), of.tenant(), new Ports(port(application.address()),
            port(application.rpc())), here(inbound.http()), here(inbound.rpc()), null, null, of.limits(),
            of.own().withServers(List.of(application)), of.serves(), of.others(), calls);
    }

    private static int port(HostPort address) {
        return address == null ? 0 : address.port();
    }

    private static HostPort here(int port) {
        return port == 0 ? null : new HostPort("127.0.0.1", port);
    }

    /** Others in the place of those that there are. */
    private static Ports freePorts(Ports of, Set<Integer> taken) throws IOException {
        return new Ports(of.http() == 0 ? 0 : freePort(taken), of.rpc() == 0 ? 0 : freePort(taken));
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
    List<TrialRequest> ask() throws Exception {
        List<TrialRequest> asked = new ArrayList<>();
        ask(asked, "inbound", port(description.inbound()), description.serves(), description.others() != null);
        call(asked, "inbound--rpc", port(description.inboundRpc()), description.serves());
        for (Call call : description.calls().values()) {
            ask(asked, "call-" + call.name(), call.ports().http(), call.classes(), call.others() != null);
            call(asked, "call-" + call.name() + "--rpc", call.ports().rpc(), call.classes());
        }
        return asked;
    }

    private void ask(List<TrialRequest> asked, String listener, int port, Map<String, Served> classes, boolean others)
            throws Exception {
        if (port == 0) {
            return;
        }
        for (Map.Entry<String, Served> c : classes.entrySet()) {
            Served served = c.getValue();
            String method = served.methods().isEmpty()
                ? served.requestClass().effect() == Effect.SAFE ? "GET" : "POST" : new TreeSet<>(served.methods()).first();
            for (String path : served.paths()) {
                asked.add(ask(listener, port, c.getKey(), method, path, served.requestClass().effect()));
            }
        }
        asked.add(ask(listener, port, others ? "(default)" : NO_CLASS, "GET", "/no-class-has-this", Effect.SAFE));
    }

    /** Calls each procedure of each class once, and one that no class has. */
    private static void call(List<TrialRequest> asked, String listener, int port, Map<String, Served> classes) throws Exception {
        if (port == 0) {
            return;
        }
        try (RpcCaller caller = new RpcCaller(new InetSocketAddress("127.0.0.1", port))) {
            for (Map.Entry<String, Served> c : classes.entrySet()) {
                for (String procedure : c.getValue().procedures()) {
                    asked.add(call(caller, listener, c.getKey(), procedure.replace("*", "trial")));
                }
            }
            if (classes.values().stream().noneMatch(c -> c.procedures().contains("*"))) {
                asked.add(call(caller, listener, NO_CLASS, "no-class-has-this"));
            }
        }
    }

    private static TrialRequest call(RpcCaller caller, String listener, String requestClass, String procedure) throws Exception {
        long start = System.nanoTime();
        RpcCaller.Reply reply = caller.callAndWait(procedure, RpcCaller.envelope("key", "trial-" + start),
            ValueFactory.newString("a trial"));
        Value by = reply.result().isMapValue() ? reply.result().asMapValue().map().get(ValueFactory.newString("by")) : null;
        int status = reply.ok() ? 200 : "no-method".equals(reply.nodeErrorCode()) ? 404 : 503;
        return new TrialRequest(listener, requestClass, "CALL", procedure, status, reply.nodeErrorCode() != null,
            by == null ? "the node" : by.asStringValue().asString(), (System.nanoTime() - start) / 1000);
    }

    private TrialRequest ask(String listener, int port, String requestClass, String method, String path, Effect effect)
            throws Exception {
        boolean body = method.equals("POST") || method.equals("PUT") || method.equals("PATCH");
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .timeout(PATIENCE).method(method, body ? BodyPublishers.ofString("a trial") : BodyPublishers.noBody());
        if (effect == Effect.KEYED) {
            request.header("Idempotency-Key", "trial-" + System.nanoTime());
        }
        long start = System.nanoTime();
        HttpResponse<String> answer = client.send(request.build(), BodyHandlers.ofString());
        return new TrialRequest(listener, requestClass, method, path, answer.statusCode(),
            answer.headers().firstValue("X-Answered-By").isPresent(),
            answer.headers().firstValue("X-Stand-In").orElse("the node"), (System.nanoTime() - start) / 1000);
    }

    /** Whether each request with a class was served, and each without was turned away. */
    static boolean sound(List<TrialRequest> asked) {
        return asked.stream().allMatch(a -> a.requestClass().equals(NO_CLASS) ? a.status() == 404 && a.node()
            : a.status() == 200 && !a.node());
    }

    /** Where each side is to be reached, as `name: address`. */
    Map<String, String> addresses() {
        Map<String, String> addresses = new LinkedHashMap<>();
        put(addresses, "inbound", description.inbound());
        put(addresses, "inbound--rpc", description.inboundRpc());
        description.calls().values().forEach(c -> {
            put(addresses, "call-" + c.name(), here(c.ports().http()));
            put(addresses, "call-" + c.name() + "--rpc", here(c.ports().rpc()));
        });
        return addresses;
    }

    private static void put(Map<String, String> addresses, String name, HostPort address) {
        if (address != null) {
            addresses.put(name, address.toString());
        }
    }

    @Override
    public void close() {
        // All that was asked is answered: there is nothing to drain.
        node.stop();
        closeStandIns();
    }

    private void closeStandIns() {
        for (AutoCloseable standIn : standIns) {
            try {
                standIn.close();
            } catch (Exception e) {
                throw new IllegalStateException("a stand-in does not close", e);
            }
        }
    }
}
