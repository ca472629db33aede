package onyxpaddle.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import onyxpaddle.drill.ServeProcess;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A process that stands still as it is told to end, before servers that hang: it hears SIGTERM when it goes on, and SIGKILL counts from
 * when it was sent. What it takes has its answer before that.
 */
class StoppedEndIT {
    private static final int REQUESTS = 50;
    private static final int BUSY_CLIENTS = 4;
    private static final long EVERY_MS = 40;
    private static final long STOPPED_MS = 600;
    /** The longest deadline of the rig's classes, 3 s, and 0.7 s. */
    private static final long SIGKILL_MS = 3_700;
    /** What came sooner after SIGTERM may be left to SIGKILL, by the platform's protocol. */
    private static final long COUNTS_FROM_MS = 700;
    /** An idle connection that is closed under a request that crosses it ends at once; its caller asks elsewhere. */
    private static final long CROSSED_MS = 100;

    /** Whether a request was answered, was not taken as its connection had gone, or ended with nothing. */
    private enum Fate { ANSWERED, NOT_TAKEN, LOST }

    /** {@code busy}: other clients keep its event loop turning, so that many short turns lie between the stop and the signal's handling. */
    @ParameterizedTest(name = "busy {0}")
    @ValueSource(booleans = {false, true})
    void takesNothingThatSigkillWouldFind(boolean busy) throws Exception {
        ExecutorService threads = Executors.newCachedThreadPool();
        try (PlatformRig rig = new PlatformRig(3)) {
            rig.servers.forEach(s -> s.silent(true));
            ServeProcess node = rig.start(false);
            List<Socket> open = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                open.add(new Socket(rig.listen.getAddress(), rig.listen.getPort()));
                assertTrue(answer(open.get(i), "GET /ready HTTP/1.1\r\n\r\n").startsWith("HTTP/1.1 200"));
            }
            AtomicBoolean over = new AtomicBoolean();
            for (int i = 0; busy && i < BUSY_CLIENTS; i++) {
                threads.execute(() -> askUntil(over, rig.listen));
            }
            node.signal("STOP");
            long told = System.nanoTime();
            node.signal("TERM");
            // The fault itself, and no wait for something.
            TimeUnit.MILLISECONDS.sleep(STOPPED_MS);
            node.signal("CONT");
            List<CompletableFuture<Fate>> counted = new ArrayList<>();
            for (Socket client : open) {
                boolean counts = since(told) > COUNTS_FROM_MS;
                String id = "r" + counted.size() + client.getLocalPort();
                CompletableFuture<Fate> fate = CompletableFuture.supplyAsync(() -> fate(client, id), threads);
                if (counts) {
                    counted.add(fate);
                }
                TimeUnit.MILLISECONDS.sleep(EVERY_MS);
            }
            over.set(true);
            node.process().waitFor(Math.max(0, SIGKILL_MS - since(told)), TimeUnit.MILLISECONDS);
            node.process().destroyForcibly().waitFor();
            int answered = 0;
            for (CompletableFuture<Fate> one : counted) {
                Fate fate = one.get();
                assertTrue(fate != Fate.LOST, node.log());
                answered += fate == Fate.ANSWERED ? 1 : 0;
            }
            assertTrue(answered > 0, "it was still there to be asked");
            for (Socket client : open) {
                client.close();
            }
        } finally {
            threads.shutdownNow();
        }
    }

    private static void askUntil(AtomicBoolean over, InetSocketAddress node) {
        while (!over.get()) {
            try (Socket client = new Socket(node.getAddress(), node.getPort())) {
                while (!over.get() && !answer(client, "GET /ready HTTP/1.1\r\n\r\n").isEmpty()) {
                    Thread.onSpinWait();
                }
            } catch (IOException e) {
                return;
            }
        }
    }

    private static long since(long start) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    }

    private static Fate fate(Socket client, String id) {
        long sent = System.nanoTime();
        String answer = answer(client, "POST /book HTTP/1.1\r\nX-Trace-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
        if (!answer.isEmpty()) {
            assertEquals('5', answer.charAt("HTTP/1.1 ".length()), answer);
            return Fate.ANSWERED;
        }
        return since(sent) > CROSSED_MS ? Fate.LOST : Fate.NOT_TAKEN;
    }

    /** The head of the answer; empty where the connection ends without one. */
    private static String answer(Socket client, String request) {
        StringBuilder head = new StringBuilder();
        try {
            client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = client.getInputStream().read();
                if (next < 0) {
                    return "";
                }
                head.append((char) next);
            }
            return head.toString();
        } catch (IOException e) {
            return "";
        }
    }
}
