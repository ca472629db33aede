package onyxpaddle.measure;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import onyxpaddle.measure.Load.Result;
import onyxpaddle.standin.ExecutionCounter;
import onyxpaddle.standin.RpcCaller;
import onyxpaddle.standin.StandInRpcServer;
import onyxpaddle.standin.StandInServer;
import org.msgpack.value.ValueFactory;

/**
 * MessagePack-RPC through the node with 1, 16 and 256 calls open on one connection, against the stand-in called straight
 * and against HTTP through the same node over as many connections. Allocations are the node's own, from its log of
 * garbage collections.
 */
final class RpcMeasurement implements Measure.Measurement {
    private static final int[] OPEN = {1, 16, 256};
    private static final int ROUNDS = 3;
    private static final double SECONDS = 1;

    private static final String CONFIG = """
        version: 1
        name: measured
        listeners:
          web: {address: "127.0.0.1:%d"}
          rpc: {address: "127.0.0.1:%d", protocol: messagepack-rpc, open-calls: 512}
        classes:
          look: {effect: safe, deadline: 5 s}
        pools:
          boxes:
            servers: [{id: box, address: "%s", rpc: "%s"}]
            keep-alive: 30 s
        routes:
          - {name: look, listener: web, path: /look, pool: boxes, class: look}
        procedures:
          - {name: rpc-look, listener: rpc, procedure: look, pool: boxes, class: look}
        """;

    @Override
    public void run(Figures figures, double part) throws Exception {
        Path gc = Files.createTempFile("measured", ".gc");
        String before = System.getProperty("measure.node.options", "");
        System.setProperty("measure.node.options", "-Xlog:gc*=info:file=" + gc + ":uptime");
        try (StandInServer http = new StandInServer("box", 0);
                StandInRpcServer rpc = new StandInRpcServer("box", 0, new ExecutionCounter());
                NodeProcess node = NodeProcess.start(CONFIG, 2, http.hostPort(), rpc.hostPort())) {
            byte[] look = Load.get("/look");
            rpc(node.listener(1), 16, 3);
            rpc(rpc.address(), 16, 1);
            Load.run(node.listener(0), look, 16, 3);
            for (int open : OPEN) {
                List<Result> straight = new ArrayList<>();
                List<Result> through = new ArrayList<>();
                List<Result> web = new ArrayList<>();
                List<Double> rpcBytes = new ArrayList<>();
                List<Double> webBytes = new ArrayList<>();
                List<Double> rpcMoved = new ArrayList<>();
                List<Double> webMoved = new ArrayList<>();
                for (int round = 0; round < ROUNDS; round++) {
                    straight.add(rpc(rpc.address(), open, SECONDS * part));
                    long moved = node.transferred();
                    double from = GcLog.allocated(gc);
                    through.add(rpc(node.listener(1), open, SECONDS * part));
                    rpcMoved.add((double) (node.transferred() - moved) / through.get(round).trips().length);
                    moved = node.transferred();
                    double middle = GcLog.allocated(gc);
                    web.add(Load.run(node.listener(0), look, open, SECONDS * part));
                    webMoved.add((double) (node.transferred() - moved) / web.get(round).trips().length);
                    rpcBytes.add((middle - from) / through.get(round).trips().length);
                    webBytes.add((GcLog.allocated(gc) - middle) / web.get(round).trips().length);
                }
                String of = open + " open: ";
                put(figures, of + "straight", straight);
                put(figures, of + "through the node", through);
                put(figures, of + "HTTP through the node", web);
                figures.put(of + "garbage a call", Figures.median(rpcBytes) / 1024, "KiB");
                figures.put(of + "garbage a request of HTTP", Figures.median(webBytes) / 1024, "KiB");
                figures.put(of + "bytes read and written a call", Figures.median(rpcMoved), "B");
                figures.put(of + "the same, a request of HTTP", Figures.median(webMoved), "B");
                figures.hold(of + "served", served(through), "", 0.999, 1);
                figures.hold(of + "calls a second, against HTTP through the node", rate(through) / rate(web), "", 1, 1000);
            }
        } finally {
            System.setProperty("measure.node.options", before);
            Files.delete(gc);
        }
    }

    private static double rate(List<Result> rounds) {
        return Figures.median(rounds.stream().map(Result::perSecond).toList());
    }

    private static double served(List<Result> rounds) {
        return rounds.stream().mapToDouble(Result::served).min().orElse(0);
    }

    private static void put(Figures figures, String name, List<Result> rounds) {
        figures.put(name + ", calls a second", rate(rounds), "");
        figures.put(name + ", p50", Figures.median(rounds.stream().map(r -> r.quantile(0.5)).toList()), "us");
        figures.put(name + ", p99", Figures.median(rounds.stream().map(r -> r.quantile(0.99)).toList()), "us");
    }

    /** So many calls are kept open on one connection for so long. */
    private static Result rpc(InetSocketAddress to, int open, double seconds) throws Exception {
        long start = System.nanoTime();
        long until = start + (long) (seconds * 1e9);
        long[] trips = new long[1 << 20];
        AtomicInteger count = new AtomicInteger();
        AtomicLong others = new AtomicLong();
        CountDownLatch left = new CountDownLatch(open);
        try (RpcCaller caller = new RpcCaller(to)) {
            for (int i = 0; i < open; i++) {
                next(caller, until, trips, count, others, left);
            }
            left.await(60, TimeUnit.SECONDS);
        }
        double took = (System.nanoTime() - start) / 1e9;
        long[] sorted = Arrays.copyOf(trips, Math.min(trips.length, count.get()));
        Arrays.sort(sorted);
        return new Result(sorted, others.get(), 0, took);
    }

    private static void next(RpcCaller caller, long until, long[] trips, AtomicInteger count, AtomicLong others,
            CountDownLatch left) {
        long start = System.nanoTime();
        if (start >= until) {
            left.countDown();
            return;
        }
        caller.call("look", ValueFactory.newString("slots")).whenComplete((reply, failure) -> {
            if (failure == null && reply.ok()) {
                int at = count.getAndIncrement();
                if (at < trips.length) {
                    trips[at] = System.nanoTime() - start;
                }
            } else {
                others.incrementAndGet();
            }
            if (failure == null) {
                next(caller, until, trips, count, others, left);
            } else {
                left.countDown();
            }
        });
    }
}
