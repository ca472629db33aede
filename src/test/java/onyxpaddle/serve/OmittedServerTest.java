package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;
import onyxpaddle.serve.ScriptedDiscovery.CloseConnection;
import onyxpaddle.serve.ScriptedDiscovery.Step;
import onyxpaddle.serve.ScriptedDiscovery.SendList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A server that drains may be left out of a whole list and told by no change: it is gone, also where it still answers. */
class OmittedServerTest {
    /** How the whole list comes that leaves the server out. */
    enum Form {
        NEWER(2), INDENTED(2),
        /** Of the version that is held: its changes did not count as new. */
        SAME_VERSION(1),
        /** The watch ends in place of telling, and the call after it is answered with the whole list. */
        AFTER_A_WATCH_THAT_ENDS(2);

        private final int version;

        Form(int version) {
            this.version = version;
        }

        private Step[] steps(FakeServer stays) {
            Step list = new SendList(this == INDENTED ? indented(Loopback.list(version, stays)) : Loopback.list(version, stays));
            return this == AFTER_A_WATCH_THAT_ENDS ? new Step[] {new CloseConnection(), list} : new Step[] {list};
        }

        private static String indented(String json) {
            return json.replace("{", "{\n  ").replace(",", ",\n  ").replace(":[", ": [\n").replace("}", "\n}") + "\n";
        }
    }

    @ParameterizedTest
    @EnumSource(Form.class)
    void serverThatAWholeListLeavesOutGetsNothingMore(Form form) throws Exception {
        try (FakeServer leaves = new FakeServer("s1"); FakeServer stays = new FakeServer("s2");
                ScriptedDiscovery discovery = new ScriptedDiscovery(new SendList(Loopback.list(1, leaves, stays)))) {
            Node node = discovery.startNode(leaves, stays);
            try (Client client = new Client(node.address())) {
                ReadRequests.enqueueAnswers(leaves, stays);
                ReadRequests.sendUntilAllReached(client, "before", leaves, stays);
                discovery.calls.clear();
                discovery.append(form.steps(stays));
                if (form == Form.AFTER_A_WATCH_THAT_ENDS) {
                    discovery.awaitCallAfter(1);
                }
                discovery.awaitCallAfter(form.version);
                int before = leaves.requests.size();
                ReadRequests.assertAllServedBy(stays, client, "after");
                assertEquals(before, leaves.requests.size());
                // Its places at the server are free for others: kept connections go with it.
                Loopback.await(() -> leaves.connections.stream().allMatch(Socket::isClosed));
            } finally {
                node.stop();
            }
        }
    }

    /** A dial may take longer than the grace after which nothing new goes to a server that has left. */
    @Test
    void nothingIsWrittenToAServerThatWasLeftOutDuringTheDial() throws Exception {
        try (FakeServer named = new FakeServer("s1"); FakeServer other = new FakeServer("s2"); FullBacklogServer full = new FullBacklogServer();
                ScriptedDiscovery discovery = new ScriptedDiscovery(
                    new SendList(Loopback.list(1, named).replace(named.address(), full.address())))) {
            Node node = discovery.startNode(named);
            try (Client client = new Client(node.address())) {
                full.fillBacklog();
                client.send(Loopback.request("r1", "book", "Content-Length: 0"));
                Loopback.await(() -> node.loop().submit(() -> node.pools().get("").unanswered()).syncUninterruptibly().getNow() == 1);
                other.answers.add(Loopback.ok("other"));
                discovery.append(new SendList(Loopback.list(2, other)));
                discovery.awaitCallAfter(2);
                try (Socket late = full.acceptDelayed()) {
                    assertEquals(-1, late.getInputStream().read());
                }
                assertEquals("200 other", client.readAnswer());
            } finally {
                node.stop();
            }
        }
    }
}
