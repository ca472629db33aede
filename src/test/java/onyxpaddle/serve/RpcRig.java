package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import onyxpaddle.standin.ExecutionCounter;
import onyxpaddle.standin.RpcCaller;
import onyxpaddle.standin.StandInRpcServer;
import onyxpaddle.standin.StandInServer;
import org.msgpack.value.Value;
import org.msgpack.value.ValueFactory;

/** A node with a MessagePack-RPC listener, and stand-in servers that speak both protocols. */
final class RpcRig implements AutoCloseable {
    static final long TIMEOUT_S = 20;

    /** A server that is reachable by HTTP and by MessagePack-RPC; both record what runs in one ledger. */
    static final class Box implements AutoCloseable {
        final ExecutionCounter ledger = new ExecutionCounter();
        final StandInServer http;
        final StandInRpcServer rpc;
        private boolean stopped;

        Box(String name) throws Exception {
            http = new StandInServer(name, 0, ledger);
            rpc = new StandInRpcServer(name, 0, ledger);
        }

        /** The server's entry in a configured list of servers. */
        String bothProtocols(String id) {
            return "{id: " + id + ", address: \"" + http.hostPort() + "\", rpc: \"" + rpc.hostPort() + "\"}";
        }

        String rpcOnly(String id) {
            return "{id: " + id + ", rpc: \"" + rpc.hostPort() + "\"}";
        }

        String httpOnly(String id) {
            return "{id: " + id + ", address: \"" + http.hostPort() + "\"}";
        }

        Box delay(long millis, long jitter) {
            http.delay(millis, jitter);
            rpc.delay(millis, jitter);
            return this;
        }

        void frozen(boolean on) {
            http.frozen(on);
            rpc.frozen(on);
        }

        /** Closes both listeners and all connections. */
        void stop() {
            if (!stopped) {
                stopped = true;
                http.close();
                rpc.close();
            }
        }

        @Override
        public void close() {
            stop();
        }
    }

    /** The head of a configuration with a listener {@code in} for MessagePack-RPC, and {@code web} for HTTP. */
    static final String BOTH_LISTENERS = """
        version: 1
        name: rig
        listeners:
          in: {address: "127.0.0.1:0", protocol: messagepack-rpc}
          web: {address: "127.0.0.1:0"}
        """;

    interface Condition {
        boolean isMet() throws Exception;
    }

    final Sidecar node;

    RpcRig(String config) throws Exception {
        node = Sidecar.start(SidecarRig.config(config));
    }

    /**
     * A configuration with one listener {@code in} and one pool of these servers. Procedures: {@code look.*}, {@code fail}, {@code refuse}
     * and {@code count} (safe), {@code book} (unsafe), {@code keyed} (keyed) and {@code short} (unsafe, with a deadline of 400 ms).
     */
    static String config(String poolLines, String... servers) {
        return """
            version: 1
            name: rig
            tenant: clinic
            listeners:
              in: {address: "127.0.0.1:0", protocol: messagepack-rpc, open-calls: 256}
            classes:
              look: {effect: safe, deadline: 5 s}
              book: {effect: unsafe, deadline: 5 s}
              keyed: {effect: keyed, deadline: 5 s, memory: 10 s}
              short: {effect: unsafe, deadline: 400 ms}
            pools:
              boxes:
                servers: [%s]
            %sprocedures:
              - {name: looks, listener: in, procedure: "look.*", pool: boxes, class: look}
              - {name: own, listener: in, procedure: fail, pool: boxes, class: look}
              - {name: refuse, listener: in, procedure: refuse, pool: boxes, class: look}
              - {name: count, listener: in, procedure: count, pool: boxes, class: look}
              - {name: book, listener: in, procedure: book, pool: boxes, class: book}
              - {name: keyed, listener: in, procedure: keyed, pool: boxes, class: keyed}
              - {name: short, listener: in, procedure: short, pool: boxes, class: short}
            """.formatted(String.join(", ", servers), poolLines.isEmpty() ? "" : poolLines.indent(4));
    }

    RpcCaller caller() throws Exception {
        return new RpcCaller(node.address("in"));
    }

    static Value text(String text) {
        return ValueFactory.newString(text);
    }

    static void await(Condition condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!condition.isMet()) {
            assertTrue(System.nanoTime() < end, "condition not met within " + TIMEOUT_S + " s");
            Thread.sleep(2);
        }
    }

    @Override
    public void close() {
        node.stop();
    }
}
