package onyxpaddle.serve;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Measures how much of a delay is the trial's own: how long this process is held up, and how long one of its servers takes from a
 * client's connect until it has read the first byte, while it judges a node. A machine that is short of processor time shows in both.
 */
final class TrialDelay implements AutoCloseable {
    private static final long STEP_MS = 5;
    private static final long SHORTEST = TimeUnit.MILLISECONDS.toNanos(5);

    private record Delay(long from, long until) {
        long within(long start, long end) {
            return Math.max(0, Math.min(until, end) - Math.max(from, start));
        }
    }

    private final List<Delay> pauses = new ArrayList<>();
    private final List<Delay> reads = new ArrayList<>();
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    private volatile boolean closed;

    TrialDelay() throws IOException {
        Loopback.Peer.daemon(this::watch);
        Loopback.Peer.daemon(this::accept);
    }

    private void watch() throws Exception {
        while (!closed) {
            long before = System.nanoTime();
            try (Socket socket = new Socket(listener.getInetAddress(), listener.getLocalPort())) {
                new DataOutputStream(socket.getOutputStream()).writeLong(before);
            }
            TimeUnit.MILLISECONDS.sleep(STEP_MS);
            record(pauses, before + TimeUnit.MILLISECONDS.toNanos(STEP_MS));
        }
    }

    private void accept() throws IOException {
        while (!closed) {
            Socket socket = listener.accept();
            Loopback.Peer.daemon(() -> {
                try (socket) {
                    record(reads, new DataInputStream(socket.getInputStream()).readLong());
                }
            });
        }
    }

    private static void record(List<Delay> delays, long from) {
        long now = System.nanoTime();
        if (now - from > SHORTEST) {
            synchronized (delays) {
                delays.add(new Delay(from, now));
            }
        }
    }

    /** How much of the span was, or may have been, the trial's own delay. */
    long within(long from, long until) {
        long paused;
        synchronized (pauses) {
            paused = pauses.stream().mapToLong(pause -> pause.within(from, until)).sum();
        }
        synchronized (reads) {
            return paused + reads.stream().mapToLong(read -> read.within(from, until)).max().orElse(0);
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
    }
}
