package probe;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A caller by MessagePack-RPC has left; its bookings are sent on and run all the same, as connections to the server came up late. */
final class LeftCaller {
    private static final int CALLS = 400;
    private static final int PARAMETERS = 1_000;
    private static final int WARM_UPS = 3;
    private static final int WARM_UP_CALLS = 200;
    /** For so long the server takes no connection. */
    private static final int LATE_MS = 200;
    private static final int LEAVES_AFTER_MS = 40;
    /** The pages' 0.1 s, and the 50 ms by which each time limit is longer on sockets. */
    private static final int BOUND_MS = 150;

    /** {@code inTime}: its connection was up before the server took connections again, so that the call may have been written in time. */
    private record Run(long at, String visit, boolean inTime) {
    }

    /** The application: one process that runs calls one after the other, 20 ms each. */
    private static final class Application {
        final Kit kit;
        final InetSocketAddress address;
        final ServerSocket listener;
        final List<Run> read = Collections.synchronizedList(new ArrayList<>());
        private final List<Socket> waiting = new ArrayList<>();
        private boolean paused;
        /** The accepting thread has taken its last connection before the pause. */
        private boolean holds;
        private int accepted;

        Application(Kit kit) throws IOException {
            this.kit = kit;
            address = Kit.free();
            listener = new ServerSocket(address.getPort(), 1, address.getAddress());
            Kit.thread(() -> {
                while (true) {
                    awaitRunning();
                    Socket socket = listener.accept();
                    boolean whilePaused = awaitRunning();
                    accepted++;
                    Kit.thread(() -> serve(socket, whilePaused));
                }
            });
        }

        private synchronized boolean awaitRunning() throws InterruptedException {
            boolean waited = paused;
            holds = paused;
            while (paused) {
                wait();
            }
            return waited;
        }

        /** It stands still with a full queue of connections, so that further ones don't come up. */
        void pause() throws IOException, Kit.CouldNotRun {
            synchronized (this) {
                paused = true;
            }
            connect();
            try {
                // Else the thread would make room in the full queue afterwards.
                if (!Kit.await(2_000, this::holds)) {
                    throw new Kit.CouldNotRun("the server does not pause");
                }
            } catch (Kit.CouldNotRun e) {
                throw e;
            } catch (Exception e) {
                throw new IOException(e);
            }
            for (int full = 0, tries = 0; tries < 10; tries++) {
                full = connect() ? 0 : full + 1;
                if (full == 2) {
                    kit.note("server: takes no connection now, " + waiting.size() + " of the test's own wait");
                    return;
                }
            }
            throw new Kit.CouldNotRun("the system takes connections for a server with a full queue");
        }

        private synchronized boolean holds() {
            return holds;
        }

        /** Makes a connection that says nothing; false if it does not come up. */
        private boolean connect() throws IOException {
            Socket socket = new Socket();
            try {
                socket.connect(address, 60);
                waiting.add(socket);
                return true;
            } catch (SocketTimeoutException e) {
                socket.close();
                return false;
            }
        }

        /** What is in the queue by now came up in time: its calls are not judged. What comes up later begins later. */
        void resume() throws IOException {
            int up = 0;
            listener.setSoTimeout(1);
            try {
                while (true) {
                    Socket socket = listener.accept();
                    boolean own = waiting.stream().anyMatch(each -> each.getLocalPort() == socket.getPort()
                        && each.getLocalAddress().equals(socket.getInetAddress()));
                    up += own ? 0 : 1;
                    Kit.thread(() -> serve(socket, true));
                }
            } catch (SocketTimeoutException e) {
                kit.note("server: takes connections again; " + up + " of the node's were up already, and are not judged");
            }
            listener.setSoTimeout(0);
            for (Socket socket : waiting) {
                Kit.thread(socket::close);
            }
            synchronized (this) {
                paused = false;
                notifyAll();
            }
        }

        private void serve(Socket socket, boolean inTime) throws Exception {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (true) {
                    List<?> call = (List<?>) Pack.read(in);
                    read.add(new Run(Kit.ms(), (String) ((List<?>) call.get(3)).get(0), inTime));
                    Kit.thread(() -> {
                        Kit.sleep(20);
                        List<Object> reply = new ArrayList<>(List.of(1L, call.get(1)));
                        reply.add(null);
                        reply.add("booked");
                        synchronized (out) {
                            out.write(Pack.of(reply));
                        }
                    });
                }
            }
        }
    }

    public static void main(String[] args) {
        Kit.play(LeftCaller::run);
    }

    private static String run(Kit kit) throws Exception {
        Application application = new Application(kit);
        InetSocketAddress inbound = Kit.free();
        Path description = kit.tmp.resolve("records.yaml");
        Files.writeString(description, """
            application: records
            rpc-port: %d
            inbound-rpc: "%s"
            serves:
              book-campaign: {procedures: [visit.book], effect: unsafe, deadline: 3 s}
            """.formatted(application.address.getPort(), Kit.text(inbound)));
        Kit.Proc write = kit.start("write", "exec bin/lupinmount sidecar write " + description + " --out " + kit.tmp.resolve("nodes"), Map.of());
        if (write.process.waitFor() != 0) {
            throw new Kit.CouldNotRun("sidecar write: " + write.log());
        }
        Path node = kit.tmp.resolve("nodes/records.node.yaml");
        // The description knows the application's port on 127.0.0.1; the stand-in has an address of its own, so that ports can't clash.
        Files.writeString(node, Files.readString(node).replace("127.0.0.1:" + application.address.getPort(), Kit.text(application.address)));
        kit.start("node", kit.runLine() + " --config " + node, Map.of());
        if (!Kit.await(20_000, () -> open(inbound))) {
            throw new Kit.CouldNotRun("the node does not listen");
        }
        for (int i = 0; i < WARM_UPS; i++) {
            warmUp(kit, inbound);
            // The node closes its connections once they have been idle for 3.5 s.
            Kit.sleep(4_500);
        }
        kit.note("server: " + application.accepted + " connections came up at once so far, for " + application.read.size() + " bookings");
        application.read.clear();
        if (Kit.TROUBLE) {
            application.pause();
        }
        Socket caller = new Socket(inbound.getAddress(), inbound.getPort());
        long begun = Kit.ms();
        String text = "x".repeat(PARAMETERS);
        AtomicInteger sent = new AtomicInteger();
        Thread writer = Kit.thread(() -> {
            for (int i = 0; i < CALLS; i++) {
                caller.getOutputStream().write(Pack.of(List.of(0L, (long) i, "visit.book", List.of("visit-" + i, text))));
                sent.incrementAndGet();
            }
        });
        writer.join(LEAVES_AFTER_MS);
        Kit.sleep(begun + LEAVES_AFTER_MS - Kit.ms());
        int written = sent.get();
        caller.close();
        long closed = Kit.ms();
        kit.note("caller: sent " + written + " bookings from " + begun + " ms on, and closed its connection at " + closed + " ms");
        if (Kit.TROUBLE) {
            // Later than the bound after the close, however long the close took.
            Kit.sleep(Math.max(begun + LATE_MS, closed + BOUND_MS + 5) - Kit.ms());
            application.resume();
        }
        Kit.sleep(4_000);
        int late = 0;
        long latest = 0;
        for (Run run : List.copyOf(application.read)) {
            boolean over = !run.inTime() && run.at() - closed > BOUND_MS;
            late += over ? 1 : 0;
            latest = Math.max(latest, run.at() - closed);
            if (over && late <= 20) {
                kit.note("server: " + run.visit() + " came at " + run.at() + " ms, " + (run.at() - closed) + " ms after its caller had closed");
            }
        }
        kit.note("server: " + application.read.size() + " bookings came, " + late + " of them more than " + BOUND_MS
            + " ms after the close, the last one after " + latest + " ms");
        kit.note("server: " + application.accepted + " connections in all");
        return late == 0 ? null : late + " bookings were sent on more than " + BOUND_MS + " ms after their caller had closed its connection";
    }

    /** Calls of a caller that waits for all its answers. */
    private static void warmUp(Kit kit, InetSocketAddress inbound) throws IOException {
        try (Socket caller = new Socket(inbound.getAddress(), inbound.getPort())) {
            caller.setSoTimeout(10_000);
            InputStream in = new BufferedInputStream(caller.getInputStream());
            for (int i = 0; i < WARM_UP_CALLS; i++) {
                caller.getOutputStream().write(Pack.of(List.of(0L, (long) i, "visit.book", List.of("warm-" + i, "x".repeat(PARAMETERS)))));
            }
            for (int i = 0; i < WARM_UP_CALLS; i++) {
                Pack.read(in);
            }
        }
        kit.note("caller: " + WARM_UP_CALLS + " bookings, all answered");
    }

    private static boolean open(InetSocketAddress at) {
        try {
            new Socket(at.getAddress(), at.getPort()).close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
