package onyxpaddle.measure;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import onyxpaddle.drill.ServeProcess;
import onyxpaddle.measure.Load.Result;
import onyxpaddle.measure.Measure.Measurement;
import onyxpaddle.standin.StandInServer;

/**
 * Answers of 32 MB, many at once and read at a pace, and bodies of 4 MB beside small requests, through one platform node in
 * the memory that it has in use. Reports the node's memory, the time to a long answer's first byte, and the p99 of the small
 * requests beside it against that alone, in turn.
 */
final class BulkMeasurement implements Measurement {
    private static final int READERS = 16;
    private static final int SENDERS = 4;
    private static final int LONG = 32 << 20;
    private static final int SENT = 4 << 20;
    /** Bytes a second that each reader takes and each sender gives. */
    private static final double PACE = 2 << 20;
    private static final int SMALL = 4;
    private static final double SECONDS = 3;
    private static final int ROUNDS = 3;

    @Override
    public void run(Figures figures, double part) throws Exception {
        try (PlatformRig rig = new PlatformRig(4)) {
            for (StandInServer server : rig.servers) {
                server.delay(5, 10);
            }
            ServeProcess node = rig.start(true);
            byte[] ask = "GET /read HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: small\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
            Load.run(rig.listen, ask, 1, 2 * part);
            List<Double> ratios = new ArrayList<>();
            List<Long> firsts = Collections.synchronizedList(new ArrayList<>());
            AtomicLong broken = new AtomicLong();
            AtomicLong bytes = new AtomicLong();
            AtomicLong sent = new AtomicLong();
            for (int round = 0; round < ROUNDS; round++) {
                Result alone = smallLoad(rig.listen, part);
                Bulk bulk = new Bulk(rig.listen, firsts, broken, bytes, sent, round);
                bulk.start();
                Result beside = smallLoad(rig.listen, part);
                bulk.stop();
                ratios.add(beside.quantile(0.99) / alone.quantile(0.99));
                System.out.printf("round %d: small p99 alone %.0f us, beside %.0f us; served %.4f and %.4f%n", round + 1,
                    alone.quantile(0.99), beside.quantile(0.99), alone.served(), beside.served());
            }
            long[] sorted = firsts.stream().mapToLong(Long::longValue).sorted().toArray();
            figures.put("long answers begun", sorted.length, "");
            figures.put("passed on", bytes.get() / 1e6, "MB");
            figures.put("bodies of 4 MB answered", sent.get(), "");
            figures.hold("long answers or bodies broken", broken.get(), "", 0, 0);
            figures.hold("first byte, median", sorted[sorted.length / 2] / 1e6, "ms", 0, 100);
            figures.hold("first byte, p99", sorted[(int) (sorted.length * 0.99)] / 1e6, "ms", 0, 1_000);
            figures.hold("memory (resident), highest", node.peakResidentMiB(), "MiB", 0, 128);
            figures.hold("p99 of small beside bulk / alone, median", Figures.median(ratios), "", 0, 1.1);
        }
    }

    private static Result smallLoad(InetSocketAddress node, double part) throws InterruptedException {
        // One id for each connection: a second request of an id that is open would be turned away.
        List<Result> results = Collections.synchronizedList(new ArrayList<>());
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < SMALL; i++) {
            byte[] ask = ("GET /read HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: small" + i + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
            Thread thread = new Thread(() -> {
                try {
                    results.add(Load.run(node, ask, 1, SECONDS * part));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        long[] trips = results.stream().flatMapToLong(r -> java.util.Arrays.stream(r.trips())).sorted().toArray();
        return new Result(trips, results.stream().mapToLong(Result::others).sum(),
            results.stream().mapToLong(Result::broken).sum(), SECONDS * part);
    }

    /** Readers and senders at a pace, until they are stopped. */
    private static final class Bulk {
        private final InetSocketAddress node;
        private final List<Long> firsts;
        private final AtomicLong broken;
        private final AtomicLong bytes;
        private final AtomicLong sent;
        private final int round;
        private final List<Thread> threads = new ArrayList<>();
        private volatile boolean over;

        Bulk(InetSocketAddress node, List<Long> firsts, AtomicLong broken, AtomicLong bytes, AtomicLong sent, int round) {
            this.node = node;
            this.firsts = firsts;
            this.broken = broken;
            this.bytes = bytes;
            this.sent = sent;
            this.round = round;
        }

        void start() {
            for (int i = 0; i < READERS + SENDERS; i++) {
                int number = i;
                Thread thread = new Thread(() -> {
                    for (int n = 0; !over; n++) {
                        try {
                            String id = round + "-" + number + "-" + n;
                            if (number < READERS) {
                                read(id);
                            } else {
                                send(id);
                            }
                        } catch (IOException e) {
                            if (!over) {
                                broken.incrementAndGet();
                            }
                        }
                    }
                });
                threads.add(thread);
                thread.start();
            }
        }

        private void read(String id) throws IOException {
            try (Socket socket = new Socket(node.getAddress(), node.getPort())) {
                InputStream in = new BufferedInputStream(socket.getInputStream(), 1);
                long start = System.nanoTime();
                socket.getOutputStream().write(("GET /read HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: l" + id + "\r\nX-Answer-Bytes: " + LONG
                    + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                String head = Load.head(in);
                if (!head.startsWith("HTTP/1.1 200")) {
                    LockSupport.parkNanos(50_000_000L);
                    return;
                }
                in.read();
                firsts.add(System.nanoTime() - start);
                byte[] part = new byte[64 * 1024];
                for (long got = 1; got < LONG && !over;) {
                    int count = socket.getInputStream().read(part);
                    if (count < 0) {
                        throw new IOException("broken off");
                    }
                    got += count;
                    bytes.addAndGet(count);
                    LockSupport.parkNanos((long) (count / PACE * 1e9));
                }
            }
        }

        private void send(String id) throws IOException {
            try (Socket socket = new Socket(node.getAddress(), node.getPort())) {
                socket.getOutputStream().write(("POST /book HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: b" + id + "\r\nContent-Length: " + SENT
                    + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                byte[] part = new byte[64 * 1024];
                for (long at = 0; at < SENT && !over; at += part.length) {
                    socket.getOutputStream().write(part);
                    bytes.addAndGet(part.length);
                    LockSupport.parkNanos((long) (part.length / PACE * 1e9));
                }
                if (!over && Load.head(socket.getInputStream()).startsWith("HTTP/1.1 200")) {
                    sent.incrementAndGet();
                }
            }
        }

        void stop() throws InterruptedException {
            over = true;
            for (Thread thread : threads) {
                thread.join(TimeUnit.SECONDS.toMillis(10));
            }
        }
    }
}
