package onyxpaddle.measure;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Sound requests at a steady rate, each on a connection of its own, and what became of them. */
final class LookUps {
    /** The deadline of their class, half a second in which an answer only earns nothing, and 0.1 s of slack. */
    private static final int LATEST_ANSWER_MS = 3_600;
    private static final double AIM_MS = 500;
    private static final int THREADS = 200;

    /**
     * What became of them.
     *
     * @param lost had no answer in time, or a close without an answer
     * @param late were answered, but not within their class's aim
     */
    record Outcome(int served, int refused, int lost, int late, double longestMs) {
    }

    private record Answer(String statusLine, double millis) {
    }

    private final InetSocketAddress node;

    LookUps(InetSocketAddress node) {
        this.node = node;
    }

    /** Sends {@code count} requests, {@code perSecond} each second. */
    Outcome run(String prefix, int count, int perSecond) throws Exception {
        ScheduledExecutorService threads = Executors.newScheduledThreadPool(Math.min(count, THREADS));
        try {
            List<Future<Answer>> answers = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                String id = prefix + i;
                answers.add(threads.schedule(() -> ask(id), TimeUnit.SECONDS.toMicros(i) / perSecond, TimeUnit.MICROSECONDS));
            }
            return outcome(answers);
        } finally {
            threads.shutdownNow();
        }
    }

    private static Outcome outcome(List<Future<Answer>> answers) throws Exception {
        int served = 0;
        int refused = 0;
        int late = 0;
        double longest = 0;
        for (Future<Answer> future : answers) {
            Answer answer = future.get();
            served += answer.statusLine().startsWith("HTTP/1.1 200") ? 1 : 0;
            refused += answer.statusLine().startsWith("HTTP/1.1 503") ? 1 : 0;
            late += !answer.statusLine().isEmpty() && answer.millis() > AIM_MS ? 1 : 0;
            longest = Math.max(longest, answer.millis());
        }
        return new Outcome(served, refused, answers.size() - served - refused, late, longest);
    }

    private Answer ask(String id) {
        long from = System.nanoTime();
        String statusLine = "";
        try (Socket socket = new Socket()) {
            socket.connect(node, LATEST_ANSWER_MS);
            socket.setSoTimeout(LATEST_ANSWER_MS);
            socket.getOutputStream().write(("GET /read HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + id + "\r\nX-Qos: read\r\n"
                + "Connection: close\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            statusLine = new String(socket.getInputStream().readNBytes("HTTP/1.1 200".length()), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            // No answer.
        }
        return new Answer(statusLine, (System.nanoTime() - from) / 1e6);
    }
}
