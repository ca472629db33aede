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
import java.util.concurrent.atomic.AtomicLong;
import onyxpaddle.standin.StandInServer;

/**
 * Clients that ask a platform node without pause, a third of it bookings, each request under a name of its own, so that
 * what became of one without an answer can be looked up with the servers afterwards.
 */
final class NamedLoad {
    /** A client opens a new connection after so many requests, as new ones come all the time. */
    private static final int PER_CONNECTION = 20;

    /**
     * What became of all requests.
     *
     * @param turnedBack connections that were refused, and requests that got no answer and have not run
     * @param lost requests that ran and got no answer
     * @param twice bookings that ran more than once
     */
    record Audit(long served, long refused, long failed, long turnedBack, long lost, long twice) {
    }

    private final AtomicLong served = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final AtomicLong turnedBack = new AtomicLong();
    private final Queue<String> unanswered = new ConcurrentLinkedQueue<>();
    private final List<Thread> clients = new ArrayList<>();
    private final PlatformRig rig;
    private volatile boolean over;

    /** Begins at once. */
    NamedLoad(PlatformRig rig, int count) {
        this.rig = rig;
        for (int i = 0; i < count; i++) {
            Thread client = new Thread(new Client(rig.listen, i), "client-" + i);
            clients.add(client);
            client.start();
        }
    }

    long served() {
        return served.get();
    }

    /** Ends, once each client has its last answer. */
    Audit end() throws InterruptedException {
        over = true;
        for (Thread client : clients) {
            client.join();
        }
        long lost = unanswered.stream().filter(name -> rig.servers.stream().anyMatch(s -> s.runs(name) > 0)).count();
        long twice = rig.servers.stream().flatMap(s -> s.allRuns().keySet().stream()).distinct()
            .filter(name -> name.startsWith("b") && rig.servers.stream().mapToInt(s -> s.runs(name)).sum() > 1).count();
        return new Audit(served.get(), refused.get(), failed.get(), turnedBack.get() + unanswered.size() - lost, lost, twice);
    }

    /** One that asks again and again, on connections that it keeps for a while. */
    private final class Client implements Runnable {
        private final InetSocketAddress node;
        private final int number;

        Client(InetSocketAddress node, int number) {
            this.node = node;
            this.number = number;
        }

        @Override
        public void run() {
            int asked = 0;
            while (!over) {
                try (Socket socket = new Socket()) {
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(10_000);
                    socket.connect(node);
                    InputStream in = new BufferedInputStream(socket.getInputStream());
                    for (int i = 0; i < PER_CONNECTION && !over; i++) {
                        if (!ask(socket, in, asked++)) {
                            break;
                        }
                    }
                } catch (ConnectException e) {
                    turnedBack.incrementAndGet();
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
                unanswered.add(name);
                throw e;
            }
            String status = head.split(" ")[1];
            (status.equals("200") ? served : status.equals("503") ? refused : failed).incrementAndGet();
            return !head.toLowerCase(java.util.Locale.ROOT).contains("connection: close");
        }
    }
}
