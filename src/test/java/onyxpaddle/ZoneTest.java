package onyxpaddle;

import static onyxpaddle.Node.MS;
import static onyxpaddle.Node.sent;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import onyxpaddle.BalancerApi.*;
import org.junit.jupiter.api.Test;

class ZoneTest {
    /** Each server of a cut-off zone failed but once, so their own counts alone would not steer away. */
    @Test
    void zoneThatAnswersNothingIsAvoidedAsAWhole() {
        Node node = Node.plain();
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            entries.add(new ServerEntry("e" + i, "east", 1, ServerState.READY, 1, 0));
            entries.add(new ServerEntry("w" + i, "west", 2, ServerState.READY, 1, 0));
        }
        node.handle(new Membership(ListKind.ALL, entries));
        int cutSends = 0;
        for (int i = 0; i < 400; i++) {
            String server = sent(node.arrive("r" + i, "read"));
            int attempt = 0;
            while (server != null && server.startsWith("w")) {
                cutSends++;
                server = sent(node.end("r" + i, attempt++, server, Outcome.CONNECT_FAILED, 100 * MS));
            }
            if (server != null) {
                node.end("r" + i, attempt, server, Outcome.OK, 50 * MS);
            }
        }
        assertTrue(cutSends < 25, cutSends + " calls into the zone that was cut off");
    }
}
