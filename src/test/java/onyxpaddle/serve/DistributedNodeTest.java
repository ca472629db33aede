package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import onyxpaddle.distribution.FakeReplica;
import onyxpaddle.drill.ServeProcess;
import onyxpaddle.standin.StandInServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Nodes as processes, with control processes and without any; without them no class of the distribution package is loaded. */
class DistributedNodeTest {
    private static final int EXIT_CONFIG = 78;

    @TempDir
    private Path folder;
    private InetSocketAddress listen;
    private InetSocketAddress admin;

    /** A node process, killed at the end of the test. */
    private final class NodeProcess implements AutoCloseable {
        private final Process process;
        private final Path log = folder.resolve("log-" + System.nanoTime());
        private final Path loaded = folder.resolve("loaded-" + System.nanoTime());

        NodeProcess(Map<String, String> environment, String... arguments) throws IOException {
            String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
            List<String> command = new ArrayList<>(List.of(java, "-XX:TieredStopAtLevel=1", "-Xlog:class+load:file=" + loaded,
                "-cp", System.getProperty("java.class.path"), "onyxpaddle.Main"));
            command.addAll(List.of(arguments));
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
            builder.environment().keySet().removeIf(name -> name.startsWith("GW_"));
            builder.environment().putAll(environment);
            process = builder.start();
        }

        NodeProcess awaitReady() throws Exception {
            Loopback.await(() -> get(admin, "/ready").startsWith("HTTP/1.1 200") || !process.isAlive());
            assertTrue(process.isAlive(), log());
            return this;
        }

        void awaitLog(String text) throws Exception {
            Loopback.await(() -> log().contains(text));
        }

        String log() {
            try {
                return Files.readString(log);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }

        /** The lines of the class-loading log with a class whose name begins with one of these prefixes. */
        List<String> loaded(String... prefixes) throws IOException {
            try (Stream<String> lines = Files.lines(loaded)) {
                return lines.filter(line -> Stream.of(prefixes).anyMatch(prefix -> line.contains(" " + prefix))).toList();
            }
        }

        void signal(String name) throws Exception {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        int terminate() throws Exception {
            signal("TERM");
            assertTrue(process.waitFor(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS), log());
            return process.exitValue();
        }

        @Override
        public void close() {
            process.destroyForcibly().onExit().join();
        }
    }

    /** Sends a GET; returns the answer including its head, empty if there is none. */
    private static String get(InetSocketAddress address, String path) {
        try (java.net.Socket socket = new java.net.Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(Loopback.TIMEOUT_MS);
            socket.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").getBytes());
            return new String(socket.getInputStream().readAllBytes());
        } catch (IOException e) {
            return "";
        }
    }

    private Path file(StandInServer server) throws IOException {
        listen = ServeProcess.freePort();
        admin = ServeProcess.freePort();
        return Files.writeString(folder.resolve("node.yaml"), """
            version: 1
            name: n1
            admin: "%s"
            listeners:
              in: {address: "%s"}
            classes:
              look: {effect: safe, deadline: 5 s}
            pools:
              app: {servers: ["%s"]}
            routes:
              - {name: look, listener: in, path: /slots, pool: app, class: look}
            """.formatted(ServeProcess.hostPort(admin), ServeProcess.hostPort(listen), server.hostPort()));
    }

    private void awaitAnswerFrom(String server) throws InterruptedException {
        Loopback.await(() -> get(listen, "/slots").contains("\r\n\r\n" + server + " "));
    }

    @Test
    void changesReachARunningNodeAndSurviveItsRestart() throws Exception {
        Path state = folder.resolve("state");
        try (StandInServer old = new StandInServer("old", 0); StandInServer next = new StandInServer("next", 0)) {
            Path file = file(old);
            String[] arguments;
            try (FakeReplica replica = new FakeReplica()) {
                arguments = new String[] {"serve", "--config", file.toString(), "--control", "127.0.0.1:" + replica.address().getPort(),
                    "--service", "booking", "--state", state.toString()};
                try (NodeProcess node = new NodeProcess(Map.of(), arguments).awaitReady()) {
                    awaitAnswerFrom("old");
                    replica.publish("service/booking/pools.app", "{servers: [\"" + next.hostPort() + "\"]}");
                    replica.awaitCall("in_force", "1.1");
                    awaitAnswerFrom("next");
                    replica.publish("node/n1/pools.app", "{servers: []}");
                    node.awaitLog("node/n1/pools.app:1:11: pools.app.servers: the list is empty");
                    assertTrue(replica.awaitCall("refused", "1.2").get("fault").startsWith("node/n1/pools.app:1:11: "));
                    awaitAnswerFrom("next");
                    replica.publish("node/n1/pools.app", null);
                    replica.awaitCall("in_force", "1.3");
                    // The file changes; the distributed entries still override it.
                    Files.writeString(file, Files.readString(file).replace("path: /slots", "path: /"));
                    node.signal("HUP");
                    Loopback.await(() -> get(listen, "/other").contains("\r\n\r\nnext "));
                    Files.writeString(file, "version: [");
                    node.signal("HUP");
                    node.awaitLog("nothing is changed, as the file is at fault");
                    awaitAnswerFrom("next");
                    assertTrue(node.log().contains("1.3 is in force"), node.log());
                    assertEquals(143, node.terminate(), node.log());
                }
            }
            file = file(old);
            arguments[2] = file.toString();
            try (NodeProcess node = new NodeProcess(Map.of(), arguments).awaitReady()) {
                awaitAnswerFrom("next");
                assertTrue(node.log().contains("no control process answers; starting with 1.3 as kept "), node.log());
            }
        }
    }

    @Test
    void invalidFileWithoutEntriesEndsTheProcessWithThePositionOfTheFault() throws Exception {
        try (StandInServer server = new StandInServer("s", 0); FakeReplica replica = new FakeReplica()) {
            Path file = file(server);
            Files.writeString(file, Files.readString(file).replace("servers:", "server:"));
            try (NodeProcess node = new NodeProcess(Map.of(), "serve", "--config", file.toString(), "--control",
                    "127.0.0.1:" + replica.address().getPort())) {
                assertTrue(node.process.waitFor(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS));
                assertEquals(EXIT_CONFIG, node.process.exitValue(), node.log());
                assertTrue(node.log().contains("\n" + file + ":9:9: pools.app.server: unknown key; did you mean `servers`?"), node.log());
            }
        }
    }

    @Test
    void distributionIsNotLoadedWithoutControlProcesses() throws Exception {
        try (StandInServer server = new StandInServer("s", 0)) {
            Path file = file(server);
            try (NodeProcess node = new NodeProcess(Map.of(), "serve", "--config", file.toString()).awaitReady()) {
                assertFalse(node.loaded("onyxpaddle.serve.Sidecar").isEmpty());
                node.terminate();
                assertEquals(List.of(), node.loaded("onyxpaddle.distribution.", "onyxpaddle.serve.Distributed",
                    "onyxpaddle.serve.ConfigurationTarget", "onyxpaddle.serve.DistributedConfigurationCache"));
            }
        }
    }

    @Test
    void distributionIsNotLoadedByThePlatformNode() throws Exception {
        admin = ServeProcess.freePort();
        try (Loopback.FakeServer server = new Loopback.FakeServer("s1");
                Loopback.FakeDiscovery discovery = new Loopback.FakeDiscovery(Loopback.list(1, server))) {
            Path file = Files.writeString(folder.resolve("platform.json"), Loopback.config(discovery, server));
            Map<String, String> environment = Map.of("GW_CONFIG", file.toString(), "GW_ADMIN", ServeProcess.hostPort(admin));
            try (NodeProcess node = new NodeProcess(environment, "serve").awaitReady()) {
                assertFalse(node.loaded("onyxpaddle.membership.Discovery").isEmpty());
                node.terminate();
                assertEquals(List.of(), node.loaded("onyxpaddle.distribution.", "onyxpaddle.serve.Distributed", "onyxpaddle.serve.Sidecar",
                    "onyxpaddle.serve.ConfigurationTarget", "onyxpaddle.serve.DistributedConfigurationCache"));
            }
        }
    }
}
