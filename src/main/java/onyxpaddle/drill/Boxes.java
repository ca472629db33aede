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

/** The boxes of all sites, and what lists should say of them. */
final class Boxes implements AutoCloseable {
    /** One box; a restart gives it a new port and a new start. */
    private final class Box {
        final String name;
        volatile StandInServer server;
        /** Unix time in milliseconds; 0 for long ago. */
        volatile long bornMs;

        Box(String name) throws Exception {
            this.name = name;
            start(0);
        }

        void start(long born) throws Exception {
            bornMs = born;
            server = new StandInServer(name, 0, ledger).delay(kind.takesMs(), kind.jitterMs()).slots(kind.atOnce(), kind.queue(), kind.drops())
                .watcher(new StandInServer.Watcher() {
                    @Override
                    public void requestReceived(String effect, SocketAddress from) {
                        history.add(Type.CAME, "id", String.valueOf(effect), "box", name, "node", callers.getOrDefault(from, "unknown"));
                    }

                    @Override
                    public void requestExecuted(String effect) {
                        history.add(Type.RAN, "id", String.valueOf(effect), "box", name);
                    }
                });
            history.add(Type.BOX_STARTED, "box", name, "persecond", Double.toString(kind.perSecond()), "cold",
                Long.toString(born == 0 ? 0 : kind.coldMs()), "from", Double.toString(kind.coldFrom()));
        }
    }

    private final BoxSettings kind;
    private final History history;
    private final ExecutionCounter ledger = new ExecutionCounter();
    private final Map<String, Box> all = new LinkedHashMap<>();
    /** Which node each connection to a box comes from. */
    final Map<SocketAddress, String> callers = new ConcurrentHashMap<>();

    Boxes(Drill drill, History history) throws Exception {
        this.kind = drill.boxes();
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

    long bornMs(String box) {
        return all.get(box).bornMs;
    }

    void freeze(String box, boolean on) {
        all.get(box).server.frozen(on);
    }

    /** It ends, and starts from nothing, cold. */
    void restart(String box) throws Exception {
        Box b = all.get(box);
        b.server.close();
        b.start(System.currentTimeMillis());
    }

    /** Lets cold boxes work as fast as they can by now: the part of their capacity rises evenly while they are cold. */
    void warm() {
        long now = System.currentTimeMillis();
        for (Box b : all.values()) {
            if (b.bornMs > 0) {
                double age = kind.coldMs() == 0 ? 1 : Math.min(1, (double) (now - b.bornMs) / kind.coldMs());
                double part = kind.coldFrom() + (1 - kind.coldFrom()) * age;
                b.server.delay(Math.round(kind.takesMs() / part), Math.round(kind.jitterMs() / part));
            }
        }
    }

    @Override
    public void close() {
        all.values().forEach(b -> b.server.close());
    }
}
