package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.Stream;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;

/** Requests that any server may answer, by which a test sees where a node sends. */
final class ReadRequests {
    /** So many are all sent to one of two equal servers by chance in one of a million runs. */
    static final int REQUESTS = 20;

    private ReadRequests() {
    }

    /** Gives each of these servers an answer to every request to come. */
    static void enqueueAnswers(FakeServer... servers) {
        for (FakeServer server : servers) {
            for (int i = 0; i < 4 * REQUESTS; i++) {
                server.answers.add(Loopback.ok(server.name));
            }
        }
    }

    /** Sends until each of the servers has been asked; names of requests begin with the prefix. */
    static void sendUntilAllReached(Client client, String prefix, FakeServer... servers) throws Exception {
        for (int i = 0; !Stream.of(servers).allMatch(s -> s.requests.size() > 0); i++) {
            client.send(Loopback.request(prefix + i, "read")).readAnswer();
        }
    }

    /** Each of so many requests is served by this server. */
    static void assertAllServedBy(FakeServer server, Client client, String prefix) throws Exception {
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals("200 " + server.name, client.send(Loopback.request(prefix + i, "read")).readAnswer());
        }
    }
}
