package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;
import org.junit.jupiter.api.Test;

/**
 * Guards against a discovery whose answers are slow: a node that gives each of them up never learns what it wrote, and one that takes a late
 * answer for the newest one forgets what a later call has told.
 */
class SlowListTest {
    /** Enough to reach each of two servers almost certainly. */
    private static final int REQUESTS = 20;

    /** Begins an answer to every call; the first goes on only after a number of calls, and the others never do. */
    private static final class PausingDiscovery extends Loopback.Peer {
        final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
        /** By call, the number of connections that the node had open when it came. */
        final BlockingQueue<Integer> openConnections = new LinkedBlockingQueue<>();
        private final List<Socket> sockets = new ArrayList<>();
        private final String answer;
        private final CountDownLatch callsBeforeTheRest;
        private final CountDownLatch closed = new CountDownLatch(1);

        PausingDiscovery(String list, int callsBeforeTheRest) throws Exception {
            answer = Loopback.ok(list);
            this.callsBeforeTheRest = new CountDownLatch(callsBeforeTheRest);
        }

        @Override
        void serve(Socket socket) throws Exception {
            boolean first = add(socket);
            for (String head = Loopback.head(socket.getInputStream()); head != null; head = Loopback.head(socket.getInputStream())) {
                openConnections.add(open(socket));
                calls.add(head.split("\r\n")[0]);
                callsBeforeTheRest.countDown();
                byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
                OutputStream out = socket.getOutputStream();
                out.write(bytes, 0, bytes.length / 2);
                if (first) {
                    callsBeforeTheRest.await();
                    out.write(bytes, bytes.length / 2, bytes.length - bytes.length / 2);
                } else {
                    closed.await();
                }
            }
        }

        private synchronized boolean add(Socket socket) {
            sockets.add(socket);
            return sockets.size() == 1;
        }

        /** Counts this connection and the others that the node has not closed. Their threads do not read from them meanwhile. */
        private synchronized int open(Socket calling) throws Exception {
            int open = 1;
            for (Socket socket : sockets) {
                open += socket != calling && isOpen(socket) ? 1 : 0;
            }
            return open;
        }

        private static boolean isOpen(Socket socket) throws Exception {
            socket.setSoTimeout(1);
            try {
                return socket.getInputStream().read() >= 0;
            } catch (SocketTimeoutException e) {
                return true;
            } finally {
                socket.setSoTimeout(0);
            }
        }

        @Override
        public void close() throws java.io.IOException {
            closed.countDown();
            super.close();
        }
    }

    /** Pauses within its first answer, answers the second call with another list, and goes on with the first answer at the third call. */
    private static final class OvertakingDiscovery extends Loopback.Peer {
        /** Either the next call has come on the first connection, or the node has closed it. */
        final CountDownLatch firstAnswerHandled = new CountDownLatch(1);
        private final byte[] pausing;
        private final byte[] overtaking;
        private final CountDownLatch thirdCall = new CountDownLatch(1);
        private final CountDownLatch closed = new CountDownLatch(1);
        private final AtomicInteger connections = new AtomicInteger();

        OvertakingDiscovery(String pausingList, String overtakingList) throws Exception {
            pausing = Loopback.ok(pausingList).getBytes(StandardCharsets.UTF_8);
            overtaking = Loopback.ok(overtakingList).getBytes(StandardCharsets.UTF_8);
        }

        @Override
        void serve(Socket socket) throws Exception {
            int connection = connections.getAndIncrement();
            OutputStream out = socket.getOutputStream();
            Loopback.head(socket.getInputStream());
            if (connection == 0) {
                out.write(pausing, 0, pausing.length / 2);
                thirdCall.await();
                out.write(pausing, pausing.length / 2, pausing.length - pausing.length / 2);
                Loopback.head(socket.getInputStream());
                firstAnswerHandled.countDown();
            } else if (connection == 1) {
                out.write(overtaking);
            } else {
                thirdCall.countDown();
            }
            closed.await();
        }

        @Override
        public void close() throws java.io.IOException {
            closed.countDown();
            super.close();
        }
    }

    @Test
    void answerThatPausesIsReadToItsEndWhileFurtherCallsAreMade() throws Exception {
        try (FakeServer before = new FakeServer("s1"); FakeServer after = new FakeServer("s2", Loopback.ok("after"));
                PausingDiscovery discovery = new PausingDiscovery(Loopback.list(2, after), 3)) {
            String config = Loopback.config(new Loopback.FakeDiscovery("{}"), before);
            Node node = Node.start(PlatformConfig.parse(config.getBytes(StandardCharsets.UTF_8),
                Map.of("GW_DISCOVERY", discovery.address())));
            try (Client client = new Client(node.address())) {
                for (int call = 0; call < 3; call++) {
                    assertTrue(discovery.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS).contains("after=1"));
                }
                // The next call asks for what is newer than the list of the first answer, which is in force.
                assertTrue(discovery.calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS).contains("after=2"));
                assertEquals("200 after", client.send(Loopback.request("r1", "read")).readAnswer());
                assertEquals(0, before.requests.size());
                assertEquals(List.of(1, 2, 3, 1), List.copyOf(discovery.openConnections), "a current answer ends the other calls");
            } finally {
                node.stop();
            }
        }
    }

    @Test
    void answersThatNeverEndTakeNoMoreThanThreeConnections() throws Exception {
        try (FakeServer server = new FakeServer("s1");
                PausingDiscovery discovery = new PausingDiscovery(Loopback.list(2, server), Integer.MAX_VALUE)) {
            String config = Loopback.config(new Loopback.FakeDiscovery("{}"), server);
            Node node = Node.start(PlatformConfig.parse(config.getBytes(StandardCharsets.UTF_8),
                Map.of("GW_DISCOVERY", discovery.address())));
            try {
                for (int open : new int[] {1, 2, 3, 3, 3}) {
                    assertEquals(open, discovery.openConnections.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS));
                }
            } finally {
                node.stop();
            }
        }
    }

    @Test
    void lateAnswerPutsNoServerBackThatTheAnswerToALaterCallForbids() throws Exception {
        try (FakeServer forbidden = new FakeServer("s1"); FakeServer permitted = new FakeServer("s2");
                OvertakingDiscovery discovery = new OvertakingDiscovery(Loopback.list(1, forbidden, permitted), Loopback.list(0, permitted))) {
            String config = Loopback.config(new Loopback.FakeDiscovery("{}"), forbidden, permitted);
            Node node = Node.start(PlatformConfig.parse(config.getBytes(StandardCharsets.UTF_8),
                Map.of("GW_DISCOVERY", discovery.address())));
            try (Client client = new Client(node.address())) {
                assertTrue(discovery.firstAnswerHandled.await(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS), "the first answer is not handled");
                for (int request = 0; request < REQUESTS; request++) {
                    permitted.answers.add(Loopback.ok("permitted"));
                    forbidden.answers.add(Loopback.ok("forbidden"));
                    assertEquals("200 permitted", client.send(Loopback.request("r" + request, "read")).readAnswer());
                }
            } finally {
                node.stop();
            }
        }
    }
}
