package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;
import onyxpaddle.standin.StandInServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Ordinary HTTP through a sidecar: statuses, headers and bodies of the application pass unchanged, apart from hop-by-hop headers. */
class PlainHttpTest {
    private static String config(FakeServer server) {
        return SidecarRig.simpleConfig("attempts: 2").replace("servers: []", "servers: [\"" + server.address() + "\"]");
    }

    @Test
    void clientWithoutPlatformHeadersIsServed() throws Exception {
        try (StandInServer app = new StandInServer("app", 0); SidecarRig rig = new SidecarRig(SidecarRig.simpleConfig("", app))) {
            HttpResponse<String> answer = rig.get("/slots?day=3");
            assertEquals(200, answer.statusCode());
            assertEquals("app GET /slots?day=3 0 bytes\n", answer.body());
            assertEquals("app", answer.headers().firstValue("X-Stand-In").orElse(""));
            assertTrue(answer.headers().firstValue("X-Answered-By").isEmpty());
            assertEquals("app POST /visits 5 bytes\n", rig.post("/visits", "hello").body());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 201, 204, 301, 304, 400, 404, 409, 422, 429, 500, 501, 503})
    void everyStatusOfTheApplicationIsPassedOn(int status) throws Exception {
        try (StandInServer app = new StandInServer("app", 0); SidecarRig rig = new SidecarRig(SidecarRig.simpleConfig("", app))) {
            for (int i = 0; i < 2; i++) {
                HttpResponse<String> answer = rig.post("/visits", "x", "X-Answer-Status", Integer.toString(status),
                    "X-Effect", "visit-" + i);
                assertEquals(status, answer.statusCode());
                assertEquals("app", answer.headers().firstValue("X-Stand-In").orElse(""));
                assertEquals(1, app.runs("visit-" + i), "an unsafe request ran twice");
            }
        }
    }

    @Test
    void safeRequestIsRetriedOnServerErrorAndNotOnClientError() throws Exception {
        try (StandInServer app = new StandInServer("app", 0); SidecarRig rig = new SidecarRig(SidecarRig.simpleConfig("", app))) {
            assertEquals(500, rig.get("/slots", "X-Answer-Status", "500", "X-Effect", "look").statusCode());
            assertEquals(3, app.runs("look"));
            assertEquals(404, rig.get("/slots", "X-Answer-Status", "404", "X-Effect", "other").statusCode());
            assertEquals(1, app.runs("other"));
        }
    }

    @Test
    void headAnswerHasNoBodyAndKeepsItsContentLength() throws Exception {
        try (StandInServer app = new StandInServer("app", 0); SidecarRig rig = new SidecarRig(SidecarRig.simpleConfig("", app));
                Client raw = new Client(rig.node.address("in"))) {
            raw.send("HEAD /slots HTTP/1.1\r\nHost: a\r\nX-Answer-Bytes: 700\r\n\r\n");
            String head = Loopback.head(raw.socket.getInputStream());
            assertTrue(head.startsWith("HTTP/1.1 200") && head.toLowerCase().contains("content-length: 700"), head);
            // The next answer follows directly: no byte of a body is in between.
            raw.send("HEAD /slots HTTP/1.1\r\nHost: a\r\n\r\n");
            assertTrue(Loopback.head(raw.socket.getInputStream()).startsWith("HTTP/1.1 200"));
            raw.send("HEAD /nowhere HTTP/1.1\r\nHost: a\r\n\r\n");
            assertTrue(Loopback.head(raw.socket.getInputStream()).startsWith("HTTP/1.1 404"));
            assertEquals(-1, raw.socket.getInputStream().read());
        }
    }

    @Test
    void hopByHopHeadersAreDroppedAndOthersPassBothWays() throws Exception {
        try (FakeServer app = new FakeServer("s1", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: X-Hop\r\n"
                    + "X-Hop: 1\r\nKeep-Alive: timeout=9\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n\r\nhi");
                SidecarRig rig = new SidecarRig(config(app)); Client raw = new Client(rig.node.address("in"))) {
            raw.send("GET /slots HTTP/1.1\r\nHost: clinic.example\r\nConnection: X-Mine\r\nX-Mine: 1\r\nTE: trailers\r\n"
                + "Upgrade: h2c\r\nCookie: k=1\r\nX-Forwarded-For: 10.9.9.9\r\n\r\n");
            String answerHead = Loopback.head(raw.socket.getInputStream());
            String requestHead = app.nextRequest();
            assertTrue(requestHead.contains("Host: clinic.example\r\n") && requestHead.contains("Cookie: k=1\r\n"), requestHead);
            assertTrue(requestHead.toLowerCase().contains("via: 1.1 rig\r\n"), requestHead);
            assertTrue(requestHead.contains("X-Forwarded-For: 10.9.9.9, 127.0.0.1\r\n"), requestHead);
            assertFalse(requestHead.contains("X-Mine") || requestHead.contains("TE:") || requestHead.contains("Upgrade"), requestHead);
            assertTrue(answerHead.contains("Set-Cookie: a=1\r\n") && answerHead.contains("Set-Cookie: b=2\r\n"), answerHead);
            assertFalse(answerHead.contains("X-Hop") || answerHead.contains("Keep-Alive"), answerHead);
        }
    }

    @Test
    void bodiesUpToTheLimitPassBothWaysAndLargerOnesAreRejected() throws Exception {
        try (StandInServer app = new StandInServer("app", 0); SidecarRig rig = new SidecarRig(SidecarRig.simpleConfig("", app))) {
            assertEquals("app POST /visits 800000 bytes\n", rig.post("/visits", "x".repeat(800_000)).body());
            assertEquals(900_000, rig.get("/slots", "X-Answer-Bytes", "900000").body().length());
            try (Client raw = new Client(rig.node.address("in"))) {
                raw.send("POST /visits HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1100000\r\n\r\n");
                assertTrue(raw.readAnswer().startsWith("413 lupinmount: "));
            }
            assertEquals(502, rig.post("/visits", "x", "X-Answer-Bytes", "1100000").statusCode());
        }
    }

    @Test
    void answerDelimitedByCloseIsAcceptedUnlessTheConnectionIsReset() throws Exception {
        class Closing extends FakeServer {
            private final boolean reset;

            Closing(boolean reset) throws java.io.IOException {
                super("s1");
                this.reset = reset;
            }

            @Override
            void serve(java.net.Socket socket) throws Exception {
                Loopback.head(socket.getInputStream());
                socket.getOutputStream().write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it".getBytes());
                if (reset) {
                    // The node has to read the bytes before the reset, which discards what is still unread.
                    Thread.sleep(200);
                    socket.setSoLinger(true, 0);
                }
            }
        }
        try (Closing app = new Closing(false); SidecarRig rig = new SidecarRig(config(app))) {
            HttpResponse<String> answer = rig.post("/visits", "");
            assertEquals("200 all of it", answer.statusCode() + " " + answer.body());
        }
        try (Closing app = new Closing(true); SidecarRig rig = new SidecarRig(config(app))) {
            assertEquals(502, rig.post("/visits", "").statusCode());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n404",
        "POST /slots HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n404",
        "GET /slotsx HTTP/1.1\r\nHost: a\r\n\r\n404",
        "GET /slots/../visits HTTP/1.1\r\nHost: a\r\n\r\n400",
        "GET /slots/%2e%2E/visits HTTP/1.1\r\nHost: a\r\n\r\n400",
        "GET /slots HTTP/1.1\r\n\r\n400",
        "GET /slots HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n400",
        "GET /slots HTTP/1.1\r\nHost: a\r\nX-Expires-In: soon\r\n\r\n400",
        "CONNECT a:443 HTTP/1.1\r\nHost: a:443\r\n\r\n501",
        "TRACE /slots HTTP/1.1\r\nHost: a\r\n\r\n501",
    })
    void unroutedOrInvalidRequestIsAnsweredByTheNodeAndReachesNoServer(String text) throws Exception {
        try (StandInServer app = new StandInServer("app", 0); SidecarRig rig = new SidecarRig(SidecarRig.simpleConfig("", app));
                Client raw = new Client(rig.node.address("in"))) {
            String answer = raw.send(text.substring(0, text.length() - 3)).readAnswer();
            assertEquals(text.substring(text.length() - 3), answer.substring(0, 3));
            assertTrue(answer.contains("lupinmount: "), answer);
            assertNull(raw.readAnswer());
            assertEquals(0, app.served());
        }
    }

    @Test
    void requestInAbsoluteFormIsRouted() throws Exception {
        try (StandInServer app = new StandInServer("app", 0); SidecarRig rig = new SidecarRig(SidecarRig.simpleConfig("", app));
                Client raw = new Client(rig.node.address("in"))) {
            raw.send("GET http://records.svc:80/slots/4 HTTP/1.1\r\nHost: a\r\n\r\n");
            assertEquals("200 app GET /slots/4 0 bytes\n", raw.readAnswer());
        }
    }

    @Test
    void requestBeyondTheInFlightLimitIsRefusedWithoutQueueing() throws Exception {
        try (StandInServer app = new StandInServer("app", 0).silent(true);
                SidecarRig rig = new SidecarRig(SidecarRig.simpleConfig("in-flight: 1", app));
                Client blocked = new Client(rig.node.address("in"))) {
            blocked.send("GET /slots HTTP/1.1\r\nHost: a\r\n\r\n");
            while (app.served() == 0) {
                Thread.onSpinWait();
            }
            HttpResponse<String> refused = rig.get("/slots");
            assertEquals(503, refused.statusCode());
            assertEquals("1", refused.headers().firstValue("Retry-After").orElse(""));
            assertEquals(1, app.served());
        }
    }

    @Test
    void restartedApplicationIsReachedAgain() throws Exception {
        StandInServer first = new StandInServer("first", 0);
        try (SidecarRig rig = new SidecarRig(SidecarRig.simpleConfig("", first))) {
            assertEquals(200, rig.post("/visits", "x").statusCode());
            int port = first.address().getPort();
            first.close();
            HttpResponse<String> down = rig.post("/visits", "x");
            assertEquals(503, down.statusCode());
            assertEquals("1", down.headers().firstValue("Retry-After").orElse(""));
            try (StandInServer second = new StandInServer("second", port)) {
                assertEquals("second POST /visits 1 bytes\n", rig.post("/visits", "x").body());
                assertEquals(1, second.served());
            }
        }
    }
}
