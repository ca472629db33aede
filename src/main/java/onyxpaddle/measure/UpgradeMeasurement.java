package onyxpaddle.measure;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import onyxpaddle.measure.Measure.Measurement;
import onyxpaddle.measure.PlatformRig.Running;
import onyxpaddle.standin.StandInServer;

/**
 * The process of a platform node is replaced again and again under load: a second one starts beside it, and once that is
 * ready the first gets SIGTERM, and SIGKILL 3.7 s later. Counts what clients were turned back unheard, what was lost, what
 * ran twice, and how much of the load met a slow server just after, with and without what the first process knew.
 */
final class UpgradeMeasurement implements Measurement {
    private static final int CLIENTS = 24;
    private static final int REPLACEMENTS = 10;
    private static final long KILL_MS = 3_700;
    private static final int SLOW_MS = 200;
    private static final int FAST_MS = 10;
    private static final long LOOK_MS = 1_000;
    /** A client opens a new connection after so many requests, as new ones come all the time. */
    private static final int PER_CONNECTION = 20;

    /** What clients saw; names of bookings that got no answer are looked up with the servers afterwards. */
    private static final class Seen {
        final AtomicLong served = new AtomicLong();
        final AtomicLong refused = new AtomicLong();
        final AtomicLong failed = new AtomicLong();
        final AtomicLong turnedBack = new AtomicLong();
        final Queue<String> unanswered = new ConcurrentLinkedQueue<>();
        volatile boolean over;
    }

    @Override
    public void run(Figures figures, double part) throws Exception {
        try (PlatformRig rig = new PlatformRig(4)) {
            for (StandInServer server : rig.servers) {
                server.delay(FAST_MS, 2 * FAST_MS);
            }
            rig.servers.get(0).delay(SLOW_MS, SLOW_MS);
            Running first = rig.start(true);
            Seen seen = new Seen();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Thread client = new Thread(new Client(rig.listen, seen, i));
                clients.add(client);
                client.start();
            }
            TimeUnit.MILLISECONDS.sleep(3 * LOOK_MS);
            double usual = slowShare(rig);
            List<Double> starts = new ArrayList<>();
            List<Double> known = new ArrayList<>();
            List<Double> anew = new ArrayList<>();
            int count = (int) (REPLACEMENTS * part);
            for (int i = 0; i < count; i++) {
                // Now and then one that is told nothing, for comparison; the one after it finds nobody to ask.
                boolean told = i % 5 != 4;
                Running next = rig.start(told);
                starts.add(next.startMs);
                first.process.destroy();
                (told && i % 5 != 0 ? known : anew).add(slowShare(rig));
                if (!first.process.waitFor(KILL_MS - LOOK_MS, TimeUnit.MILLISECONDS)) {
                    first.process.destroyForcibly().waitFor();
                }
                first = next;
            }
            seen.over = true;
            for (Thread client : clients) {
                client.join();
            }
            long lost = seen.unanswered.stream().filter(name -> rig.servers.stream().anyMatch(s -> s.runs(name) > 0)).count();
            long twice = rig.servers.stream().flatMap(s -> s.allRuns().keySet().stream()).distinct()
                .filter(name -> name.startsWith("b") && rig.servers.stream().mapToInt(s -> s.runs(name)).sum() > 1).count();
            figures.put("replacements", count, "");
            figures.put("requests served", seen.served.get(), "");
            figures.put("refused", seen.refused.get(), "");
            figures.hold("failed", seen.failed.get(), "", 0, 0);
            figures.hold("turned back unheard", seen.turnedBack.get() + seen.unanswered.size() - lost, "", 0, Math.max(1, count / 50.0));
            figures.hold("lost: ran, and no answer", lost, "", 0, 0);
            figures.hold("bookings that ran twice", twice, "", 0, 0);
            figures.hold("start to ready, median", Figures.median(starts), "ms", 0, 6_000);
            figures.hold("start to ready, longest", starts.stream().mapToDouble(d -> d).max().orElse(0), "ms", 0, 6_000);
            figures.put("share of the slow server, usual", usual, "");
            figures.put("share in the first second, told, median", Figures.median(known), "");
            figures.put("share in the first second, not told, median", Figures.median(anew), "");
        }
    }

    /** The slow server's part of what runs in a second from now. */
    private static double slowShare(PlatformRig rig) throws InterruptedException {
        long slow = rig.servers.get(0).served();
        long all = rig.servers.stream().mapToLong(StandInServer::served).sum();
        TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        return (double) (rig.servers.get(0).served() - slow)
            / Math.max(1, rig.servers.stream().mapToLong(StandInServer::served).sum() - all);
    }

    /** One that asks again and again, on connections that it keeps for a while. */
    private record Client(InetSocketAddress node, Seen seen, int number) implements Runnable {
        @Override
        public void run() {
            int asked = 0;
            while (!seen.over) {
                try (Socket socket = new Socket()) {
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(10_000);
                    socket.connect(node);
                    InputStream in = new BufferedInputStream(socket.getInputStream());
                    for (int i = 0; i < PER_CONNECTION && !seen.over; i++) {
                        if (!ask(socket, in, asked++)) {
                            break;
                        }
                    }
                } catch (ConnectException e) {
                    seen.turnedBack.incrementAndGet();
                } catch (IOException e) {
                    // Counted where it happened.
                }
            }
        }

        private boolean ask(Socket socket, InputStream in, int asked) throws IOException {
            boolean book = asked % 3 == 0;
            String name = (book ? "b" : "r") + number + "-" + asked;
            byte[] request = ((book ? "POST /book" : "GET /read") + " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + name
                + "\r\nX-Effect: " + name + "\r\n" + (book ? "Content-Length: 0\r\n" : "") + "\r\n").getBytes(StandardCharsets.US_ASCII);
            String head;
            try {
                socket.getOutputStream().write(request);
                head = Load.head(in);
                in.readNBytes(Load.length(head));
            } catch (IOException e) {
                seen.unanswered.add(name);
                throw e;
            }
            String status = head.split(" ")[1];
            (status.equals("200") ? seen.served : status.equals("503") ? seen.refused : seen.failed).incrementAndGet();
            return !head.toLowerCase(java.util.Locale.ROOT).contains("connection: close");
        }
    }
}
