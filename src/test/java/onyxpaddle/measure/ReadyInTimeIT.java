package onyxpaddle.measure;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import onyxpaddle.drill.ServeProcess;
import onyxpaddle.standin.StandInServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Nine in ten restarted processes are ready within 10 s: ten at once, each stopped for nine tenths of the time, with discovery
 * silent, all listed servers cold, and clients at the door from the first moment on.
 */
class ReadyInTimeIT {
    private static final int NODES = 10;
    private static final double LONGEST_S = 10;
    @TempDir
    private Path folder;

    /** Lets all of them run together for 20 ms of each 200. */
    private static Process throttled(List<ServeProcess> nodes) throws Exception {
        StringBuilder pids = new StringBuilder();
        nodes.forEach(n -> pids.append(' ').append(n.process().pid()));
        return new ProcessBuilder("/bin/sh", "-c", "while kill -CONT" + pids + "; do sleep 0.02; kill -STOP" + pids + "; sleep 0.18; done")
            .redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
    }

    /** The pace of who is turned away; without it they would take the processor from the nodes. */
    private static void comeAgain() {
        LockSupport.parkNanos(5_000_000L);
    }

    @Test
    void nineInTenAreReadyWithinTenSeconds() throws Exception {
        AtomicBoolean on = new AtomicBoolean(true);
        ExecutorService threads = Executors.newCachedThreadPool();
        List<ServeProcess> nodes = new ArrayList<>();
        Process throttle = null;
        Path classes = folder.resolve("classes.jsa");
        ServeProcess.archive(classes);
        try (StandInServer server = new StandInServer("s", 0); SwitchedDiscovery silent = new SwitchedDiscovery()) {
            String cold = PlatformFile.list(1, System.currentTimeMillis(), server);
            List<CompletableFuture<Double>> ready = new ArrayList<>();
            for (int i = 0; i < NODES; i++) {
                InetSocketAddress listen = ServeProcess.freePort();
                Path own = Files.createDirectory(folder.resolve("n" + i));
                long start = System.nanoTime();
                nodes.add(ServeProcess.start(Files.writeString(own.resolve("config.json"), PlatformFile.of(listen, silent.address(), cold, 256)),
                    own, own.resolve("log"), Map.of(), new ServeProcess.Machine(0, classes)));
                int number = i;
                threads.execute(() -> {
                    for (int asked = 0; on.get(); asked++) {
                        PlatformFile.ask(listen, PlatformFile.booking("n" + number + "r" + asked));
                        comeAgain();
                    }
                });
                ready.add(CompletableFuture.supplyAsync(() -> {
                    while (on.get() && !PlatformFile.ready(listen)) {
                        comeAgain();
                    }
                    return (System.nanoTime() - start) / 1e9;
                }, threads));
            }
            throttle = throttled(nodes);
            List<Double> took = new ArrayList<>();
            for (CompletableFuture<Double> one : ready) {
                took.add(one.get(60, TimeUnit.SECONDS));
            }
            long inTime = took.stream().filter(t -> t <= LONGEST_S).count();
            assertTrue(inTime >= 0.9 * NODES, "ready after " + took + " s");
        } finally {
            on.set(false);
            if (throttle != null) {
                throttle.destroyForcibly().waitFor();
            }
            for (ServeProcess node : nodes) {
                node.signal("CONT");
                node.kill();
            }
            threads.shutdownNow();
        }
    }
}
