package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.ServerSocket;
import java.nio.file.Path;
import onyxpaddle.command.Lupinmount;
import onyxpaddle.config.NodeConfig;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;
import onyxpaddle.standin.RpcCaller;
import onyxpaddle.standin.StandInServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Admin operations, drain and process replacement of a sidecar with listeners of both protocols, through the operator's commands. */
class SidecarOperationsTest {
    private static final String GET = "GET /slots HTTP/1.1\r\nHost: a\r\n\r\n";

    private static final String BOOK = "POST /visits HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";

    private static NodeConfig config(Path folder, int port, int rpcPort, String... servers) {
        StringBuilder list = new StringBuilder();
        for (int i = 0; i < servers.length; i++) {
            list.append("      - {id: s").append(i + 1).append(", ").append(servers[i]).append("}\n");
        }
        return SidecarRig.config("""
            version: 1
            name: rig
            admin: "127.0.0.1:0"
            handover: %s
            listeners:
              in: {address: "127.0.0.1:%d"}
              calls: {address: "127.0.0.1:%d", protocol: messagepack-rpc}
            classes:
              look: {effect: safe, deadline: 5 s}
              book: {effect: unsafe, deadline: 5 s}
            pools:
              app:
                servers:
            %sroutes:
              - {name: look, listener: in, path: /slots, pool: app, class: look}
              - {name: book, listener: in, path: /visits, pool: app, class: book}
            procedures:
              - {name: look, listener: calls, procedure: look, pool: app, class: look, path: /slots/look}
            """.formatted(folder, port, rpcPort, list));
    }

    private record CommandResult(int code, String out, String err) {
    }

    private static CommandResult command(Sidecar node, String... words) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        String[] args = new String[words.length + 3];
        args[0] = "node";
        System.arraycopy(words, 0, args, 1, words.length);
        args[words.length + 1] = "--admin";
        args[words.length + 2] = "127.0.0.1:" + node.adminAddress().getPort();
        int code = Lupinmount.run(args, new PrintWriter(out, true), new PrintWriter(err, true));
        return new CommandResult(code, out.toString(), err.toString());
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    @Test
    void adminServerAnswersTheNodeCommands(@TempDir Path folder) throws Exception {
        try (StandInServer one = new StandInServer("one", 0); StandInServer two = new StandInServer("two", 0)) {
            Sidecar node = Sidecar.start(config(folder, 0, 0, "address: \"" + one.hostPort() + "\"",
                "address: \"" + two.hostPort() + "\""));
            assertEquals(new CommandResult(0, "yes\n", ""), command(node, "ready"));
            try (Client client = new Client(node.address("in"))) {
                assertTrue(client.send(GET).readAnswer().startsWith("200"));
            }
            String figures = command(node, "figures").out();
            assertTrue(figures.contains("svc_calls_total{tier=\"look\",code=\"success\"} 1\n"), figures);
            assertTrue(figures.contains("svc_hosts_listed 2\n"), figures);
            assertEquals(0, command(node, "disable", "s1").code());
            assertEquals(1, command(node, "disable", "s9").code());
            CommandResult servers = command(node, "servers");
            assertEquals(3, servers.out().lines().count());
            assertTrue(servers.out().lines().anyMatch(l -> l.matches("app +s1 .*ready, taken out .*")), servers.out());
            assertTrue(command(node, "servers", "--json").out().startsWith("[{\"pool\":\"app\",\"server\":\"s1\""));
            assertEquals(0, command(node, "enable", "s1").code());
            assertEquals(0, command(node, "drain").code());
            assertEquals(new CommandResult(1, "no\n", ""), command(node, "ready"));
            assertEquals(0, command(node, "undrain").code());
            assertEquals(0, command(node, "ready").code());
            node.stop();
            CommandResult stopped = command(node, "ready");
            assertEquals(1, stopped.code());
            assertTrue(stopped.err().contains("does not answer"), stopped.err());
        }
    }

    @Test
    void drainClosesConnectionsOfBothProtocolsAndUndrainServesAgain(@TempDir Path folder) throws Exception {
        try (FakeServer box = new FakeServer("box")) {
            Sidecar node = Sidecar.start(config(folder, 0, 0, "address: \"" + box.address() + "\""));
            try (Client idle = new Client(node.address("in")); Client busy = new Client(node.address("in"));
                    RpcCaller caller = new RpcCaller(node.address("calls"))) {
                box.answers.add(Loopback.ok("first"));
                assertEquals("200 first", idle.send(GET).readAnswer());
                box.nextRequest();
                busy.send(BOOK);
                box.nextRequest();
                assertEquals(0, command(node, "drain").code());
                assertNull(idle.readAnswer(), "an idle connection is closed");
                caller.closed().get(Loopback.TIMEOUT_MS, java.util.concurrent.TimeUnit.MILLISECONDS);
                box.answers.add(Loopback.ok("taken"));
                assertEquals("200 taken", busy.readAnswer(), "an open request is answered");
                assertNull(busy.readAnswer(), "its connection is closed after the answer");
                assertEquals(0, command(node, "undrain").code());
                try (Client again = new Client(node.address("in"))) {
                    box.answers.add(Loopback.ok("after"));
                    assertEquals("200 after", again.send(GET).readAnswer());
                }
            }
            node.stop();
        }
    }

    @Test
    void secondProcessTakesOverBothListeners(@TempDir Path folder) throws Exception {
        int port = freePort();
        int calls = freePort();
        try (StandInServer one = new StandInServer("one", 0); StandInServer two = new StandInServer("two", 0)) {
            NodeConfig config = config(folder, port, calls, "address: \"" + one.hostPort() + "\"", "address: \"" + two.hostPort() + "\"");
            Sidecar first = Sidecar.start(config);
            assertEquals(0, command(first, "disable", "s2").code());
            Sidecar next = Sidecar.start(config);
            assertEquals(0, command(next, "ready").code());
            Thread end = new Thread(first::drain);
            end.start();
            end.join(Loopback.TIMEOUT_MS);
            assertFalse(end.isAlive(), "without open requests the first process ends at once");
            first.stop();
            for (int i = 0; i < 20; i++) {
                try (Client client = new Client(next.address("in"))) {
                    assertTrue(client.send(GET).readAnswer().startsWith("200 one "), "a disabled server stays disabled in the new process");
                }
                try (RpcCaller caller = new RpcCaller(next.address("calls"))) {
                    assertFalse(caller.callAndWait("nothing").ok(), "the second process answers calls");
                }
            }
            next.stop();
        }
    }

    @Test
    void withoutAHandoverFolderTwoNodesCannotListenOnOnePort() throws Exception {
        int port = freePort();
        try (StandInServer one = new StandInServer("one", 0)) {
            NodeConfig config = SidecarRig.config(SidecarRig.simpleConfig("", one).replace("127.0.0.1:0", "127.0.0.1:" + port));
            Sidecar first = Sidecar.start(config);
            assertTrue(assertThrows(IOException.class, () -> Sidecar.start(config)).getMessage().contains("cannot listen on"));
            first.stop();
        }
    }

    @Test
    void reloadKeepsTheDrainAlsoForNewListeners(@TempDir Path folder) throws Exception {
        try (StandInServer one = new StandInServer("one", 0)) {
            String server = "address: \"" + one.hostPort() + "\"";
            Sidecar node = Sidecar.start(config(folder, 0, 0, server));
            assertEquals(0, command(node, "drain").code());
            node.change(config(folder, freePort(), freePort(), server)).get();
            assertEquals(new CommandResult(1, "no\n", ""), command(node, "ready"));
            try (Client client = new Client(node.address("in"))) {
                assertTrue(client.send("GET /.lupinmount/ready HTTP/1.1\r\nHost: a\r\n\r\n").readAnswer().startsWith("503"));
            }
            assertEquals(0, command(node, "undrain").code());
            try (Client client = new Client(node.address("in"))) {
                assertTrue(client.send(GET).readAnswer().startsWith("200 one "));
            }
            node.stop();
        }
    }

    @Test
    void undrainWithoutAKnownServerLeavesTheNodeNotReady() throws Exception {
        try (StandInServer one = new StandInServer("one", 0)) {
            Sidecar node = Sidecar.start(SidecarRig.config(SidecarRig.simpleConfig("", one).replace("servers: [" + one.hostPort() + "]",
                "discovery: \"127.0.0.1:" + freePort() + "\"").replace("listeners:", "admin: \"127.0.0.1:0\"\nlisteners:")));
            assertEquals(1, command(node, "ready").code());
            assertEquals(0, command(node, "drain").code());
            assertEquals(1, command(node, "ready").code());
            assertEquals(0, command(node, "undrain").code());
            assertEquals(1, command(node, "ready").code());
            Thread end = new Thread(node::drain);
            end.start();
            end.join(Loopback.TIMEOUT_MS);
            assertFalse(end.isAlive());
            assertEquals(1, command(node, "undrain").code(), "a final drain cannot be undone");
            node.stop();
        }
    }

    @Test
    void everyCommandPrintsItsUsage() {
        for (String[] args : new String[][] {{"--help"}, {"--version"}, {"serve", "--help"}, {"measure", "--help"}, {"node", "--help"},
                {"sidecar", "--help"}, {"rpc", "--help"}}) {
            StringWriter out = new StringWriter();
            assertEquals(0, Lupinmount.run(args, new PrintWriter(out), new PrintWriter(out)), String.join(" ", args));
            assertTrue(out.toString().contains("lupinmount"), out.toString());
        }
        StringWriter err = new StringWriter();
        assertEquals(64, Lupinmount.run(new String[] {}, new PrintWriter(err), new PrintWriter(err)));
        assertEquals(64, Lupinmount.run(new String[] {"measure", "nothing"}, new PrintWriter(err), new PrintWriter(err)));
        assertEquals(64, Lupinmount.run(new String[] {"node", "ready", "--admin", "here"}, new PrintWriter(err), new PrintWriter(err)));
        assertTrue(err.toString().contains("`here` is no address"), err.toString());
    }
}
