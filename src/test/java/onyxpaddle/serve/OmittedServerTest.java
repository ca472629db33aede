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

/**
 * Guards against sending requests to a server that a full list omits without an earlier change to draining: such a server is gone, even if
 * it still answers.
 */
class OmittedServerTest {
    /** How the full list that omits the server arrives. */
    enum Form {
        NEWER(2), INDENTED(2),
        /** The list has the version that the node already has, so that a comparison of versions finds nothing new. */
        SAME_VERSION(1),
        /** The watch is closed without an answer, and the next call is answered with the full list. */
        AFTER_A_CLOSED_WATCH(2);

        private final int version;

        Form(int version) {
            this.version = version;
        }

        private Step[] listSteps(FakeServer remaining) {
            Step list = new SendList(this == INDENTED ? indented(Loopback.list(version, remaining)) : Loopback.list(version, remaining));
            return this == AFTER_A_CLOSED_WATCH ? new Step[] {new CloseConnection(), list} : new Step[] {list};
        }

        private static String indented(String json) {
            return json.replace("{", "{\n  ").replace(",", ",\n  ").replace(":[", ": [\n").replace("}", "\n}") + "\n";
        }
    }

    @ParameterizedTest
    @EnumSource(Form.class)
    void serverOmittedFromAFullListGetsNoFurtherRequests(Form form) throws Exception {
        try (FakeServer omitted = new FakeServer("s1"); FakeServer remaining = new FakeServer("s2");
                ScriptedDiscovery discovery = new ScriptedDiscovery(new SendList(Loopback.list(1, omitted, remaining)))) {
            Node node = discovery.startNode(omitted, remaining);
            try (Client client = new Client(node.address())) {
                ReadRequests.enqueueAnswers(omitted, remaining);
                ReadRequests.sendUntilAllReached(client, "before", omitted, remaining);
                // Otherwise the next call is the watch itself, and does not show that the list is in force.
                discovery.awaitWatch();
                discovery.append(form.listSteps(remaining));
                if (form == Form.AFTER_A_CLOSED_WATCH) {
                    discovery.awaitCallAfter(1);
                }
                discovery.awaitCallAfter(form.version);
                int before = omitted.requests.size();
                ReadRequests.assertAllServedBy(remaining, client, "after");
                assertEquals(before, omitted.requests.size());
                // The node closes its kept connections, which frees their slots at the server for other callers.
                Loopback.await(() -> omitted.connections.stream().allMatch(Socket::isClosed));
            } finally {
                node.stop();
            }
        }
    }

    /** A dial may take longer than the drain grace, after which a server that is gone gets no new requests. */
    @Test
    void nothingIsWrittenToAServerOmittedDuringTheDial() throws Exception {
        try (FakeServer dialled = new FakeServer("s1"); FakeServer other = new FakeServer("s2");
                FullBacklogServer full = new FullBacklogServer();
                ScriptedDiscovery discovery = new ScriptedDiscovery(
                    new SendList(Loopback.list(1, dialled).replace(dialled.address(), full.address())))) {
            Node node = discovery.startNode(dialled);
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
