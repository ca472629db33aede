package onyxpaddle.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import onyxpaddle.drill.ServeProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** An unsafe request that comes again under its id after its client has left, while one process of a node replaces another. */
class RepeatedIdIT {
    private static final int SERVERS = 3;
    private static final int IDS = 30;
    private static final int ANSWER_DELAY_MS = 300;
    private static final int TIMEOUT_MS = 5_000;
    private static final int END_S = 6;

    private PlatformRig rig;
    private ServeProcess first;

    @BeforeEach
    void start() throws Exception {
        rig = new PlatformRig(SERVERS);
        first = rig.start(true);
    }

    @AfterEach
    void stop() throws Exception {
        rig.close();
    }

    private Socket send(String id, int delayMs) throws IOException {
        Socket socket = new Socket(rig.listen.getAddress(), rig.listen.getPort());
        socket.setSoTimeout(TIMEOUT_MS);
        socket.getOutputStream().write(("POST /book HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + id + "\r\nX-Qos: book\r\nX-Effect: " + id
            + "\r\nX-Answer-Delay: " + delayMs + "\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    /** Sends one request under each id, whose client leaves as soon as it runs. */
    private void sendAndLeave(String prefix) throws Exception {
        for (int i = 0; i < IDS; i++) {
            Socket client = send(prefix + i, ANSWER_DELAY_MS);
            awaitRun(prefix + i);
            client.close();
        }
    }

    private void awaitRun(String id) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!runs().containsKey(id)) {
            assertTrue(System.nanoTime() < end, "a request does not run");
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    /** Sends each id again, and returns how often each status was answered. */
    private Map<String, Integer> sendAgain(String prefix) throws IOException {
        Map<String, Integer> answers = new TreeMap<>();
        for (int i = 0; i < IDS; i++) {
            try (Socket client = send(prefix + i, 0)) {
                String status = new String(client.getInputStream().readNBytes("HTTP/1.1 200".length()), StandardCharsets.US_ASCII);
                answers.merge(status, 1, Integer::sum);
            }
        }
        return answers;
    }

    private Map<String, Integer> runs() {
        Map<String, Integer> runs = new TreeMap<>();
        rig.servers.forEach(server -> server.allRuns().forEach((id, count) -> runs.merge(id, count.get(), Integer::sum)));
        return runs;
    }

    /** The ids that ran more than once. */
    private List<String> repeated() {
        return runs().entrySet().stream().filter(run -> run.getValue() > 1).map(Map.Entry::getKey).toList();
    }

    /** Guards against an id that ran in one process and runs again in the process that replaces it. */
    @Test
    void idThatRanInTheFirstProcessDoesNotRunAgainInTheNext() throws Exception {
        sendAndLeave("before-");
        rig.start(true);
        first.process().destroy();
        first.process().waitFor(END_S, TimeUnit.SECONDS);
        Map<String, Integer> answers = sendAgain("before-");
        assertEquals(List.of(), repeated(), answers::toString);
    }

    /** Guards against an id that runs in each of two processes, whichever has it first. */
    @Test
    void idThatRunsInOneOfTwoProcessesDoesNotRunInTheOther() throws Exception {
        rig.start(true);
        sendAndLeave("beside-");
        Map<String, Integer> answers = sendAgain("beside-");
        assertEquals(List.of(), repeated(), answers::toString);
    }

    /** Guards against ids that are refused for no reason: what a server certainly did not run may come again. */
    @Test
    void idThatNeverRanMayComeAgainAtEitherProcess() throws Exception {
        rig.start(true);
        rig.servers.forEach(server -> server.refuses(true));
        sendAgain("refused-");
        rig.servers.forEach(server -> server.refuses(false));
        Map<String, Integer> answers = sendAgain("refused-");
        assertFalse(answers.containsKey("HTTP/1.1 502"), answers::toString);
        assertEquals(List.of(), repeated());
    }
}
