package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import onyxpaddle.config.NodeConfig;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;
import onyxpaddle.standin.RpcCaller;
import onyxpaddle.standin.StandInRpcServer;
import org.junit.jupiter.api.Test;

/** The metrics equal what callers and servers counted, across resets, callers that leave, both protocols and reloads. */
class MetricsTest {
    private static final String BOOK = "POST /visits HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";

    private static NodeConfig config(String http, String rpc, int attempts) {
        return config("10000", http, rpc, attempts);
    }

    private static NodeConfig config(String descriptors, String http, String rpc, int attempts) {
        return SidecarRig.config("""
            version: 1
            limits: {descriptors: %s}
            name: rig
            admin: "127.0.0.1:0"
            listeners:
              in: {address: "127.0.0.1:0"}
              calls: {address: "127.0.0.1:0", protocol: messagepack-rpc}
            classes:
              book: {effect: unsafe, deadline: 10 s}
              read: {effect: safe, deadline: 10 s}
            pools:
              app: {servers: ["%s"], attempts: %d}
              records: {servers: [{id: r, rpc: "%s"}]}
            routes:
              - {name: book, listener: in, path: /visits, pool: app, class: book}
            procedures:
              - {name: read, listener: calls, procedure: read, pool: records, class: read}
            """.formatted(descriptors, http, attempts, rpc));
    }

    private static long metric(Sidecar node, String series) throws Exception {
        try (Client operator = new Client(node.adminAddress())) {
            String metrics = operator.send("GET /metrics HTTP/1.1\r\n\r\n").readAnswer();
            return Long.parseLong(metrics.lines().filter(line -> line.startsWith(series + " ")).findFirst()
                .orElseThrow(() -> new AssertionError(series + " is not in\n" + metrics)).substring(series.length() + 1));
        }
    }

    private static void await(Sidecar node, String series, long value) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Loopback.TIMEOUT_MS);
        while (metric(node, series) != value) {
            assertTrue(System.nanoTime() < end, () -> series + " is not " + value);
        }
    }

    private static String calls(String name, String outcome) {
        return "svc_calls_total{tier=\"" + name + "\",code=\"" + outcome + "\"}";
    }

    private static void book(Sidecar node, FakeServer box, String answer, String status) throws Exception {
        try (Client client = new Client(node.address("in"))) {
            box.answers.add(answer);
            assertTrue(client.send(BOOK).readAnswer().startsWith(status));
            box.nextRequest();
        }
    }

    @Test
    void metricsStayExactAcrossResetsLeavingCallersBothProtocolsAndReloads() throws Exception {
        try (FakeServer box = new FakeServer("box");
                StandInRpcServer records = new StandInRpcServer("records", 0, new onyxpaddle.standin.ExecutionCounter())) {
            String rpc = "127.0.0.1:" + records.address().getPort();
            Sidecar node = Sidecar.start(config(box.address(), rpc, 3));
            for (int i = 0; i < 7; i++) {
                book(node, box, Loopback.ok("fine"), "200");
            }
            for (int i = 0; i < 3; i++) {
                book(node, box, FakeServer.RESET, "502");
            }
            try (RpcCaller caller = new RpcCaller(node.address("calls"))) {
                for (int i = 0; i < 5; i++) {
                    assertTrue(caller.callAndWait("read").ok());
                }
            }
            assertEquals(7, metric(node, calls("book", "success")));
            assertEquals(3, metric(node, calls("book", "failure")));
            assertEquals(5, metric(node, calls("read", "success")));
            assertEquals(15, metric(node, "svc_backend_calls_total"));
            // The requests of callers that leave are no longer in flight.
            for (int i = 0; i < 4; i++) {
                try (Client leaves = new Client(node.address("in"))) {
                    leaves.send(BOOK);
                    box.nextRequest();
                }
            }
            await(node, "svc_inflight", 0);
            for (int i = 0; i < 4; i++) {
                box.answers.add(Loopback.ok("for nobody"));
            }
            // Each of these answers must be consumed by the connection of a caller that left, or the next caller would get it.
            Loopback.await(box.answers::isEmpty);
            // A changed pool is replaced and keeps only its counters; what the old one has in flight still counts.
            try (Client busy = new Client(node.address("in"))) {
                busy.send(BOOK);
                box.nextRequest();
                assertEquals(1, metric(node, "svc_inflight"));
                node.change(config(box.address(), rpc, 2)).get(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS);
                assertEquals(1, metric(node, "svc_inflight"));
                box.answers.add(Loopback.ok("taken before"));
                assertEquals("200 taken before", busy.readAnswer());
            }
            book(node, box, Loopback.ok("after"), "200");
            await(node, "svc_inflight", 0);
            assertEquals(9, metric(node, calls("book", "success")));
            assertEquals(3, metric(node, calls("book", "failure")));
            assertEquals(5, metric(node, calls("read", "success")));
            assertEquals(21, metric(node, "svc_backend_calls_total"));
            assertEquals(2, metric(node, "svc_hosts_listed"));
            node.stop();
        }
    }

    @Test
    void rpcCallRefusedByANodeThatEndsIsCountedWithItsReason() throws Exception {
        try (FakeServer box = new FakeServer("box");
                StandInRpcServer records = new StandInRpcServer("records", 0, new onyxpaddle.standin.ExecutionCounter())) {
            Sidecar node = Sidecar.start(config(box.address(), "127.0.0.1:" + records.address().getPort(), 3));
            try (RpcCaller caller = new RpcCaller(node.address("calls"))) {
                records.held(true);
                caller.call("read");
                await(node, "svc_inflight", 1);
                Thread end = new Thread(node::drain);
                end.start();
                // Calls taken before the end begins are held; the first one that is answered was refused.
                CompletableFuture<RpcCaller.Reply> call = caller.call("read");
                for (long until = System.nanoTime() + 5_000_000_000L; !call.isDone() && System.nanoTime() < until; Thread.sleep(1)) {
                    call = caller.call("read");
                }
                assertTrue(metric(node, "svc_events_total{kind=\"refusal\",reason=\"refused_node_ends\"}") > 0);
                records.held(false);
                end.join(Loopback.TIMEOUT_MS);
            }
            node.stop();
        }
    }

    @Test
    void rpcCallRefusedNearTheConnectionLimitIsCountedWithItsReason() throws Exception {
        List<RpcCaller> callers = new ArrayList<>();
        try (FakeServer box = new FakeServer("box");
                StandInRpcServer records = new StandInRpcServer("records", 0, new onyxpaddle.standin.ExecutionCounter())) {
            Sidecar node = Sidecar.start(config("256", box.address(), "127.0.0.1:" + records.address().getPort(), 3));
            try {
                records.held(true);
                CompletableFuture<RpcCaller.Reply> call;
                do {
                    callers.add(new RpcCaller(node.address("calls")));
                    call = callers.get(callers.size() - 1).call("read");
                    await(node, "svc_inflight", callers.size(), call);
                } while (!call.isDone() && callers.size() < 256);
                assertEquals("refused", call.get().nodeErrorCode());
                assertEquals(1, metric(node, "svc_events_total{kind=\"refusal\",reason=\"refused_connection_limit\"}"));
            } finally {
                records.held(false);
                for (RpcCaller caller : callers) {
                    caller.close();
                }
                node.stop();
            }
        }
    }

    /** Waits until the series has this value or the call is answered. */
    private static void await(Sidecar node, String series, long value, CompletableFuture<?> call) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Loopback.TIMEOUT_MS);
        while (!call.isDone() && metric(node, series) != value) {
            assertTrue(System.nanoTime() < end, () -> series + " is not " + value);
        }
    }
}
