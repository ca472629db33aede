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
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import onyxpaddle.standin.FaultScript;
import onyxpaddle.standin.FaultScript.Fault;
import onyxpaddle.standin.ExecutionCounter;
import onyxpaddle.standin.RpcCaller;
import onyxpaddle.standin.StandInRpcServer;
import onyxpaddle.standin.StandInServer;
import org.msgpack.value.ValueFactory;

/**
 * Bookings and looks by HTTP and by MessagePack-RPC, in equal numbers, over the same four boxes, of which one loses some
 * of its replies and another stands still for a while and goes on.
 */
public final class MixedTraffic implements AutoCloseable {
    /** The node between: listeners `web` and `rpc`, in that order, and the boxes' list. */
    static final String CONFIG = """
        version: 1
        name: mixed
        listeners:
          web: {address: "127.0.0.1:%d"}
          rpc: {address: "127.0.0.1:%d", protocol: messagepack-rpc}
        classes:
          look: {effect: safe, deadline: 1 s}
          book: {effect: unsafe, deadline: 1 s}
        pools:
          boxes:
            servers: [%s]
        routes:
          - {name: look, listener: web, path: /look, pool: boxes, class: look}
          - {name: book, listener: web, path: /book, pool: boxes, class: book}
        procedures:
          - {name: rpc-look, listener: rpc, procedure: look, pool: boxes, class: look}
          - {name: rpc-book, listener: rpc, procedure: book, pool: boxes, class: book}
        """;
    private static final int BOXES = 4;
    private static final int CALLERS = 12;
    private static final double BOOKINGS = 0.3;
    private static final double LOST = 0.03;
    private static final long PATIENCE_S = 10;
    /** A fair share is a quarter of what runs. */
    private static final double SHARE_BACK = 0.15;
    private static final long SHARE_OF = 400;
    private static final long LONGEST_RECOVERY = 10_000_000_000L;

    /**
     * What came of it.
     *
     * @param twice bookings that ran more than once
     * @param recovery from the moment the stalled box went on until it had its share again, in seconds; NaN for never
     */
    public record Outcome(long httpAsked, long httpServed, long rpcAsked, long rpcServed, long bookings, long twice,
            double recovery) {
        Outcome plus(Outcome o) {
            return new Outcome(httpAsked + o.httpAsked, httpServed + o.httpServed, rpcAsked + o.rpcAsked,
                rpcServed + o.rpcServed, bookings + o.bookings, twice + o.twice, Math.max(recovery, o.recovery));
        }

        public double http() {
            return (double) httpServed / httpAsked;
        }

        public double rpc() {
            return (double) rpcServed / rpcAsked;
        }
    }

    private final long seed;
    private final List<StandInServer> https = new ArrayList<>();
    private final List<StandInRpcServer> rpcs = new ArrayList<>();
    private final List<ExecutionCounter> ledgers = new ArrayList<>();
    private final AtomicLong[] counts = new AtomicLong[4];
    private final AtomicLong names = new AtomicLong();
    private volatile boolean go = true;

    /** Boxes for one run; the seed draws losses, kinds and pauses. */
    public MixedTraffic(long seed) throws Exception {
        this.seed = seed;
        Arrays.setAll(counts, i -> new AtomicLong());
        for (int i = 0; i < BOXES; i++) {
            ExecutionCounter ledger = new ExecutionCounter();
            ledgers.add(ledger);
            https.add(new StandInServer("box" + i, 0, ledger).delay(4, 8));
            rpcs.add(new StandInRpcServer("box" + i, 0, ledger).delay(4, 8));
        }
        https.get(1).faults(FaultScript.random(seed, 0, Map.of(Fault.LOSE_REPLY, LOST)));
        rpcs.get(1).faults(FaultScript.random(seed + 1, 0, Map.of(Fault.LOSE_REPLY, LOST)));
    }

    /** The boxes as they stand in a list. */
    private String servers() {
        List<String> servers = new ArrayList<>();
        for (int i = 0; i < BOXES; i++) {
            servers.add("{id: box" + i + ", address: \"" + https.get(i).hostPort() + "\", rpc: \"" + rpcs.get(i).hostPort() + "\"}");
        }
        return String.join(", ", servers);
    }

    /** The configuration for a node with these ports, 0 for any. */
    public String config(int web, int rpc) {
        return CONFIG.formatted(web, rpc, servers());
    }

    /** Runs the traffic through a node; so many milliseconds before the stall, and as many with it. */
    public Outcome run(InetSocketAddress web, InetSocketAddress rpc, long millis) throws Exception {
        List<Thread> callers = new ArrayList<>();
        try (RpcCaller caller = new RpcCaller(rpc)) {
            for (int i = 0; i < CALLERS; i++) {
                Random random = new Random(seed * 31 + i);
                callers.add(new Thread(() -> http(web, random)));
                callers.add(new Thread(() -> rpc(caller, random)));
            }
            callers.forEach(t -> {
                t.setDaemon(true);
                t.start();
            });
            TimeUnit.MILLISECONDS.sleep(millis);
            frozen(true);
            TimeUnit.MILLISECONDS.sleep(millis);
            frozen(false);
            double recovery = recovery();
            go = false;
            for (Thread t : callers) {
                t.join(TimeUnit.SECONDS.toMillis(PATIENCE_S));
            }
            // What the boxes still have in hand may run yet: a second run would only show after it.
            TimeUnit.MILLISECONDS.sleep(50);
            return new Outcome(counts[0].get(), counts[1].get(), counts[2].get(), counts[3].get(), bookings(false),
                bookings(true), recovery);
        }
    }

    private void frozen(boolean on) {
        https.get(0).frozen(on);
        rpcs.get(0).frozen(on);
    }

    /** Waits until the box that stood still has its share of what runs again; in seconds. */
    private double recovery() throws InterruptedException {
        long start = System.nanoTime();
        while (System.nanoTime() - start < LONGEST_RECOVERY) {
            long all = served();
            long own = ledgers.get(0).served();
            while (served() < all + SHARE_OF && System.nanoTime() - start < LONGEST_RECOVERY) {
                TimeUnit.MILLISECONDS.sleep(5);
            }
            if (ledgers.get(0).served() - own >= SHARE_BACK * (served() - all)) {
                return (System.nanoTime() - start) / 1e9;
            }
        }
        return Double.NaN;
    }

    private long served() {
        return ledgers.stream().mapToLong(ExecutionCounter::served).sum();
    }

    private long bookings(boolean twice) {
        Map<String, Integer> runs = new java.util.HashMap<>();
        ledgers.forEach(l -> l.allRuns().forEach((name, count) -> runs.merge(name, count.get(), Integer::sum)));
        return runs.values().stream().filter(n -> !twice || n > 1).count();
    }

    private void http(InetSocketAddress web, Random random) {
        while (go) {
            try (Socket socket = new Socket(web.getAddress(), web.getPort())) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE_S));
                InputStream in = new BufferedInputStream(socket.getInputStream());
                boolean open = true;
                while (go && open) {
                    boolean book = random.nextDouble() < BOOKINGS;
                    String request = book ? "POST /book HTTP/1.1\r\nHost: m\r\nX-Effect: h" + names.getAndIncrement()
                        + "\r\nContent-Length: 0\r\n\r\n" : "GET /look HTTP/1.1\r\nHost: m\r\n\r\n";
                    counts[0].incrementAndGet();
                    socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
                    String head = Load.head(in);
                    in.readNBytes(Load.length(head));
                    counts[1].addAndGet(head.startsWith("HTTP/1.1 200") ? 1 : 0);
                    open = !head.toLowerCase(java.util.Locale.ROOT).contains("connection: close");
                }
            } catch (IOException e) {
                // The request counts as asked and not served; the next goes on a new connection.
            }
        }
    }

    private void rpc(RpcCaller caller, Random random) {
        while (go) {
            boolean book = random.nextDouble() < BOOKINGS;
            counts[2].incrementAndGet();
            try {
                RpcCaller.Reply reply = (book ? caller.call("book", ValueFactory.newString("r" + names.getAndIncrement()))
                    : caller.call("look")).get(PATIENCE_S, TimeUnit.SECONDS);
                counts[3].addAndGet(reply.ok() ? 1 : 0);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (ExecutionException | java.util.concurrent.TimeoutException e) {
                // It counts as asked and not served.
            }
        }
    }

    @Override
    public void close() {
        https.forEach(StandInServer::close);
        rpcs.forEach(StandInRpcServer::close);
    }
}
