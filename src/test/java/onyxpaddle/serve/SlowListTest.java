package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;
import org.junit.jupiter.api.Test;

/** Guards against a discovery whose answers are all slow, so that a node that gives each of them up never learns what it wrote. */
class SlowListTest {
    /** Begins an answer to every call; the first goes on only after a number of calls, and the others never do. */
    private static final class PausingDiscovery extends Loopback.Peer {
        final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
        private final String answer;
        private final CountDownLatch callsBeforeTheRest;
        private final CountDownLatch closed = new CountDownLatch(1);
        private final AtomicInteger connections = new AtomicInteger();

        PausingDiscovery(String list, int callsBeforeTheRest) throws Exception {
            answer = Loopback.ok(list);
            this.callsBeforeTheRest = new CountDownLatch(callsBeforeTheRest);
        }

        @Override
        void serve(Socket socket) throws Exception {
            boolean first = connections.getAndIncrement() == 0;
            for (String head = Loopback.head(socket.getInputStream()); head != null; head = Loopback.head(socket.getInputStream())) {
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
            } finally {
                node.stop();
            }
        }
    }
}
