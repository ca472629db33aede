package onyxpaddle.scale;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * What the list service needs as the nodes grow, calm and a change, and as the changes grow. The sizes come in turn in each round, in an
 * order that each round begins elsewhere.
 */
final class ListServiceSlopes implements ScaleScenario {
    /** After the change by which all watches begin at once, so that a window's edges lie far from where they end. */
    private static final long SETTLE_MS = 400;
    /** Changes of every list in a window, and between two of them. */
    private static final int CHANGES = 6;
    private static final long CHANGE_EVERY_MS = 80;
    /** Changes a second of the whole fleet, a list in turn; the last is foretold. */
    private static final List<Integer> RATES = List.of(10, 20, 30, 40, 80);
    private static final long RATE_MS = 800;
    /** Fewer than these would have the slopes measure the pace of whole lists. */
    private static final double UNBOUND = 1e6;
    /** Before the first round, so that it does not measure a process that has just started. */
    private static final int WARM_CHANGES = 30;
    private static final double NANOS = 1e9;
    private static final double MIB = 1 << 20;
    private static final double PERCENT = 100;
    /** An idle watch of 2 s: the calls a second that it makes, with room for the way there and back and for a window's edges. */
    private static final double FEWEST_CALLS = 0.4;
    private static final double MOST_CALLS = 0.55;
    /** HTTP's head of an answer, of which a watch adds one a change: with the line it carries this bounds what a change may take. */
    private static final int HEAD_BYTES = 120;

    private enum Quantity {
        CALLS("calls", "calls/s", true), BYTES_IN("bytesIn", "B/s", true), BYTES_OUT("bytesOut", "B/s", true),
        BYTES_A_CHANGE("bytesAChange", "B", true), CPU("cpu", "core-percent", false), CPU_A_CHANGE("cpuAChange", "ms", false),
        MEMORY_LIVE("memoryLive", "MiB", false);

        private final String word;
        private final String unit;
        /** Counted and not timed: it has to be foretold, however busy the machine is. */
        private final boolean counted;

        Quantity(String word, String unit, boolean counted) {
            this.word = word;
            this.unit = unit;
            this.counted = counted;
        }
    }

    private final ScaleFleet fleet;
    private final ScaleSize size;
    private final Map<Quantity, Map<Integer, List<Double>>> overNodes = new EnumMap<>(Quantity.class);
    private final Map<Integer, List<Double>> cpuByRate = new TreeMap<>();
    private final Map<Integer, List<Double>> bytesByRate = new TreeMap<>();
    private final List<Double> callsAWatch = new ArrayList<>();
    private double worstDelivery;
    private int started;

    ListServiceSlopes(ScaleFleet fleet, ScaleSize size) {
        this.fleet = fleet;
        this.size = size;
    }

    @Override
    public void run(ScaleResult result) throws Exception {
        fleet.capacity(UNBOUND);
        scale(size.nodes().get(size.nodes().size() - 1));
        for (int i = 0; i < WARM_CHANGES; i++) {
            fleet.changeEach();
            fleet.awaitCurrent();
        }
        for (int round = 0; round < size.rounds(); round++) {
            for (int i = 0; i < size.nodes().size(); i++) {
                atSize(size.nodes().get((i + round) % size.nodes().size()));
            }
        }
        scale(size.nodes().get(size.nodes().size() - 2));
        for (int round = 0; round < size.rounds(); round++) {
            for (int i = 0; i < RATES.size(); i++) {
                atRate(RATES.get((i + round) % RATES.size()));
            }
        }
        scale(0);
        fleet.capacity(size.listCapacity());
        report(result);
    }

    /** Starts or stops nodes until so many run, all with the newest lists. */
    private void scale(int nodes) throws Exception {
        if (nodes > started) {
            fleet.start(IntStream.range(started, nodes).mapToObj(fleet::meanPlan).toList());
        } else {
            fleet.stop(IntStream.range(nodes, started).boxed().toList());
        }
        started = nodes;
        fleet.awaitCurrent();
    }

    private void atSize(int nodes) throws Exception {
        scale(nodes);
        fleet.changeEach();
        int watches = fleet.awaitCurrent().watches();
        Window.pass(SETTLE_MS);
        fleet.reset();
        long cpu = fleet.listCpu();
        long begin = System.nanoTime();
        Window.pass(size.calmMs());
        double calm = (fleet.listCpu() - cpu) / (double) (System.nanoTime() - begin);
        ListReply.Counts counts = fleet.read();
        double calls = counts.doors().stream().mapToLong(ListReply.Door::calls).sum() / counts.seconds();
        callsAWatch.add(calls / watches);
        add(Quantity.CALLS, nodes, calls);
        add(Quantity.BYTES_IN, nodes, counts.doors().stream().mapToLong(ListReply.Door::bytesIn).sum() / counts.seconds());
        add(Quantity.BYTES_OUT, nodes, bytesOut(counts) / counts.seconds());
        add(Quantity.CPU, nodes, calm * PERCENT);
        add(Quantity.MEMORY_LIVE, nodes, fleet.listLive() / MIB);
        changes(nodes, watches, calm);
    }

    private void changes(int nodes, int watches, double calm) throws Exception {
        fleet.reset();
        long cpu = fleet.listCpu();
        long begin = System.nanoTime();
        for (int i = 0; i < CHANGES; i++) {
            fleet.changeEach();
            Window.pass(CHANGE_EVERY_MS);
        }
        fleet.awaitCurrent();
        double used = fleet.listCpu() - cpu - calm * (System.nanoTime() - begin);
        ListReply.Counts counts = fleet.read();
        double bytes = bytesOut(counts);
        worstDelivery = Math.max(worstDelivery, bytes / CHANGES / watches);
        add(Quantity.CPU_A_CHANGE, nodes, used / 1e6 / CHANGES);
        add(Quantity.BYTES_A_CHANGE, nodes, bytes / CHANGES);
    }

    private void atRate(int perSecond) throws Exception {
        fleet.awaitCurrent();
        fleet.reset();
        long cpu = fleet.listCpu();
        long begin = System.nanoTime();
        long count = perSecond * RATE_MS / 1_000;
        for (int i = 0; i < count; i++) {
            fleet.change(List.of(i % fleet.layout.nodes()), server -> server.started(System.currentTimeMillis()));
            Window.pass(Math.max(0, (i + 1) * 1_000L / perSecond - (System.nanoTime() - begin) / 1_000_000));
        }
        fleet.awaitCurrent();
        double seconds = (System.nanoTime() - begin) / NANOS;
        cpuByRate.computeIfAbsent(perSecond, r -> new ArrayList<>()).add((fleet.listCpu() - cpu) / NANOS / seconds * PERCENT);
        bytesByRate.computeIfAbsent(perSecond, r -> new ArrayList<>()).add(bytesOut(fleet.read()) / seconds);
    }

    private static double bytesOut(ListReply.Counts counts) {
        return counts.doors().stream().mapToLong(ListReply.Door::bytesOut).sum();
    }

    private void add(Quantity quantity, int nodes, double value) {
        overNodes.computeIfAbsent(quantity, q -> new TreeMap<>()).computeIfAbsent(nodes, n -> new ArrayList<>()).add(value);
    }

    private void report(ScaleResult result) {
        overNodes.forEach((quantity, bySize) -> {
            SlopeFit fit = fit(bySize);
            result.slope(new ScaleResult.Slope("list-service", "nodes", quantity.word, quantity.unit, fit));
            if (quantity.counted) {
                result.check("list-service.nodes." + quantity.word + " foretold", fit.apart(), 0, SlopeFit.LINEAR_WITHIN, "of the measured");
            }
        });
        result.slope(new ScaleResult.Slope("list-service", "changes", "cpu", "core-percent", fit(cpuByRate)));
        result.slope(new ScaleResult.Slope("list-service", "changes", "bytesOut", "B/s", fit(bytesByRate)));
        result.check("calm.callsAWatch", new SlopeFit.Point(0, callsAWatch).median(), FEWEST_CALLS, MOST_CALLS, "calls/s");
        int line = ListJson.write(new ListTable.Answer(1, false, List.of(FleetLayout.line(0, 0, 0).started(System.currentTimeMillis())))).length;
        result.check("change.bytesADelivery", worstDelivery, line, 2.0 * (line + HEAD_BYTES), "B");
    }

    private static SlopeFit fit(Map<Integer, List<Double>> bySize) {
        return SlopeFit.of(new TreeMap<>(bySize).entrySet().stream().map(e -> new SlopeFit.Point(e.getKey(), e.getValue())).toList());
    }
}
