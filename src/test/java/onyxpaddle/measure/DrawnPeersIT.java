package onyxpaddle.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.HttpHeaders;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import onyxpaddle.drill.ServeProcess;
import onyxpaddle.measure.DrawnPeers.ProcessTrouble;
import onyxpaddle.measure.DrawnPeers.ServerTrouble;
import onyxpaddle.standin.StandInServer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Crowds of clients that are drawn from seeds, against a process as the platform starts it. Two seeds by default; {@code
 * -Dpeers.seeds=1-50} plays others, and {@code -Dpeers.shrink=true} looks for the smallest crowd that breaks as well.
 */
class DrawnPeersIT {
    private static final int SERVERS = 6;
    private static final int TROUBLED_SERVERS = 2;
    private static final int TROUBLE_S = 4;
    private static final int LOOK_UPS_PER_SECOND = 40;
    private static final int LOOK_UPS_AFTERWARDS = 40;
    private static final long SETTLE_MS = 1_000;
    private static final int STOPS = 4;
    private static final int STOP_MS = 140;
    private static final int STOP_INTERVAL_MS = 700;
    private static final int PROCESS_TIMEOUT_S = 20;
    /** Ended by SIGTERM. */
    private static final int EXIT_PLANNED = 143;
    private static final int LATE_MS = 900;
    /** So few connections are no reason to refuse or to delay one. */
    private static final int MAX_CLIENTS_WITHOUT_REFUSALS = 60;
    private static final int MAX_SHRINKING_RUNS = 12;
    /** An attempt may begin so long after its client's close, and its server reads it, in this process, so much later. */
    private static final long LATEST_ATTEMPT = TimeUnit.MILLISECONDS.toNanos(100 + 50);

    static Stream<Long> seeds() {
        String[] range = System.getProperty("peers.seeds", "1-2").split("-");
        return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1])).boxed();
    }

    /** Guards against whatever a peer can do with its bytes that costs other clients their answers, or the process its life. */
    @ParameterizedTest
    @MethodSource("seeds")
    void processLivesAndAnswersSoundClientsBesideAnyPeers(long seed) throws Exception {
        DrawnPeers peers = DrawnPeers.of(seed);
        List<String> faults = play(peers);
        System.out.println("seed " + seed + ": " + peers + ": " + faults);
        if (!faults.isEmpty() && Boolean.getBoolean("peers.shrink")) {
            System.out.println("smallest: " + shrink(peers));
        }
        assertEquals(List.of(), faults);
    }

    private static DrawnPeers shrink(DrawnPeers broken) throws Exception {
        DrawnPeers smallest = broken;
        int runs = 0;
        for (boolean shrunk = true; shrunk;) {
            shrunk = false;
            for (DrawnPeers candidate : smallest.smaller()) {
                if (!shrunk && runs++ < MAX_SHRINKING_RUNS && !play(candidate).isEmpty()) {
                    smallest = candidate;
                    shrunk = true;
                }
            }
        }
        return smallest;
    }

    /** Records when servers have read the latest request of each client. */
    private static final class Arrivals implements StandInServer.Watcher {
        private final Map<String, Long> latest = new ConcurrentHashMap<>();

        @Override
        public void headersReceived(HttpHeaders headers) {
            String id = headers.get("X-Trace-Id");
            if (id != null) {
                latest.put(id.replaceFirst("^(slow-\\d+)-\\d+$", "$1"), System.nanoTime());
            }
        }

        @Override
        public void requestReceived(String effect, SocketAddress from) {
        }

        @Override
        public void requestExecuted(String effect) {
        }
    }

    private static List<String> play(DrawnPeers peers) throws Exception {
        List<String> faults = new ArrayList<>();
        try (PlatformRig rig = new PlatformRig(SERVERS, peers.limits())) {
            Arrivals arrivals = new Arrivals();
            // One that reads nothing for a while reads late what was written in time.
            int unwatched = peers.trouble() == ServerTrouble.READS_NOTHING ? TROUBLED_SERVERS : 0;
            rig.servers.subList(unwatched, SERVERS).forEach(server -> server.watcher(arrivals));
            List<ServeProcess> nodes = new CopyOnWriteArrayList<>(List.of(rig.start(true)));
            LookUps lookUps = new LookUps(rig.listen);
            lookUps.run("warm-", LOOK_UPS_AFTERWARDS, LOOK_UPS_PER_SECOND);
            rig.servers.subList(0, TROUBLED_SERVERS).forEach(server -> trouble(server, peers.trouble()));
            SlowClients clients = new SlowClients(rig.listen, peers.conducts(), peers.clients(), peers.reconnects());
            CompletableFuture<Void> happens = CompletableFuture.runAsync(() -> trouble(rig, nodes, peers.process()));
            LookUps.Outcome during;
            try {
                during = lookUps.run("beside-", TROUBLE_S * LOOK_UPS_PER_SECOND, LOOK_UPS_PER_SECOND);
                happens.get(PROCESS_TIMEOUT_S, TimeUnit.SECONDS);
            } finally {
                clients.close();
            }
            rig.servers.forEach(server -> trouble(server, ServerTrouble.NONE));
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
            LookUps.Outcome after = lookUps.run("after-", LOOK_UPS_AFTERWARDS, LOOK_UPS_PER_SECOND);
            judge(nodes, peers, during, after, faults);
            judgeDepartures(clients.closedAt(), arrivals.latest, faults);
        }
        return faults;
    }

    private static void trouble(StandInServer server, ServerTrouble trouble) {
        server.refuses(trouble == ServerTrouble.TURNS_AWAY).silent(trouble == ServerTrouble.HANGS)
            .delay(trouble == ServerTrouble.ANSWERS_LATE ? LATE_MS : 0, trouble == ServerTrouble.ANSWERS_LATE ? LATE_MS : 0);
        server.frozen(trouble == ServerTrouble.READS_NOTHING);
    }

    private static void trouble(PlatformRig rig, List<ServeProcess> nodes, ProcessTrouble trouble) {
        try {
            if (trouble == ProcessTrouble.STANDS_STILL) {
                for (int i = 0; i < STOPS; i++) {
                    nodes.get(0).signal("STOP");
                    TimeUnit.MILLISECONDS.sleep(STOP_MS);
                    nodes.get(0).signal("CONT");
                    TimeUnit.MILLISECONDS.sleep(STOP_INTERVAL_MS);
                }
            } else if (trouble == ProcessTrouble.REPLACED) {
                TimeUnit.MILLISECONDS.sleep(STOP_INTERVAL_MS);
                nodes.add(rig.start(true));
                nodes.get(0).process().destroy();
                nodes.get(0).process().waitFor(PROCESS_TIMEOUT_S, TimeUnit.SECONDS);
            }
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static void judge(List<ServeProcess> nodes, DrawnPeers peers, LookUps.Outcome during, LookUps.Outcome after, List<String> faults)
            throws Exception {
        for (ServeProcess replaced : nodes.subList(0, nodes.size() - 1)) {
            if (replaced.process().isAlive() || replaced.process().exitValue() != EXIT_PLANNED) {
                faults.add("the replaced process did not end as planned: " + replaced.log());
            }
        }
        ServeProcess node = nodes.get(nodes.size() - 1);
        if (node.process().waitFor(1, TimeUnit.MILLISECONDS)) {
            faults.add("the process ended with " + node.process().exitValue() + ": " + node.log());
            return;
        }
        node.log().lines().filter(line -> line.contains("StackOverflowError") || line.contains("OutOfMemoryError")).limit(1).forEach(faults::add);
        if (node.peakResidentMiB() > peers.limits().memoryMb()) {
            faults.add("used " + Math.round(node.peakResidentMiB()) + " MiB");
        }
        if (during.lost() > 0) {
            faults.add("lost beside the trouble: " + during);
        }
        if (during.late() > 0 && peers.clients() <= MAX_CLIENTS_WITHOUT_REFUSALS && peers.trouble() == ServerTrouble.NONE
                && peers.process() == ProcessTrouble.NONE) {
            faults.add("answered after their aim: " + during);
        }
        if (after.served() < LOOK_UPS_AFTERWARDS) {
            faults.add("not all served afterwards: " + after);
        }
    }

    private static void judgeDepartures(Map<String, Long> closedAt, Map<String, Long> arrivals, List<String> faults) {
        long latest = closedAt.entrySet().stream().filter(closed -> arrivals.containsKey(closed.getKey()))
            .mapToLong(closed -> arrivals.get(closed.getKey()) - closed.getValue()).max().orElse(0);
        if (latest > LATEST_ATTEMPT) {
            faults.add("sent on " + latest / 1_000_000 + " ms after its client had left");
        }
    }
}
