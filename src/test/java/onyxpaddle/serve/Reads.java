package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.Stream;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;

/** Requests that any server may answer, by which a test sees where a node sends. */
final class Reads {
    /** So many are all sent to one of two equal servers by chance in one of a million runs. */
    static final int ENOUGH = 20;

    private Reads() {
    }

    /** Gives each of these servers an answer to every request to come. */
    static void answeredBy(FakeServer... servers) {
        for (FakeServer server : servers) {
            for (int i = 0; i < 4 * ENOUGH; i++) {
                server.answers.add(Loopback.ok(server.name));
            }
        }
    }

    /** Sends until each of the servers has been asked; names of requests begin with the prefix. */
    static void reachAll(Client client, String prefix, FakeServer... servers) throws Exception {
        for (int i = 0; !Stream.of(servers).allMatch(s -> s.heard.size() > 0); i++) {
            client.say(Loopback.request(prefix + i, "read")).hear();
        }
    }

    /** Each of so many requests is served by this server. */
    static void allServedBy(FakeServer server, Client client, String prefix) throws Exception {
        for (int i = 0; i < ENOUGH; i++) {
            assertEquals("200 " + server.name, client.say(Loopback.request(prefix + i, "read")).hear());
        }
    }
}
