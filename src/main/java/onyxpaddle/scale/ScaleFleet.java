package onyxpaddle.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/** A list service and hollow nodes that watch it, in processes of their own. Used by one thread. */
final class ScaleFleet implements AutoCloseable {
    /** A generous end for what must happen. */
    static final long PATIENCE_MS = 60_000;

    final FleetLayout layout;
    private final ChildProcess<ListCommand, ListReply> lists;
    private final List<ChildProcess<HollowCommand, HollowReply>> hollow = new ArrayList<>();
    private final Map<Integer, Long> versions = new HashMap<>();
    private final Map<Integer, ListedServer> servers = new TreeMap<>();
    private final int port;

    /** Starts the processes and puts the fleet's lists in; {@code nodes}: numbers below this may be started. */
    ScaleFleet(FleetLayout layout, int nodes, double listCapacity, SeededFault fault) throws IOException {
        this.layout = layout;
        lists = new ChildProcess<>(ListServiceProcess.class, ScaleReckoning.LIST_HEAP, ListReply.class, Double.toString(listCapacity), fault.word());
        for (int first = 0; first < nodes; first += ScaleReckoning.HOLLOW_NODES) {
            hollow.add(new ChildProcess<>(HollowProcess.class, ScaleReckoning.HOLLOW_HEAP, HollowReply.class, fault.word()));
        }
        int opened = 0;
        for (int service = 0; service < layout.services(); service++) {
            List<Integer> doors = new ArrayList<>();
            for (int node = 0; node < nodes; node++) {
                if (layout.watched(node).contains(service) || layout.watched(node, FleetLayout.MEAN_SERVICES).contains(service)) {
                    doors.add(node);
                }
            }
            opened = lists.ask(new ListCommand.Open(service, doors), ListReply.Opened.class).port();
            put(service, layout.lines(service));
        }
        port = opened;
        for (int server = 0; server < layout.nodes(); server++) {
            servers.put(server, FleetLayout.line(layout.service(server), server, layout.zone(server, FleetLayout.ZONES)));
        }
    }

    /** A node of the fleet, by its role. */
    NodePlan plan(int node) {
        NodeKind kind = layout.role(node) == FleetLayout.Role.FRONT ? NodeKind.FRONT : NodeKind.SIDECAR;
        return new NodePlan(node, kind, layout.watched(node), port);
    }

    /** The same node as a sidecar that watches as many services as most. */
    NodePlan meanPlan(int node) {
        return new NodePlan(node, NodeKind.SIDECAR, layout.watched(node, FleetLayout.MEAN_SERVICES), port);
    }

    void start(List<NodePlan> plans) throws IOException {
        for (int i = 0; i < hollow.size(); i++) {
            int process = i;
            hollow.get(i).ask(new HollowCommand.Start(plans.stream().filter(p -> process(p.node()) == process).toList(), layout.fronts()),
                HollowReply.Done.class);
        }
    }

    void stop(List<Integer> nodes) throws IOException {
        for (int i = 0; i < hollow.size(); i++) {
            int process = i;
            hollow.get(i).ask(new HollowCommand.Stop(nodes.stream().filter(n -> process(n) == process).toList()), HollowReply.Done.class);
        }
    }

    private static int process(int node) {
        return node / ScaleReckoning.HOLLOW_NODES;
    }

    private ListReply.Versioned put(int service, List<ListedServer> lines) throws IOException {
        ListReply.Versioned put = lists.ask(new ListCommand.Put(service, lines), ListReply.Versioned.class);
        versions.put(service, put.version());
        return put;
    }

    /** Changes these servers' lines, each service's in one version; returns when the last was put, by the monotonic clock. */
    long change(List<Integer> numbers, UnaryOperator<ListedServer> how) throws IOException {
        Map<Integer, List<ListedServer>> byService = new TreeMap<>();
        for (int number : numbers) {
            ListedServer next = how.apply(servers.get(number));
            servers.put(number, next);
            byService.computeIfAbsent(layout.service(number), s -> new ArrayList<>()).add(next);
        }
        long last = System.nanoTime();
        for (Map.Entry<Integer, List<ListedServer>> service : byService.entrySet()) {
            last = put(service.getKey(), service.getValue()).atNanos();
        }
        return last;
    }

    /** One change in each list: its first server starts anew. */
    long changeEach() throws IOException {
        List<Integer> first = new ArrayList<>();
        for (int service = 0; service < layout.services(); service++) {
            first.add(service);
        }
        return change(first, server -> server.started(System.currentTimeMillis()));
    }

    /** Waits until every watch holds the newest version of its list. */
    HollowReply.Current awaitCurrent() throws IOException {
        int watches = 0;
        int behind = 0;
        long last = 0;
        for (ChildProcess<HollowCommand, HollowReply> process : hollow) {
            HollowReply.Current one = process.ask(new HollowCommand.AwaitCurrent(versions, PATIENCE_MS), HollowReply.Current.class);
            watches += one.watches();
            behind += one.behind();
            last = Math.max(last, one.lastAtNanos());
        }
        return new HollowReply.Current(watches, behind, last);
    }

    /** The list service makes so many whole lists a second from now on. */
    void capacity(double wholesPerSecond) throws IOException {
        lists.ask(new ListCommand.Capacity(wholesPerSecond), ListReply.Done.class);
    }

    /** Bytes that the list service holds live. */
    long listLive() throws IOException {
        return lists.ask(new ListCommand.ReadLive(), ListReply.Live.class).bytes();
    }

    void down(boolean down) throws IOException {
        lists.ask(new ListCommand.Down(down), ListReply.Done.class);
    }

    void cut(List<Integer> nodes) throws IOException {
        lists.ask(new ListCommand.Cut(nodes), ListReply.Done.class);
    }

    void reset() throws IOException {
        lists.ask(new ListCommand.Reset(), ListReply.Done.class);
    }

    ListReply.Counts read() throws IOException {
        return lists.ask(new ListCommand.Read(), ListReply.Counts.class);
    }

    /** Processor time of the list service since its start, in nanoseconds. */
    long listCpu() throws IOException {
        return lists.ask(new ListCommand.ReadCpu(), ListReply.Cpu.class).nanos();
    }

    /** The run's own processes, for its memory. */
    List<Long> pids() {
        List<Long> pids = new ArrayList<>(List.of(lists.pid()));
        hollow.forEach(process -> pids.add(process.pid()));
        return pids;
    }

    @Override
    public void close() {
        hollow.forEach(ChildProcess::close);
        lists.close();
    }
}
