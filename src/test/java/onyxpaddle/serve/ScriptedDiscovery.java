package onyxpaddle.serve;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import onyxpaddle.serve.Loopback.FakeDiscovery;
import onyxpaddle.serve.Loopback.FakeServer;

/**
 * Discovery that deals with one call after another, on whichever connection it comes, as its script says. After that it lets watches
 * wait, and tells a call that waits for no news what it told last: the caller may have given up the call that had it.
 */
final class ScriptedDiscovery extends Loopback.Peer {
    /** What it does with a call. */
    sealed interface Step {
    }

    /** Answers with this list. */
    record SendList(String list) implements Step {
    }

    /** Says nothing, and leaves the connection open. */
    record WithholdAnswer() implements Step {
    }

    /** Ends the connection with no answer. */
    record CloseConnection() implements Step {
    }

    final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
    private final BlockingQueue<Step> script = new LinkedBlockingQueue<>();
    private volatile SendList last;
    private final CountDownLatch closed = new CountDownLatch(1);

    ScriptedDiscovery(Step... steps) throws IOException {
        append(steps);
    }

    ScriptedDiscovery append(Step... steps) {
        script.addAll(List.of(steps));
        return this;
    }

    /** One server among changes. */
    static Step change(int version, FakeServer server, String health) {
        return new SendList(Loopback.list(version, server).replace("\"whole\":true", "\"whole\":false")
            .replace("\"health\":\"ready\"", "\"health\":\"" + health + "\""));
    }

    /** A ready node that this is the discovery of, and that knows these servers. */
    Node startNode(FakeServer... known) throws Exception {
        try (FakeDiscovery other = new FakeDiscovery("")) {
            Node node = Node.start(PlatformConfig.parse(Loopback.config(other, known).getBytes(StandardCharsets.UTF_8),
                Map.of("GW_DISCOVERY", address())));
            try (Loopback.Client client = new Loopback.Client(node.address())) {
                client.awaitReady();
            }
            return node;
        }
    }

    /** Waits for a call that asks for what came after this version: what it told of this version is in force then. */
    void awaitCallAfter(int version) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Loopback.TIMEOUT_MS);
        String call;
        do {
            call = calls.poll(end - System.nanoTime(), TimeUnit.NANOSECONDS);
            if (call == null || System.nanoTime() > end) {
                throw new AssertionError("version " + version + " is never in force");
            }
        } while (!call.contains("?after=" + version + "&"));
    }

    @Override
    void serve(Socket socket) throws Exception {
        for (String head = Loopback.head(socket.getInputStream()); head != null; head = Loopback.head(socket.getInputStream())) {
            calls.add(head.split("\r\n")[0]);
            boolean watches = head.contains("wait_ms=") && !head.contains("wait_ms=0 ");
            Step again = watches ? null : last;
            Step next = again == null ? script.take() : script.poll();
            Step step = next == null ? again : next;
            if (step instanceof SendList answer) {
                last = answer;
                socket.getOutputStream().write(Loopback.ok(answer.list()).getBytes(StandardCharsets.UTF_8));
            } else if (step instanceof WithholdAnswer) {
                closed.await();
            } else {
                return;
            }
        }
    }

    @Override
    public void close() throws IOException {
        closed.countDown();
        super.close();
    }
}
