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
 * Tries out a description on loopback: the application and the services it calls are stand-ins, the ports are free ones, and the
 * node between them is a real one.
 */
final class LoopbackTrial implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int MAX_STAND_INS = 5;
    private static final String NO_CLASS = "(no class)";

    /** One request of the trial and its answer; {@code node}: whether the node itself answered. */
    record TrialRequest(String listener, String requestClass, String method, String path, int status, boolean node,
            String by, long micros) {
    }

    private final List<AutoCloseable> standIns = new ArrayList<>();
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(TIMEOUT).build();
    private final Description description;
    private final Sidecar node;
    final String configuration;

    LoopbackTrial(Description valid) throws Exception {
        try {
            description = onLoopback(valid);
            configuration = ConfigGenerator.generate(description, List.of(description), Path.of("."));
            Faults faults = new Faults();
            NodeConfig config = NodeConfigReader.read(SourceFile.parse("trial", configuration, faults), Path.of("."),
                MachineLimits.UNKNOWN, faults);
            if (faults.any()) {
                throw new IllegalStateException("the configuration generated from a valid description has faults: "
                    + faults.list());
            }
            node = Sidecar.start(config);
        } catch (Exception e) {
            closeStandIns();
            throw e;
        }
    }

    /** Starts a stand-in for the given protocols and returns its entry in a list of servers. */
    private Server startStandIn(String name, boolean http, boolean rpc) throws Exception {
        ExecutionCounter executions = new ExecutionCounter();
        HostPort address = null;
        HostPort rpcAddress = null;
        if (http) {
            StandInServer server = new StandInServer(name, 0, executions);
            standIns.add(server);
            address = HostPort.parse(server.hostPort());
        }
        if (rpc) {
            StandInRpcServer server = new StandInRpcServer(name, 0, executions);
            standIns.add(server);
            rpcAddress = HostPort.parse(server.hostPort());
        }
        return new Server(name, address, 1, "", false, rpcAddress);
    }

    /** Copies the description, with stand-ins for the application and the services it calls. */
    private Description onLoopback(Description of) throws Exception {
        Server application = startStandIn(of.name(), of.ports().http() != 0, of.ports().rpc() != 0);
        Set<Integer> taken = new TreeSet<>();
        Map<String, Call> calls = new LinkedHashMap<>();
        for (Call call : of.calls().values()) {
            List<Server> servers = new ArrayList<>();
            int count = Math.max(1, Math.min(MAX_STAND_INS, call.pool().servers().size()));
            for (int i = 0; i < count; i++) {
                servers.add(startStandIn(call.name() + (count > 1 ? "-" + (i + 1) : ""), call.ports().http() != 0,
                    call.ports().rpc() != 0));
            }
            calls.put(call.name(), new Call(call.name(), call.at(), freePorts(call.ports(), taken), call.pool().withServers(servers),
                false,
                call.classes(), call.others()));
        }
        Ports inbound = freePorts(new Ports(of.inbound() == null ? 0 : 1, of.inboundRpc() == null ? 0 : 1), taken);
        return new Description(of.file(), of.at(), of.name(), of.tenant(), new Ports(port(application.address()),
            port(application.rpc())), loopback(inbound.http()), loopback(inbound.rpc()), null, null, of.limits(),
            of.own().withServers(List.of(application)), of.serves(), of.others(), calls);
    }

    private static int port(HostPort address) {
        return address == null ? 0 : address.port();
    }

    private static HostPort loopback(int port) {
        return port == 0 ? null : new HostPort("127.0.0.1", port);
    }

    /** A free port for each protocol that has a port. */
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

    /** Sends a request for each path of each class, and one for a path of no class. */
    List<TrialRequest> sendRequests() throws Exception {
        List<TrialRequest> results = new ArrayList<>();
        sendRequests(results, "inbound", port(description.inbound()), description.serves(), description.others() != null);
        callProcedures(results, "inbound--rpc", port(description.inboundRpc()), description.serves());
        for (Call call : description.calls().values()) {
            sendRequests(results, "call-" + call.name(), call.ports().http(), call.classes(), call.others() != null);
            callProcedures(results, "call-" + call.name() + "--rpc", call.ports().rpc(), call.classes());
        }
        return results;
    }

    private void sendRequests(List<TrialRequest> results, String listener, int port, Map<String, Served> classes, boolean others)
            throws Exception {
        if (port == 0) {
            return;
        }
        for (Map.Entry<String, Served> c : classes.entrySet()) {
            Served served = c.getValue();
            String method = served.methods().isEmpty()
                ? served.requestClass().effect() == Effect.SAFE ? "GET" : "POST" : new TreeSet<>(served.methods()).first();
            for (String path : served.paths()) {
                results.add(send(listener, port, c.getKey(), method, path, served.requestClass().effect()));
            }
        }
        results.add(send(listener, port, others ? "(default)" : NO_CLASS, "GET", "/no-class-has-this", Effect.SAFE));
    }

    /** Calls each procedure of each class, and one of no class. */
    private static void callProcedures(List<TrialRequest> results, String listener, int port, Map<String, Served> classes)
            throws Exception {
        if (port == 0) {
            return;
        }
        try (RpcCaller caller = new RpcCaller(new InetSocketAddress("127.0.0.1", port))) {
            for (Map.Entry<String, Served> c : classes.entrySet()) {
                for (String procedure : c.getValue().procedures()) {
                    results.add(call(caller, listener, c.getKey(), procedure.replace("*", "trial")));
                }
            }
            if (classes.values().stream().noneMatch(c -> c.procedures().contains("*"))) {
                results.add(call(caller, listener, NO_CLASS, "no-class-has-this"));
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

    private TrialRequest send(String listener, int port, String requestClass, String method, String path, Effect effect)
            throws Exception {
        boolean body = method.equals("POST") || method.equals("PUT") || method.equals("PATCH");
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .timeout(TIMEOUT).method(method, body ? BodyPublishers.ofString("a trial") : BodyPublishers.noBody());
        if (effect == Effect.KEYED) {
            request.header("Idempotency-Key", "trial-" + System.nanoTime());
        }
        long start = System.nanoTime();
        HttpResponse<String> answer = client.send(request.build(), BodyHandlers.ofString());
        return new TrialRequest(listener, requestClass, method, path, answer.statusCode(),
            answer.headers().firstValue("X-Answered-By").isPresent(),
            answer.headers().firstValue("X-Stand-In").orElse("the node"), (System.nanoTime() - start) / 1000);
    }

    /** Whether each request of a class was served, and each request of no class refused by the node. */
    static boolean allAsExpected(List<TrialRequest> results) {
        return results.stream().allMatch(a -> a.requestClass().equals(NO_CLASS) ? a.status() == 404 && a.node()
            : a.status() == 200 && !a.node());
    }

    /** The address of each listener, by its name. */
    Map<String, String> addresses() {
        Map<String, String> addresses = new LinkedHashMap<>();
        put(addresses, "inbound", description.inbound());
        put(addresses, "inbound--rpc", description.inboundRpc());
        description.calls().values().forEach(c -> {
            put(addresses, "call-" + c.name(), loopback(c.ports().http()));
            put(addresses, "call-" + c.name() + "--rpc", loopback(c.ports().rpc()));
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
        // All requests have been answered, so there is nothing to drain.
        node.stop();
        closeStandIns();
    }

    private void closeStandIns() {
        for (AutoCloseable standIn : standIns) {
            try {
                standIn.close();
            } catch (Exception e) {
                throw new IllegalStateException("cannot close a stand-in", e);
            }
        }
    }
}
