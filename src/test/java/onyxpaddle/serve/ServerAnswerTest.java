package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import onyxpaddle.serve.Loopback.FakeServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Bytes from a server are forwarded only if they are one complete, valid answer to the current request. */
class ServerAnswerTest {
    @ParameterizedTest
    @ValueSource(strings = {
        "ICY 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nContent-Length: 41943041\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 5\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nabcde",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
    })
    void invalidAnswerFailsAndTheRequestIsNotRetried(String answer) throws Exception {
        try (FakeServer server = new FakeServer("s1", answer, Loopback.ok("second")); Loopback rig = new Loopback(server);
                Loopback.Client client = rig.client()) {
            client.send(Loopback.request("r1", "book", "Content-Length: 2") + "hi");
            assertEquals("502 ", client.readAnswer());
            assertEquals(1, server.requests.size(), "a non-idempotent request that may have run was sent again");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", "noise\r\n\r\n", "noise", "\r\n"})
    void surplusBytesAfterAnAnswerNeverReachTheNextRequest(String surplus) throws Exception {
        try (FakeServer server = new FakeServer("s1", Loopback.ok("first") + surplus, Loopback.ok("second"));
                Loopback rig = new Loopback(server); Loopback.Client client = rig.client()) {
            assertEquals("200 first", client.send(Loopback.request("r1", "book", "Content-Length: 0")).readAnswer());
            assertEquals("200 second", client.send(Loopback.request("r2", "book", "Content-Length: 0")).readAnswer());
            assertEquals(2, server.connections.size(), "the connection with the surplus was used again");
        }
    }

    @Test
    void interimAnswersAreDiscarded() throws Exception {
        String interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
        try (FakeServer server = new FakeServer("s1", interim + Loopback.ok("first")); Loopback rig = new Loopback(server);
                Loopback.Client client = rig.client()) {
            assertEquals("200 first", client.send(Loopback.request("r1", "read")).readAnswer());
        }
    }

    @Test
    void unsafeRequestUsesANewConnectionAfterAReusedOneBroke() throws Exception {
        try (FakeServer server = new FakeServer("s1", Loopback.ok("first"), FakeServer.RESET, Loopback.ok("again"),
                    Loopback.ok("booked")); Loopback rig = new Loopback(server); Loopback.Client client = rig.client()) {
            assertEquals("200 first", client.send(Loopback.request("r1", "read")).readAnswer());
            // Long enough for the node to consider the connection reusable.
            Thread.sleep(100);
            assertEquals("200 again", client.send(Loopback.request("r2", "read")).readAnswer());
            assertEquals(2, server.connections.size(), "the first connection should be reused and reset");
            Thread.sleep(100);
            assertEquals("200 booked", client.send(Loopback.request("r3", "book", "Content-Length: 0")).readAnswer());
            assertEquals(3, server.connections.size());
        }
    }

    @Test
    void requestThatAServerRejectsAsInvalidIsNotRetried() throws Exception {
        try (FakeServer server = new FakeServer("s1", "HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n", Loopback.ok("no"));
                Loopback rig = new Loopback(server); Loopback.Client client = rig.client()) {
            assertEquals("503 ", client.send(Loopback.request("r1", "read")).readAnswer());
            assertEquals(1, server.requests.size());
        }
    }

    @Test
    void refusedRequestIsRetriedOnlyIfTheServerStatesThatItNeverRan() throws Exception {
        String never = "HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";
        String bare = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
        try (FakeServer server = new FakeServer("s1", never, bare); Loopback rig = new Loopback(server);
                Loopback.Client client = rig.client()) {
            assertEquals("502 ", client.send(Loopback.request("r1", "book", "Content-Length: 0")).readAnswer());
            assertTrue(server.nextRequest().contains("r1") && server.nextRequest().contains("r1"));
            assertEquals(0, server.requests.size());
        }
    }
}
