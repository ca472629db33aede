package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;
import onyxpaddle.serve.ScriptedDiscovery.SendList;
import org.junit.jupiter.api.Test;

/** Guards against a request that is cut off, or begun a second time, because its server drains while its body is on the way. */
class PartialUploadDrainTest {
    /** Above what a node holds of a body before it passes it on. */
    private static final int HALF_BODY = 2 << 20;
    /** Longer than the 2 s after which a draining server may get nothing new. */
    private static final long OVER_THE_GRACE_MS = 2_200;

    @Test
    void requestBegunBeforeTheNewsOfADrainIsWrittenOnAfterTheGrace() throws Exception {
        String half = "b".repeat(HALF_BODY);
        try (FakeServer drains = new FakeServer("s1", Loopback.ok("begun before"));
                FakeServer stays = new FakeServer("s2", Loopback.ok("new"));
                ScriptedDiscovery discovery = new ScriptedDiscovery(new SendList(Loopback.list(1, drains)))) {
            Node node = discovery.startNode(drains);
            try (Client uploading = new Client(node.address())) {
                uploading.send(Loopback.request("r1", "book", "Content-Length: " + 2 * HALF_BODY) + half);
                assertTrue(drains.heads.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS) != null, "the request is not passed on");
                discovery.append(new SendList(Loopback.list(2, stays)));
                discovery.awaitCallAfter(2);
                TimeUnit.MILLISECONDS.sleep(OVER_THE_GRACE_MS);
                try (Client later = new Client(node.address())) {
                    assertEquals("200 new", later.send(Loopback.request("r2", "book", "Content-Length: 0")).readAnswer());
                }
                assertEquals("200 begun before", uploading.send(half).readAnswer());
                assertEquals(1, drains.requests.size());
                assertEquals(1, stays.requests.size());
            } finally {
                node.stop();
            }
        }
    }
}
