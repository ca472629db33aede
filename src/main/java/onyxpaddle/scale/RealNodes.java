package onyxpaddle.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The real processes of a run, by what each is for, with a list service of their own and a process with their hollow counterparts. Used
 * by one thread.
 */
final class RealNodes implements AutoCloseable {
    /** What a process is measured for. */
    enum Use {
        /** One list of 16 servers, at a rate of changes. */
        CHANGES,
        /** One list of its own size. */
        SERVERS,
        /** So many calm lists. */
        SERVICES,
        /** A calm front. */
        CALM_FRONT,
        /** No list: servers that are fixed. */
        FIXED,
        /** A sidecar or a front that has a hollow counterpart. */
        COMPARED
    }

    /** One process; {@code size}: of what it is measured at. */
    record Member(Use use, int size, RealNode node) {
    }

    /** Servers listed; the last is foretold. */
    static final List<Integer> SERVERS = List.of(115, 230, 345, 460, 920);
    /** Services watched; the last is foretold. */
    static final List<Integer> SERVICES = List.of(1, 2, 3, 4, 8);
    /** Processes whose rates of changes take turns. */
    static final int CHANGING = 5;
    static final int COMPARED_SIDECARS = 3;
    static final int COMPARED_FRONTS = 3;
    private static final int FRONTS = 2;
    private static final int FIXED = 2;
    /** Hollow counterparts have their numbers this much higher. */
    static final int HOLLOW = 500;
    static final int COMPARED_LIST = 30;
    private static final int SERVERS_LISTS = 10;
    private static final int CALM_LISTS = 20;
    private static final int LIST_CAPACITY = 1_000;

    private final Path folder;
    private final ChildProcess<ListCommand, ListReply> lists;
    private final ChildProcess<HollowCommand, HollowReply> hollow;
    private final List<Member> members = new ArrayList<>();
    private final Map<Integer, Integer> sizes = new LinkedHashMap<>();
    private int port;

    /** Starts all and waits until they are ready. */
    RealNodes(SeededFault fault) throws IOException, InterruptedException {
        folder = Files.createTempDirectory("scale");
        lists = new ChildProcess<>(ListServiceProcess.class, ScaleReckoning.LIST_HEAP, ListReply.class, Integer.toString(LIST_CAPACITY),
            fault.word());
        hollow = new ChildProcess<>(HollowProcess.class, ScaleReckoning.LIST_HEAP, HollowReply.class, fault.word());
        try {
            fill();
            startAll();
        } catch (IOException | InterruptedException | RuntimeException e) {
            close();
            throw e;
        }
    }

    /** How many processes of the program there are. */
    static int count() {
        return CHANGING + SERVERS.size() + SERVICES.size() + FRONTS + FIXED + COMPARED_SIDECARS + COMPARED_FRONTS;
    }

    private void fill() throws IOException {
        for (int i = 0; i < CHANGING; i++) {
            put(i, FleetLayout.SERVERS_A_SERVICE);
        }
        for (int i = 0; i < SERVERS.size(); i++) {
            put(SERVERS_LISTS + i, SERVERS.get(i));
        }
        for (int i = 0; i < SERVICES.get(SERVICES.size() - 1); i++) {
            put(CALM_LISTS + i, FleetLayout.SERVERS_A_SERVICE);
        }
        put(COMPARED_LIST, FleetLayout.SERVERS_A_SERVICE);
    }

    private void put(int list, int servers) throws IOException {
        sizes.put(list, servers);
        lists.ask(new ListCommand.Put(list, IntStream.range(0, servers).mapToObj(s -> line(list, s)).toList()), ListReply.Versioned.class);
    }

    private static ListedServer line(int list, int server) {
        return FleetLayout.line(list, server, server % FleetLayout.ZONES);
    }

    private void startAll() throws IOException, InterruptedException {
        for (int i = 0; i < CHANGING; i++) {
            add(Use.CHANGES, i, NodeKind.SIDECAR, List.of(i));
        }
        for (int i = 0; i < SERVERS.size(); i++) {
            add(Use.SERVERS, SERVERS.get(i), NodeKind.SIDECAR, List.of(SERVERS_LISTS + i));
        }
        for (int count : SERVICES) {
            add(Use.SERVICES, count, NodeKind.SIDECAR, IntStream.range(0, count).mapToObj(s -> CALM_LISTS + s).toList());
        }
        for (int i = 0; i < FRONTS; i++) {
            add(Use.CALM_FRONT, 1, NodeKind.FRONT, List.of(CALM_LISTS));
        }
        for (int i = 0; i < FIXED; i++) {
            add(Use.FIXED, 0, NodeKind.SIDECAR, List.of());
        }
        List<NodePlan> counterparts = new ArrayList<>();
        for (int i = 0; i < COMPARED_SIDECARS + COMPARED_FRONTS; i++) {
            NodeKind kind = i < COMPARED_SIDECARS ? NodeKind.SIDECAR : NodeKind.FRONT;
            RealNode real = add(Use.COMPARED, 1, kind, List.of(COMPARED_LIST)).node();
            open(real.plan.node() + HOLLOW, real.plan.services());
            counterparts.add(new NodePlan(real.plan.node() + HOLLOW, kind, real.plan.services(), port));
        }
        for (Member member : members) {
            member.node().awaitReady();
        }
        hollow.ask(new HollowCommand.Start(counterparts, COMPARED_FRONTS), HollowReply.Done.class);
        hollow.ask(new HollowCommand.AwaitCurrent(new HashMap<>(), ScaleFleet.PATIENCE_MS), HollowReply.Current.class);
    }

    private Member add(Use use, int size, NodeKind kind, List<Integer> services) throws IOException {
        int number = members.size();
        open(number, services);
        Member member = new Member(use, size, RealNode.start(new NodePlan(number, kind, services, port), COMPARED_FRONTS, folder));
        members.add(member);
        return member;
    }

    private void open(int node, Collection<Integer> services) throws IOException {
        for (int service : services) {
            port = lists.ask(new ListCommand.Open(service, List.of(node)), ListReply.Opened.class).port();
        }
    }

    List<Member> members() {
        return List.copyOf(members);
    }

    List<Member> of(Use use) {
        return members.stream().filter(member -> member.use() == use).toList();
    }

    /** One server of that list starts anew. */
    void change(int list, long number) throws IOException {
        int server = (int) (number % sizes.get(list));
        lists.ask(new ListCommand.Put(list, List.of(line(list, server).started(System.currentTimeMillis()))), ListReply.Versioned.class);
    }

    void reset() throws IOException {
        lists.ask(new ListCommand.Reset(), ListReply.Done.class);
    }

    ListReply.Counts read() throws IOException {
        return lists.ask(new ListCommand.Read(), ListReply.Counts.class);
    }

    List<Long> pids() {
        List<Long> pids = new ArrayList<>(List.of(lists.pid(), hollow.pid()));
        members.forEach(member -> pids.add(member.node().pid()));
        return pids;
    }

    @Override
    public void close() throws IOException {
        members.forEach(member -> member.node().close());
        hollow.close();
        lists.close();
        try (Stream<Path> left = Files.walk(folder)) {
            for (Path file : left.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
