package onyxpaddle.serve;

import static onyxpaddle.serve.RpcRig.text;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeDiscovery;
import onyxpaddle.serve.Loopback.FakeServer;
import onyxpaddle.standin.RpcCaller;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The remaining time that an attempt sends to its server is at most what is left of the client's deadline, whatever delayed the attempt.
 * The test starts the deadline before the client sends, so only the transfer from the client to the node counts in the node's favour.
 */
class FurtherAttemptDeadlineTest {
    private static final double DEADLINE_S = 3;
    private static final double SLACK_S = 0.15;
    /** Longer than the slack, so that a node which sends the full deadline again fails the test. */
    private static final long DELAY_MS = 350;
    private static final String NEVER_RAN = "HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String EXPIRES = "X-Expires-In: " + DEADLINE_S;

    /** The client's deadline, from which the test computes the bound for what a server is sent later. */
    private static final class ClientDeadline {
        private final long start = System.nanoTime();

        /** The remaining time, in seconds. */
        private double left() {
            return DEADLINE_S - (System.nanoTime() - start) / 1e9;
        }
    }

    private static double sentDeadline(String head) {
        for (String line : head.split("\r\n")) {
            if (line.startsWith("x-expires-in:") || line.startsWith("X-Expires-In:")) {
                return Double.parseDouble(line.substring(line.indexOf(':') + 1).trim());
            }
        }
        throw new AssertionError("no X-Expires-In header in " + head);
    }

    private static void assertWithin(double left, double sent) {
        assertTrue(sent <= left + SLACK_S, sent + " s sent to the server with " + left + " s left to the client");
    }

    /** Injects a delay as the fault; it does not wait for a condition. */
    private static void injectDelay() throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(DELAY_MS);
    }

    private static String booking(String id) {
        return Loopback.request(id, "book", EXPIRES, "Content-Length: 0");
    }

    /** The first attempt of the safe request is reset, that of the unsafe request refused. */
    @ParameterizedTest
    @ValueSource(strings = {"read", "book"})
    void afterASlowAttempt(String requestClass) throws Exception {
        try (FakeServer server = new FakeServer("s1"); Loopback loopback = new Loopback(server);
                Client client = loopback.client().awaitReady()) {
            ClientDeadline deadline = new ClientDeadline();
            client.send(Loopback.request("r1", requestClass, EXPIRES, "Content-Length: 0"));
            assertWithin(DEADLINE_S, sentDeadline(server.nextRequest()));
            injectDelay();
            double left = deadline.left();
            server.answers.add(requestClass.equals("read") ? FakeServer.RESET : NEVER_RAN);
            assertWithin(left, sentDeadline(server.nextRequest()));
            server.answers.add(Loopback.ok("done"));
            assertEquals("200 done", client.readAnswer());
        }
    }

    @Test
    void afterASlowDial() throws Exception {
        try (FakeServer named = new FakeServer("s1"); FullBacklogServer full = new FullBacklogServer();
                FakeDiscovery discovery = new FakeDiscovery(Loopback.list(1, named).replace(named.address(), full.address()))) {
            Node node = Node.start(PlatformConfig.parse(Loopback.config(discovery, named).getBytes(StandardCharsets.UTF_8), Map.of()));
            try (Client client = new Client(node.address()).awaitReady()) {
                ClientDeadline deadline = new ClientDeadline();
                client.send(booking("r1"));
                try (Socket first = full.accept()) {
                    Loopback.head(first.getInputStream());
                    full.fillBacklog();
                    String closes = NEVER_RAN.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
                    first.getOutputStream().write(closes.getBytes(StandardCharsets.US_ASCII));
                    injectDelay();
                    double left = deadline.left();
                    try (Socket late = full.acceptDelayed()) {
                        assertWithin(left, sentDeadline(Loopback.head(late.getInputStream())));
                        late.getOutputStream().write(Loopback.ok("late").getBytes(StandardCharsets.US_ASCII));
                        assertEquals("200 late", client.readAnswer());
                    }
                }
            } finally {
                node.stop();
            }
        }
    }

    /** The node is at its limit of concurrent requests, so the next request waits for admission. */
    @Test
    void afterAWaitForAdmission() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (FakeServer server = new FakeServer("s1") {
                @Override
                void serve(Socket socket) throws Exception {
                    for (String head = Loopback.head(socket.getInputStream()); head != null;
                            head = Loopback.head(socket.getInputStream())) {
                        requests.add(head);
                        if (head.contains("X-Trace-Id: fills")) {
                            release.await();
                            socket.getOutputStream().write(Loopback.ok("fills").getBytes(StandardCharsets.US_ASCII));
                        } else {
                            socket.getOutputStream().write(answers.take().getBytes(StandardCharsets.US_ASCII));
                        }
                    }
                }
            }; Loopback loopback = new Loopback(server); Client waiting = loopback.client().awaitReady()) {
            List<Client> fillers = new ArrayList<>();
            int limit = (int) loopback.node.loop().submit(() -> loopback.node.pools().get("").snapshot()).syncUninterruptibly().getNow()
                .admitLimit();
            for (int i = 0; i < limit; i++) {
                fillers.add(loopback.client().send(Loopback.request("fills" + i, "book", "Content-Length: 0")));
                server.nextRequest();
            }
            ClientDeadline deadline = new ClientDeadline();
            waiting.send(booking("waiting"));
            loopback.client().awaitReady().close();
            assertEquals(0, server.requests.size(), "the request did not wait for admission");
            injectDelay();
            double left = deadline.left();
            release.countDown();
            assertWithin(left, sentDeadline(server.nextRequest()));
            server.answers.add(NEVER_RAN);
            assertWithin(left, sentDeadline(server.nextRequest()));
            server.answers.add(Loopback.ok("done"));
            assertEquals("200 done", waiting.readAnswer());
            for (Client client : fillers) {
                client.close();
            }
        }
    }

    /** The deadline also runs while the request is unread in its socket because the event loop is blocked. */
    @Test
    void afterABlockedEventLoop() throws Exception {
        try (FakeServer server = new FakeServer("s1"); Loopback loopback = new Loopback(server);
                Client client = loopback.client().awaitReady()) {
            BlockedEventLoop blocked = new BlockedEventLoop(loopback.node.loop());
            ClientDeadline deadline = new ClientDeadline();
            client.send(booking("r1"));
            blocked.releaseAfter(DELAY_MS);
            assertWithin(DEADLINE_S - DELAY_MS / 1e3, sentDeadline(server.nextRequest()));
            double left = deadline.left();
            server.answers.add(NEVER_RAN);
            assertWithin(left, sentDeadline(server.nextRequest()));
            server.answers.add(Loopback.ok("done"));
            assertEquals("200 done", client.readAnswer());
        }
    }

    /** The envelope of a MessagePack-RPC call that arrives while the loop is blocked and is refused at every attempt. */
    @Test
    void inTheEnvelopeOfAnRpcCall() throws Exception {
        try (RpcRig.Box box = new RpcRig.Box("one"); RpcRig rig = new RpcRig(RpcRig.config("rpc: {envelope: true}", box.rpcOnly("one")));
                RpcCaller caller = rig.caller()) {
            assertTrue(caller.callAndWait("look.up", text("w1")).ok());
            BlockedEventLoop blocked = new BlockedEventLoop(rig.node.loop());
            CompletableFuture<?> refused = caller.call("refuse", RpcCaller.envelope("expires", (long) (DEADLINE_S * 1e3)), text("c1"));
            blocked.releaseAfter(DELAY_MS);
            refused.get(RpcRig.TIMEOUT_S, TimeUnit.SECONDS);
            assertWithin(DEADLINE_S - DELAY_MS / 1e3, box.rpc.lastEnvelope().get(text("expires")).asNumberValue().toLong() / 1e3);
        }
    }
}
