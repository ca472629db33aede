package onyxpaddle.control;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Control processes and nodes of the program as built, with a link for each that calls another. All end with it, by their ids. */
final class ControlFleet implements AutoCloseable {
    /** Who calls, and what it calls. */
    private record Way(ControlMachine from, ControlMachine to) {
    }

    private final Path folder;
    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EchoServer backend = new EchoServer();
    private final List<ControlMachine> controls = new ArrayList<>();
    private final List<ConfiguredNode> nodes = new ArrayList<>();
    private final List<CuttableLink> further = new ArrayList<>();
    private final Map<Way, CuttableLink> between = new LinkedHashMap<>();

    ControlFleet(Path folder) throws IOException {
        this.folder = folder;
    }

    /** A control machine; nothing runs there yet. */
    ControlMachine machine(String name) throws IOException {
        ControlMachine control = new ControlMachine(name, folder.resolve(name));
        controls.add(control);
        return control;
    }

    /** Starts a replica that follows these, each over a link that later starts use too. */
    ControlMachine startReplica(ControlMachine replica, ControlMachine... follows) throws Exception {
        List<String> addresses = new ArrayList<>();
        for (ControlMachine followed : follows) {
            Way way = new Way(replica, followed);
            if (!between.containsKey(way)) {
                between.put(way, new CuttableLink(loops.next(), replica.name(), followed.address()));
            }
            addresses.add(between.get(way).address());
        }
        return replica.startReplica(addresses);
    }

    /** A further way to a control process, for one that does not follow it. */
    CuttableLink linkTo(ControlMachine to) throws InterruptedException {
        CuttableLink link = new CuttableLink(loops.next(), "other", to.address());
        further.add(link);
        return link;
    }

    /** The link by which a replica follows another control process. */
    CuttableLink link(ControlMachine from, ControlMachine to) {
        return between.get(new Way(from, to));
    }

    /** Starts a node that these tell, each over a link of its own. */
    ConfiguredNode startNode(String name, ControlMachine... told) throws Exception {
        ConfiguredNode node = new ConfiguredNode(name, folder.resolve(name), backend);
        nodes.add(node);
        for (ControlMachine control : told) {
            node.addLink(control, new CuttableLink(loops.next(), name, control.address()));
        }
        return node.start();
    }

    List<ConfiguredNode> nodes() {
        return List.copyOf(nodes);
    }

    /** Waits until all nodes have the routes to that path in force; returns after how many milliseconds the last one had them. */
    long awaitInForce(String path) throws InterruptedException {
        long begin = System.nanoTime();
        for (ConfiguredNode node : nodes) {
            node.awaitInForce(path);
        }
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin);
    }

    /** Delivers all that is held between any two. */
    void heal() {
        between.values().forEach(CuttableLink::heal);
        nodes.forEach(node -> node.links().forEach(CuttableLink::heal));
    }

    @Override
    public void close() {
        try {
            for (ConfiguredNode node : nodes) {
                node.end();
            }
            for (ControlMachine control : controls) {
                control.end();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            between.values().forEach(CuttableLink::close);
            further.forEach(CuttableLink::close);
            backend.close();
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
