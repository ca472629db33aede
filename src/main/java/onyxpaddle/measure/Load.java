package onyxpaddle.measure;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** A closed loop of connections that ask the same again and again for a while, each with one request open. */
final class Load {
    private static final int PATIENCE_MS = 10_000;

    /** What came of it; round trips of the served in nanoseconds, sorted. */
    record Result(long[] trips, long others, long broken, double seconds) {
        double perSecond() {
            return trips.length / seconds;
        }

        /** In microseconds. */
        double quantile(double q) {
            return trips.length == 0 ? Double.NaN : trips[(int) Math.min(trips.length - 1, q * trips.length)] / 1e3;
        }

        double served() {
            long all = trips.length + others + broken;
            return all == 0 ? 0 : (double) trips.length / all;
        }
    }

    private static final class Worker extends Thread {
        private final InetSocketAddress to;
        private final byte[] request;
        private final long from;
        private final long until;
        private long[] trips = new long[1 << 12];
        private int count;
        private long others;
        private long broken;

        Worker(InetSocketAddress to, byte[] request, long from, long until) {
            this.to = to;
            this.request = request;
            this.from = from;
            this.until = until;
            setDaemon(true);
        }

        @Override
        public void run() {
            LockSupport.parkNanos(from - System.nanoTime());
            while (System.nanoTime() < until) {
                try (Socket socket = new Socket()) {
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(PATIENCE_MS);
                    socket.connect(to, PATIENCE_MS);
                    InputStream in = new BufferedInputStream(socket.getInputStream());
                    boolean open = true;
                    while (open && System.nanoTime() < until) {
                        open = ask(socket, in);
                    }
                } catch (IOException e) {
                    broken++;
                }
            }
        }

        private boolean ask(Socket socket, InputStream in) throws IOException {
            long start = System.nanoTime();
            socket.getOutputStream().write(request);
            String head = head(in);
            in.readNBytes(length(head));
            if (head.startsWith("HTTP/1.1 200")) {
                trips = count == trips.length ? Arrays.copyOf(trips, count * 2) : trips;
                trips[count++] = System.nanoTime() - start;
            } else {
                others++;
            }
            return !head.toLowerCase(java.util.Locale.ROOT).contains("connection: close");
        }
    }

    private Load() {
    }

    /** The head of an answer, read to its end. */
    static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder(256);
        int state = 0;
        while (state < 4) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("closed before an answer");
            }
            state = next == (state % 2 == 0 ? '\r' : '\n') ? state + 1 : next == '\r' ? 1 : 0;
            head.append((char) next);
        }
        return head.toString();
    }

    /** The length that a head states; 0 where it states none. */
    static int length(String head) {
        int at = head.toLowerCase(java.util.Locale.ROOT).indexOf("content-length:");
        return at < 0 ? 0 : Integer.parseInt(head.substring(at + 15, head.indexOf('\r', at)).trim());
    }

    /** The text of a request as it is asked again and again. */
    static byte[] get(String path, String... headers) {
        StringBuilder text = new StringBuilder("GET ").append(path).append(" HTTP/1.1\r\nHost: measured\r\n");
        for (String header : headers) {
            text.append(header).append("\r\n");
        }
        return text.append("\r\n").toString().getBytes(StandardCharsets.US_ASCII);
    }

    /** Asks over so many connections for so long. */
    static Result run(InetSocketAddress to, byte[] request, int connections, double seconds) throws InterruptedException {
        return run(to, request, connections, seconds, 0);
    }

    /** As the other; the connections start one after the other, over the first {@code spread} seconds. */
    static Result run(InetSocketAddress to, byte[] request, int connections, double seconds, double spread)
            throws InterruptedException {
        long start = System.nanoTime();
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < connections; i++) {
            long from = start + (long) (spread * 1e9 * i / connections);
            workers.add(new Worker(to, request, from, start + (long) (seconds * 1e9)));
        }
        workers.forEach(Thread::start);
        for (Worker worker : workers) {
            worker.join(TimeUnit.SECONDS.toMillis(60));
        }
        double took = (System.nanoTime() - start) / 1e9;
        long[] trips = workers.stream().flatMapToLong(w -> Arrays.stream(w.trips, 0, w.count)).sorted().toArray();
        return new Result(trips, workers.stream().mapToLong(w -> w.others).sum(),
            workers.stream().mapToLong(w -> w.broken).sum(), took);
    }
}
