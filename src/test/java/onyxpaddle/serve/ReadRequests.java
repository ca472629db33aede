package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.Stream;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;

/** Safe requests that any server may answer, with which a test observes where a node routes its traffic. */
final class ReadRequests {
    /** With two equal servers, the probability that all of these go to the same one by chance is one in a million. */
    static final int REQUESTS = 20;

    private ReadRequests() {
    }

    /** Queues enough answers at each of these servers for all requests of a test. */
    static void enqueueAnswers(FakeServer... servers) {
        for (FakeServer server : servers) {
            for (int i = 0; i < 4 * REQUESTS; i++) {
                server.answers.add(Loopback.ok(server.name));
            }
        }
    }

    /** Sends requests until each of the servers has received one; the ids of the requests start with the prefix. */
    static void sendUntilAllReached(Client client, String prefix, FakeServer... servers) throws Exception {
        for (int i = 0; !Stream.of(servers).allMatch(s -> s.requests.size() > 0); i++) {
            client.send(Loopback.request(prefix + i, "read")).readAnswer();
        }
    }

    /** Sends {@link #REQUESTS} requests and asserts that this server answers all of them. */
    static void assertAllServedBy(FakeServer server, Client client, String prefix) throws Exception {
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals("200 " + server.name, client.send(Loopback.request(prefix + i, "read")).readAnswer());
        }
    }
}
