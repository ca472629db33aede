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
 * A discovery service that handles its calls, on whichever connection they arrive, one after another by a script. Once the script is
 * exhausted, it leaves watches open and repeats the last list to calls that do not wait for changes: the caller may have cancelled the call
 * that received that list.
 */
final class ScriptedDiscovery extends Loopback.Peer {
    /** How one call is handled. */
    sealed interface Step {
    }

    /** Answers with this list. */
    record SendList(String list) implements Step {
    }

    /** Sends no answer and leaves the connection open. */
    record WithholdAnswer() implements Step {
    }

    /** Closes the connection without an answer. */
    record CloseConnection() implements Step {
    }

    final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
    private final BlockingQueue<Step> script = new LinkedBlockingQueue<>();
    private volatile SendList lastList;
    private final CountDownLatch closed = new CountDownLatch(1);

    ScriptedDiscovery(Step... steps) throws IOException {
        append(steps);
    }

    ScriptedDiscovery append(Step... steps) {
        script.addAll(List.of(steps));
        return this;
    }

    /** An incremental list that changes the health of one server. */
    static Step change(int version, FakeServer server, String health) {
        return new SendList(Loopback.list(version, server).replace("\"whole\":true", "\"whole\":false")
            .replace("\"health\":\"ready\"", "\"health\":\"" + health + "\""));
    }

    /** Starts a node that uses this discovery and is configured with these servers, and waits until it is ready. */
    Node startNode(FakeServer... known) throws Exception {
        try (FakeDiscovery placeholder = new FakeDiscovery("")) {
            Node node = Node.start(PlatformConfig.parse(Loopback.config(placeholder, known).getBytes(StandardCharsets.UTF_8),
                Map.of("GW_DISCOVERY", address())));
            try (Loopback.Client client = new Loopback.Client(node.address())) {
                client.awaitReady();
            }
            return node;
        }
    }

    /** Waits for a call that asks for the changes after this version, which shows that the node has applied this version. */
    void awaitCallAfter(int version) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Loopback.TIMEOUT_MS);
        String call;
        do {
            call = calls.poll(end - System.nanoTime(), TimeUnit.NANOSECONDS);
            if (call == null || System.nanoTime() > end) {
                throw new AssertionError("the node has not applied version " + version + " of the list");
            }
        } while (!call.contains("?after=" + version + "&"));
    }

    /** Waits for a watch to be open, and forgets the calls so far. */
    void awaitWatch() throws InterruptedException {
        for (String call = ""; !call.contains("wait_ms=2000"); ) {
            call = calls.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            if (call == null) {
                throw new AssertionError("the node opens no watch");
            }
        }
        calls.clear();
    }

    @Override
    void serve(Socket socket) throws Exception {
        for (String head = Loopback.head(socket.getInputStream()); head != null; head = Loopback.head(socket.getInputStream())) {
            calls.add(head.split("\r\n")[0]);
            boolean isWatch = head.contains("wait_ms=") && !head.contains("wait_ms=0 ");
            Step repeated = isWatch ? null : lastList;
            Step next = repeated == null ? script.take() : script.poll();
            Step step = next == null ? repeated : next;
            if (step instanceof SendList answer) {
                lastList = answer;
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
