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

/** Control processes and nodes as processes of the packaged program, with a link between each pair that communicates. */
final class ControlFleet implements AutoCloseable {
    private record Route(ControlMachine client, ControlMachine server) {
    }

    private final Path folder;
    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EchoServer backend = new EchoServer();
    private final List<ControlMachine> controls = new ArrayList<>();
    private final List<ConfiguredNode> nodes = new ArrayList<>();
    private final List<PartitionableLink> extraLinks = new ArrayList<>();
    private final Map<Route, PartitionableLink> replicaLinks = new LinkedHashMap<>();

    ControlFleet(Path folder) throws IOException {
        this.folder = folder;
    }

    /** Adds a control machine on which nothing runs yet. */
    ControlMachine machine(String name) throws IOException {
        ControlMachine control = new ControlMachine(name, folder.resolve(name));
        controls.add(control);
        return control;
    }

    /** Starts a replica that follows these, each over a link that is reused by later starts. */
    ControlMachine startReplica(ControlMachine replica, ControlMachine... follows) throws Exception {
        List<String> addresses = new ArrayList<>();
        for (ControlMachine followed : follows) {
            Route route = new Route(replica, followed);
            if (!replicaLinks.containsKey(route)) {
                replicaLinks.put(route, new PartitionableLink(loops.next(), replica.name(), followed.address()));
            }
            addresses.add(replicaLinks.get(route).address());
        }
        return replica.startReplica(addresses);
    }

    /** Adds a link to a control process, for a client that does not follow it. */
    PartitionableLink extraLink(ControlMachine server) throws InterruptedException {
        PartitionableLink link = new PartitionableLink(loops.next(), "other", server.address());
        extraLinks.add(link);
        return link;
    }

    /** Returns the link over which a replica follows another control process. */
    PartitionableLink link(ControlMachine client, ControlMachine server) {
        return replicaLinks.get(new Route(client, server));
    }

    /** Starts a node that uses these control processes, each over a link of its own. */
    ConfiguredNode startNode(String name, ControlMachine... controlMachines) throws Exception {
        ConfiguredNode node = new ConfiguredNode(name, folder.resolve(name), backend);
        nodes.add(node);
        for (ControlMachine control : controlMachines) {
            node.addLink(control, new PartitionableLink(loops.next(), name, control.address()));
        }
        return node.start();
    }

    List<ConfiguredNode> nodes() {
        return List.copyOf(nodes);
    }

    /** Waits until all nodes have the routes to that path in force; returns how many milliseconds that took. */
    long awaitInForce(String path) throws InterruptedException {
        long begin = System.nanoTime();
        for (ConfiguredNode node : nodes) {
            node.awaitInForce(path);
        }
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin);
    }

    /** Restores all links of replicas and nodes, and delivers what they held. */
    void restoreLinks() {
        replicaLinks.values().forEach(PartitionableLink::restore);
        nodes.forEach(node -> node.links().forEach(PartitionableLink::restore));
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
            replicaLinks.values().forEach(PartitionableLink::close);
            extraLinks.forEach(PartitionableLink::close);
            backend.close();
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
