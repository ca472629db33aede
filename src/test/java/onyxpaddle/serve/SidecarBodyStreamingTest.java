package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;
import onyxpaddle.standin.StandInServer;
import org.junit.jupiter.api.Test;

/** A sidecar streams bodies that are larger than the amount it may buffer ({@code held}). */
class SidecarBodyStreamingTest {
    private static final int LENGTH = 12 << 20;

    private static String config(String held, StandInServer box) {
        return SidecarRig.simpleConfig("body: 64 MiB\nheld: " + held, box).replace("listeners:", "limits: {memory: 16 MiB}\nlisteners:");
    }

    @Test
    void concurrentLargeBodiesPassWithLittleMemory() throws Exception {
        byte[] body = new byte[LENGTH];
        try (StandInServer box = new StandInServer("box", 0); SidecarRig rig = new SidecarRig(config("64 KiB", box))) {
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                boolean chunked = i % 2 == 1;
                answers.add(rig.client.sendAsync(rig.request("/visits").header("X-Effect", "b" + i).POST(chunked
                    ? BodyPublishers.ofInputStream(() -> new ByteArrayInputStream(body)) : BodyPublishers.ofByteArray(body)).build(),
                    BodyHandlers.ofString()));
            }
            for (int i = 0; i < answers.size(); i++) {
                HttpResponse<String> answer = answers.get(i).get();
                assertEquals("200 box POST /visits " + LENGTH + " bytes\n", answer.statusCode() + " " + answer.body());
                assertEquals(1, box.runs("b" + i));
            }
        }
    }

    @Test
    void bodiesPassWithoutAnyBuffering() throws Exception {
        try (StandInServer box = new StandInServer("box", 0); SidecarRig rig = new SidecarRig(config("0 B", box))) {
            for (int length : new int[] {0, 1, 100, 70_000}) {
                assertEquals("box POST /visits " + length + " bytes\n", rig.post("/visits", "x".repeat(length)).body());
            }
        }
    }

    /** Guards against a further attempt that announces a body whose first part has gone to another server. */
    @Test
    void safeRequestIsNotSentAgainWithoutItsBody() throws Exception {
        try (FakeServer one = new FakeServer("one", FakeServer.RESET); FakeServer other = new FakeServer("other", FakeServer.RESET);
                StandInServer unused = new StandInServer("box", 0);
                SidecarRig rig = new SidecarRig(config("64 KiB", unused).replace(unused.hostPort(), one.address() + ", " + other.address())
                    .replace("methods: [GET, HEAD]", "methods: [POST]"))) {
            String body = "x".repeat(1_000_000);
            assertEquals(503, rig.post("/slots", body).statusCode());
            assertEquals(1, one.requests.size() + other.requests.size());
            String request = one.requests.isEmpty() ? other.nextRequest() : one.nextRequest();
            assertTrue(request.endsWith("\r\n\r\n" + body), "the server got another body");
        }
    }

    @Test
    void contentLengthAboveTheLimitIsRejectedAtTheHead() throws Exception {
        try (StandInServer box = new StandInServer("box", 0); SidecarRig rig = new SidecarRig(config("64 KiB", box));
                Client client = new Client(rig.node.address("in"))) {
            assertTrue(client.send("POST /visits HTTP/1.1\r\nHost: a\r\nContent-Length: 70000000\r\n\r\n").readAnswer().startsWith("413"));
            assertEquals(0, box.served());
        }
    }
}
