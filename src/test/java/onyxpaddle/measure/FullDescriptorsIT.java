package onyxpaddle.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import onyxpaddle.drill.ServeProcess;
import onyxpaddle.standin.StandInServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A process that the system allows a hundred descriptors, while clients hold all that they get and discovery is down: at its return
 * the node takes the list, dials servers that are new, says that it is ready, and serves.
 */
class FullDescriptorsIT {
    private static final int DESCRIPTORS = 100;
    private static final int CLIENTS = 150;
    @TempDir
    private Path folder;

    /** Connects anew whenever the node lets it go, and asks nothing; every second one sends a part of a head. */
    private static void hold(InetSocketAddress node, boolean begins, AtomicBoolean on) {
        while (on.get()) {
            try (Socket socket = new Socket(node.getAddress(), node.getPort())) {
                if (begins) {
                    socket.getOutputStream().write("GET /re".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
                }
                socket.setSoTimeout(200);
                while (on.get()) {
                    try {
                        if (socket.getInputStream().read() < 0) {
                            break;
                        }
                    } catch (java.net.SocketTimeoutException e) {
                        // It is held on.
                    }
                }
            } catch (IOException e) {
                // Reset or refused: again.
            }
        }
    }

    @Test
    void listIsTakenAndNewServersAreServedFromThoughClientsHoldAllTheyGet() throws Exception {
        AtomicBoolean on = new AtomicBoolean(true);
        try (StandInServer old = new StandInServer("old", 0); StandInServer fresh = new StandInServer("fresh", 0);
                SwitchedDiscovery discovery = new SwitchedDiscovery()) {
            InetSocketAddress listen = ServeProcess.freePort();
            ServeProcess node = ServeProcess.start(Files.writeString(folder.resolve("config.json"),
                PlatformFile.of(listen, discovery.address(), PlatformFile.list(1, 0, old), DESCRIPTORS)), folder, folder.resolve("log"),
                Map.of(), new ServeProcess.Machine(DESCRIPTORS, ServeProcess.jar().resolveSibling("weldlink.jsa")));
            try {
                node.awaitReady();
                for (int i = 0; i < CLIENTS; i++) {
                    boolean begins = i % 2 == 0;
                    Thread client = new Thread(() -> hold(listen, begins, on));
                    client.setDaemon(true);
                    client.start();
                }
                // With all of them at the door: served from the list that it was started with.
                awaitServed(listen, old, "a");
                discovery.on(2, PlatformFile.list(2, 0, fresh));
                awaitServed(listen, fresh, "b");
                assertTrue(node.call("GET /metrics").contains("svc_hosts_listed 1\n"));
                assertTrue(node.process().isAlive(), node.log());
                assertEquals(0, node.log().lines().filter(l -> l.contains("Too many open files")).count(), node.log());
            } finally {
                on.set(false);
                node.kill();
            }
        }
    }

    /** Until this server has served a booking and the node says at the same door that it is ready. */
    private static void awaitServed(InetSocketAddress node, StandInServer by, String prefix) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        long before = by.served();
        for (int i = 0; by.served() == before; i++) {
            assertTrue(System.nanoTime() < end, "nothing is served");
            PlatformFile.ask(node, PlatformFile.booking(prefix + i));
        }
        while (!PlatformFile.ready(node)) {
            assertTrue(System.nanoTime() < end, "it does not say that it is ready");
        }
    }
}
