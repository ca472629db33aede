package onyxpaddle.measure;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/** Clients that stay for their answers and keep their connections: each sends a safe request at a fixed interval. */
final class SteadyLoad implements AutoCloseable {
    private static final int PER_SECOND_AND_CLIENT = 10;
    private static final int ANSWER_TIMEOUT_MS = 4_000;

    private final AtomicLong ended = new AtomicLong();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong unserved = new AtomicLong();
    private final AtomicLong broken = new AtomicLong();
    private final List<Thread> clients = new ArrayList<>();
    private volatile boolean over;

    /** Starts {@code perSecond} requests a second to {@code node}. */
    SteadyLoad(InetSocketAddress node, int perSecond) {
        for (int i = 0; i < perSecond / PER_SECOND_AND_CLIENT; i++) {
            String prefix = "steady" + i + "-";
            Thread client = new Thread(() -> ask(node, prefix), "steady-" + i);
            client.setDaemon(true);
            clients.add(client);
            client.start();
        }
    }

    private void ask(InetSocketAddress node, String prefix) {
        for (int number = 0; !over;) {
            try (Socket socket = new Socket()) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(ANSWER_TIMEOUT_MS);
                socket.connect(node);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                boolean open = true;
                while (open && !over) {
                    LockSupport.parkNanos(1_000_000_000L / PER_SECOND_AND_CLIENT);
                    open = askOnce(socket, in, prefix + number++);
                }
            } catch (IOException e) {
                ended.incrementAndGet();
                broken.incrementAndGet();
            }
        }
    }

    private boolean askOnce(Socket socket, InputStream in, String id) throws IOException {
        socket.getOutputStream().write(("GET /read HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + id + "\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII));
        String head = Load.head(in);
        in.readNBytes(Load.length(head));
        ended.incrementAndGet();
        (head.startsWith("HTTP/1.1 200") ? served : unserved).incrementAndGet();
        return !head.toLowerCase(java.util.Locale.ROOT).contains("connection: close");
    }

    /** Counts of requests so far: answered with 200, answered otherwise, and without an answer. */
    record Counts(long served, long unserved, long broken) {
    }

    Counts counts() {
        return new Counts(served.get(), unserved.get(), broken.get());
    }

    /** Number of requests that have been answered or have failed so far. */
    long ended() {
        return ended.get();
    }

    /** Number of requests answered with 200 so far. */
    long served() {
        return served.get();
    }

    @Override
    public void close() {
        over = true;
        for (Thread client : clients) {
            try {
                client.join(2 * ANSWER_TIMEOUT_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
