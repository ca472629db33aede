package onyxpaddle.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** What hits many nodes at once: a day's restarts made faster, a rack, a zone, parted regions, a cold start of all, an outage of the service. */
final class FleetEvents implements ScaleScenario {
    /** Servers of a rack. */
    private static final int RACK = 20;
    private static final long DOWN_BEFORE_BACK_MS = 1_000;
    /** An event is measured for so long at the least: rates of a few milliseconds say nothing. */
    private static final long SHORTEST_MS = 1_000;
    private static final long PARTED_MS = 4_000;
    /** From then on in an outage the pauses of calls have reached their longest, and their spread is what counts. */
    private static final long SETTLED_PAUSES_MS = 2_500;
    /** Of all watches, those that may call in one tenth of a second once their pauses are spread: 0.2 retry, each answered one calls again. */
    private static final double MOST_IN_A_TENTH = 0.7;
    private static final double NANOS = 1e9;

    private final ScaleFleet fleet;
    private final FleetLayout layout;
    private final ScaleSize size;
    private final ScaleResult result;
    private int watches;

    FleetEvents(ScaleFleet fleet, ScaleSize size, ScaleResult result) {
        this.fleet = fleet;
        this.layout = fleet.layout;
        this.size = size;
        this.result = result;
    }

    @Override
    public void run(ScaleResult to) throws Exception {
        coldStart();
        calm();
        restart();
        List<Integer> rack = layout.ofZone(0, FleetLayout.ZONES).stream().limit(RACK).toList();
        lost("rack-loss", rack);
        back(null, rack);
        zone("quarter", 4);
        zone("eighth", 8);
        parted();
        outage();
    }

    void coldStart() throws Exception {
        EventFigures figures = begin("cold-start", layout.nodes());
        long at = System.nanoTime();
        fleet.start(layout.all().stream().map(fleet::plan).toList());
        HollowReply.Current current = end(figures, at);
        watches = current.watches();
    }

    private void calm() throws Exception {
        fleet.changeEach();
        fleet.awaitCurrent();
        Window.pass(DOWN_BEFORE_BACK_MS / 2);
        EventFigures figures = begin("calm", 0);
        Window.pass(2 * size.calmMs());
        figures.report(result, layout, fleet.read(), fleet.listCpu());
    }

    private void restart() throws Exception {
        int count = layout.nodes() * 240 / ScaleSize.WHOLE;
        EventFigures figures = begin("restart", count);
        long begin = System.nanoTime();
        long last = begin;
        for (int i = 0; i < count; i++) {
            List<Integer> one = List.of(i * 3 % layout.nodes());
            fleet.change(one, server -> server.with(ListedServer.Health.DRAINING));
            fleet.stop(one);
            fleet.change(one, server -> server.with(ListedServer.Health.GONE));
            fleet.start(one.stream().map(fleet::plan).toList());
            last = fleet.change(one, server -> server.started(System.currentTimeMillis()));
            Window.pass(Math.max(0, (i + 1) * size.restartMs() / count - (System.nanoTime() - begin) / 1_000_000));
        }
        end(figures, last);
    }

    private void zone(String part, int zones) throws Exception {
        List<Integer> those = layout.ofZone(0, zones);
        lost("zone-loss-" + part, those);
        Window.pass(DOWN_BEFORE_BACK_MS);
        back("zone-back-" + part, those);
    }

    private void lost(String event, List<Integer> servers) throws Exception {
        EventFigures figures = begin(event, servers.size());
        fleet.stop(servers);
        end(figures, fleet.change(servers, server -> server.with(ListedServer.Health.GONE)));
    }

    private void back(String event, List<Integer> servers) throws Exception {
        EventFigures figures = event == null ? null : begin(event, servers.size());
        long at = fleet.change(servers, server -> server.started(System.currentTimeMillis()));
        fleet.start(servers.stream().map(fleet::plan).toList());
        if (figures == null) {
            fleet.awaitCurrent();
        } else {
            end(figures, at);
        }
    }

    private void parted() throws Exception {
        List<Integer> half = layout.all().stream().filter(node -> layout.zone(node, FleetLayout.ZONES) >= FleetLayout.ZONES / 2).toList();
        EventFigures apart = begin("regions-parted", half.size());
        fleet.cut(half);
        for (long passed = 0; passed < PARTED_MS; passed += DOWN_BEFORE_BACK_MS) {
            fleet.changeEach();
            Window.pass(DOWN_BEFORE_BACK_MS);
        }
        apart.report(result, layout, fleet.read(), fleet.listCpu());
        EventFigures joined = begin("regions-joined", half.size());
        long at = System.nanoTime();
        fleet.cut(List.of());
        end(joined, at);
    }

    void outage() throws Exception {
        EventFigures figures = begin("outage", layout.nodes());
        fleet.down(true);
        Window.pass(SETTLED_PAUSES_MS);
        ListReply.Counts first = fleet.read();
        fleet.reset();
        Window.pass(size.outageMs() - SETTLED_PAUSES_MS);
        fleet.changeEach();
        long at = System.nanoTime();
        fleet.down(false);
        HollowReply.Current current = fleet.awaitCurrent();
        ListReply.Counts rest = fleet.read();
        figures.current(result, current, at);
        figures.report(result, layout, EventFigures.sum(first, rest), fleet.listCpu());
        result.check("outage.callsInATenth of all watches", rest.usualMostTenth() / watches, 0, MOST_IN_A_TENTH, "calls a watch");
    }

    private EventFigures begin(String event, int touched) throws IOException {
        result.event(new ScaleResult.Event(event, layout.nodes(), touched));
        fleet.reset();
        return new EventFigures(event, fleet.listCpu(), System.nanoTime(), size.listCapacity());
    }

    /** Waits until all hold what was changed last, at {@code at}. */
    private HollowReply.Current end(EventFigures figures, long at) throws IOException, InterruptedException {
        HollowReply.Current current = fleet.awaitCurrent();
        figures.current(result, current, at);
        Window.pass(Math.max(0, SHORTEST_MS - (System.nanoTime() - figures.begunAt()) / 1_000_000));
        figures.report(result, layout, fleet.read(), fleet.listCpu());
        return current;
    }

    /** The figures of one event, from the counts of the list service. */
    private record EventFigures(String event, long cpuBefore, long begunAt, double listCapacity) {
        private static final double WATCHES_BEHIND = 0;

        /** Of two parts of one event. */
        static ListReply.Counts sum(ListReply.Counts a, ListReply.Counts b) {
            List<ListReply.Door> doors = new ArrayList<>(a.doors());
            doors.addAll(b.doors());
            return new ListReply.Counts(a.seconds() + b.seconds(), Math.max(a.mostCalls(), b.mostCalls()),
                Math.max(a.mostCallsTenth(), b.mostCallsTenth()), b.usualMostTenth(), b.residentBytes(), doors);
        }

        void current(ScaleResult result, HollowReply.Current current, long at) {
            result.figure("list-service", event, "lastCurrent", "s", Math.max(0, (current.lastAtNanos() - at) / NANOS));
            result.check(event + ".watchesBehind", current.behind(), WATCHES_BEHIND, WATCHES_BEHIND, "watches");
        }

        void report(ScaleResult result, FleetLayout layout, ListReply.Counts counts, long cpuAfter) {
            List<ListReply.Door> doors = counts.doors();
            double seconds = counts.seconds();
            double wholes = doors.stream().mapToLong(ListReply.Door::wholes).sum();
            result.figure("list-service", event, "seconds", "s", seconds);
            result.figure("list-service", event, "cpuSeconds", "s", (cpuAfter - cpuBefore) / NANOS);
            result.figure("list-service", event, "cpu", "core-percent", (cpuAfter - cpuBefore) / NANOS / seconds * 100);
            result.figure("list-service", event, "memory", "MiB", counts.residentBytes() / 1048576.0);
            result.figure("list-service", event, "calls", "calls/s", doors.stream().mapToLong(ListReply.Door::calls).sum() / seconds);
            result.figure("list-service", event, "mostCalls", "calls/s", counts.mostCalls());
            result.figure("list-service", event, "mostCallsTenth", "calls/0.1s", counts.mostCallsTenth());
            result.figure("list-service", event, "turnedAway", "calls", doors.stream().mapToLong(ListReply.Door::turnedAway).sum());
            result.figure("list-service", event, "wholes", "lists", wholes);
            result.figure("list-service", event, "leastPossible", "s", wholes / listCapacity);
            result.figure("list-service", event, "wholesANode", "lists", wholes / layout.nodes());
            result.figure("list-service", event, "differences", "lists", doors.stream().mapToLong(ListReply.Door::differences).sum());
            result.figure("list-service", event, "bytesIn", "B/s", doors.stream().mapToLong(ListReply.Door::bytesIn).sum() / seconds);
            result.figure("list-service", event, "bytesOut", "B/s", doors.stream().mapToLong(ListReply.Door::bytesOut).sum() / seconds);
            for (FleetLayout.Role role : FleetLayout.Role.values()) {
                RoleFigures.of(role, layout, doors, seconds).report(result, event);
            }
        }
    }
}
