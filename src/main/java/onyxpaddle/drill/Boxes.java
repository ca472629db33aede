package onyxpaddle.drill;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import onyxpaddle.drill.Drill.BoxSettings;
import onyxpaddle.drill.Event.Type;
import onyxpaddle.standin.ExecutionCounter;
import onyxpaddle.standin.StandInServer;

/** The stand-in servers of all sites, with the start times that lists report for them. */
final class Boxes implements AutoCloseable {
    /** A restart gives the box a new port and a new start time. */
    private final class Box {
        final String name;
        volatile StandInServer server;
        /** Unix time in milliseconds; 0 if the box has been warm from the beginning. */
        volatile long startedAtMs;

        Box(String name) throws Exception {
            this.name = name;
            start(0);
        }

        void start(long startedMs) throws Exception {
            startedAtMs = startedMs;
            server = new StandInServer(name, 0, executionCounter).delay(settings.takesMs(), settings.jitterMs())
                .slots(settings.atOnce(), settings.queue(), settings.drops())
                .watcher(new StandInServer.Watcher() {
                    @Override
                    public void requestReceived(String effect, SocketAddress from) {
                        history.add(Type.CAME, "id", String.valueOf(effect), "box", name,
                            "node", nodesByConnection.getOrDefault(from, "unknown"));
                    }

                    @Override
                    public void requestExecuted(String effect) {
                        history.add(Type.RAN, "id", String.valueOf(effect), "box", name);
                    }
                });
            history.add(Type.BOX_STARTED, "box", name, "persecond", Double.toString(settings.perSecond()), "cold",
                Long.toString(startedMs == 0 ? 0 : settings.coldMs()), "from", Double.toString(settings.coldFrom()));
        }
    }

    private final BoxSettings settings;
    private final History history;
    private final ExecutionCounter executionCounter = new ExecutionCounter();
    private final Map<String, Box> all = new LinkedHashMap<>();
    /** The node behind each connection, by the local address of the relay's connection to the box. */
    final Map<SocketAddress, String> nodesByConnection = new ConcurrentHashMap<>();

    Boxes(Drill drill, History history) throws Exception {
        this.settings = drill.boxes();
        this.history = history;
        for (String site : drill.siteNames()) {
            for (int i = 0; i < drill.sites().get(site).boxes(); i++) {
                String name = site + "/s" + i;
                all.put(name, new Box(name));
            }
        }
    }

    List<String> names() {
        return new ArrayList<>(all.keySet());
    }

    InetSocketAddress address(String box) {
        StandInServer server = all.get(box).server;
        return server == null ? null : server.address();
    }

    long startedAtMs(String box) {
        return all.get(box).startedAtMs;
    }

    void freeze(String box, boolean on) {
        all.get(box).server.frozen(on);
    }

    /** Closes the box and starts a new one, which is cold. */
    void restart(String box) throws Exception {
        Box restarted = all.get(box);
        restarted.server.close();
        restarted.start(System.currentTimeMillis());
    }

    /** Sets the service time of cold boxes for their age: the available fraction of capacity rises linearly until a box is warm. */
    void updateColdSpeed() {
        long now = System.currentTimeMillis();
        for (Box b : all.values()) {
            if (b.startedAtMs > 0) {
                double age = settings.coldMs() == 0 ? 1 : Math.min(1, (double) (now - b.startedAtMs) / settings.coldMs());
                double fraction = settings.coldFrom() + (1 - settings.coldFrom()) * age;
                b.server.delay(Math.round(settings.takesMs() / fraction), Math.round(settings.jitterMs() / fraction));
            }
        }
    }

    @Override
    public void close() {
        all.values().forEach(b -> b.server.close());
    }
}
