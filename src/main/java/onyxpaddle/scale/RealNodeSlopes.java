package onyxpaddle.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import onyxpaddle.scale.RealNodes.Member;
import onyxpaddle.scale.RealNodes.Use;

/**
 * What a real node needs as changes, listed servers and watched services grow, and whether a hollow one costs the list service the same. All
 * processes are measured in the same windows; the rates of changes take turns among them, a round each.
 */
final class RealNodeSlopes implements ScaleScenario {
    /** Changes a second of a watched list; the last is foretold. */
    private static final List<Integer> RATES = List.of(1, 2, 3, 4, 8);
    private static final int COMPARED_RATE = 1;
    private static final int WARM_RATE = 20;
    private static final long WARM_MS = 3_000;
    private static final double NANOS = 1e9;
    private static final double PERCENT = 100;
    private static final double TENTH = 0.1;

    /** What one process used in one window. */
    private record Used(double cpuPercent, double calls, double bytesIn, double bytesOut, double differences) {
    }

    private final RealNodes nodes;
    private final long windowMs;
    private final int rounds;
    private final Map<Member, Double> calmCpu = new HashMap<>();
    private final Map<Integer, List<Used>> byRate = new TreeMap<>();
    private final Map<Member, List<Used>> others = new LinkedHashMap<>();
    private final List<ListReply.Door> compared = new ArrayList<>();

    RealNodeSlopes(RealNodes nodes, long windowMs, int rounds) {
        this.nodes = nodes;
        this.windowMs = windowMs;
        this.rounds = rounds;
    }

    @Override
    public void run(ScaleResult result) throws Exception {
        wholes(result);
        publish(new int[] {WARM_RATE, WARM_RATE, WARM_RATE, WARM_RATE, WARM_RATE}, WARM_RATE, WARM_RATE, WARM_MS);
        window(new int[RealNodes.CHANGING], 0).forEach((member, used) -> calmCpu.put(member, used.cpuPercent()));
        for (int round = 0; round < rounds; round++) {
            int[] rates = new int[RealNodes.CHANGING];
            for (int i = 0; i < rates.length; i++) {
                rates[i] = RATES.get((i + round) % RATES.size());
            }
            window(rates, COMPARED_RATE).forEach((member, used) -> {
                if (member.use() == Use.CHANGES) {
                    byRate.computeIfAbsent(rates[member.size()], r -> new ArrayList<>()).add(used);
                } else {
                    others.computeIfAbsent(member, m -> new ArrayList<>()).add(used);
                }
            });
        }
        changes(result);
        servers(result);
        services(result);
        roles(result);
        compare(result);
    }

    /** Since their start each has fetched its lists whole once. */
    private void wholes(ScaleResult result) throws IOException {
        Map<Integer, Double> bytes = new HashMap<>();
        for (ListReply.Door door : nodes.read().doors()) {
            bytes.merge(door.node(), door.bytesOut() / (double) Math.max(1, door.wholes()), Double::sum);
        }
        List<SlopeFit.Point> points = nodes.of(Use.SERVERS).stream()
            .map(m -> new SlopeFit.Point(m.size(), List.of(bytes.get(m.node().plan.node())))).toList();
        slope(result, "servers", "bytesAWhole", "B", points, true);
    }

    /** Publishes at these rates until the time is over. */
    private void publish(int[] rates, int serversRate, int comparedRate, long millis) throws IOException, InterruptedException {
        Map<Integer, Integer> perSecond = new LinkedHashMap<>();
        for (int list = 0; list < rates.length; list++) {
            perSecond.put(list, rates[list]);
        }
        for (Member member : nodes.of(Use.SERVERS)) {
            perSecond.put(member.node().plan.services().get(0), serversRate);
        }
        perSecond.put(RealNodes.COMPARED_LIST, comparedRate);
        Map<Integer, Long> made = new HashMap<>();
        long begin = System.nanoTime();
        for (long passed = 0; passed < millis; passed = (System.nanoTime() - begin) / 1_000_000) {
            for (Map.Entry<Integer, Integer> list : perSecond.entrySet()) {
                long due = passed * list.getValue() / 1_000;
                for (long next = made.getOrDefault(list.getKey(), 0L); next < due; next++) {
                    nodes.change(list.getKey(), next);
                }
                made.put(list.getKey(), due);
            }
            Window.pass(1);
        }
    }

    private Map<Member, Used> window(int[] rates, int rate) throws IOException, InterruptedException {
        Map<Member, Long> before = new LinkedHashMap<>();
        nodes.reset();
        long begin = System.nanoTime();
        for (Member member : nodes.members()) {
            before.put(member, member.node().cpuNanos());
        }
        publish(rates, rate, rate, windowMs);
        double seconds = (System.nanoTime() - begin) / NANOS;
        Map<Member, Used> used = new LinkedHashMap<>();
        Map<Member, Double> cpu = new HashMap<>();
        for (Member member : nodes.members()) {
            cpu.put(member, (member.node().cpuNanos() - before.get(member)) / NANOS / seconds * PERCENT);
        }
        ListReply.Counts counts = nodes.read();
        compared.addAll(counts.doors().stream().filter(door -> door.service() == RealNodes.COMPARED_LIST).toList());
        for (Member member : nodes.members()) {
            List<ListReply.Door> own = counts.doors().stream().filter(door -> door.node() == member.node().plan.node()).toList();
            used.put(member, new Used(cpu.get(member), sum(own, ListReply.Door::calls) / counts.seconds(),
                sum(own, ListReply.Door::bytesOut) / counts.seconds(), sum(own, ListReply.Door::bytesIn) / counts.seconds(),
                sum(own, ListReply.Door::differences) / counts.seconds()));
        }
        return used;
    }

    private static double sum(List<ListReply.Door> doors, ToLongFunction<ListReply.Door> of) {
        return doors.stream().mapToLong(of).sum();
    }

    private void changes(ScaleResult result) {
        double calm = nodes.of(Use.CHANGES).stream().mapToDouble(calmCpu::get).average().orElse(0);
        result.figure("sidecar", "calm", "cpuIdle", "core-percent", calm);
        changeSlope(result, "cpu", "core-percent", used -> used.cpuPercent() - calm, false);
        changeSlope(result, "calls", "calls/s", Used::calls, true);
        changeSlope(result, "bytesIn", "B/s", Used::bytesIn, true);
    }

    private void changeSlope(ScaleResult result, String quantity, String unit, ToDoubleFunction<Used> of, boolean counted) {
        List<SlopeFit.Point> points = byRate.entrySet().stream()
            .map(e -> new SlopeFit.Point(e.getKey(), e.getValue().stream().map(of::applyAsDouble).toList())).toList();
        slope(result, "changes", quantity, unit, points, counted);
    }

    private void servers(ScaleResult result) throws IOException {
        slope(result, "servers", "cpu", "core-percent", points(Use.SERVERS, Used::cpuPercent), false);
        slope(result, "servers", "bytesIn", "B/s", points(Use.SERVERS, Used::bytesIn), true);
        slope(result, "servers", "memory", "MiB", memory(Use.SERVERS), false);
    }

    private void services(ScaleResult result) throws IOException {
        slope(result, "services", "cpu", "core-percent", points(Use.SERVICES, Used::cpuPercent), false);
        slope(result, "services", "calls", "calls/s", points(Use.SERVICES, Used::calls), true);
        slope(result, "services", "bytesIn", "B/s", points(Use.SERVICES, Used::bytesIn), true);
        slope(result, "services", "memory", "MiB", memory(Use.SERVICES), false);
    }

    private List<SlopeFit.Point> points(Use use, ToDoubleFunction<Used> of) {
        return nodes.of(use).stream().map(m -> new SlopeFit.Point(m.size(), others.get(m).stream().map(of::applyAsDouble).toList())).toList();
    }

    private List<SlopeFit.Point> memory(Use use) throws IOException {
        List<SlopeFit.Point> points = new ArrayList<>();
        for (Member member : nodes.of(use)) {
            points.add(new SlopeFit.Point(member.size(), List.of(member.node().residentMiB())));
        }
        return points;
    }

    private static void slope(ScaleResult result, String over, String quantity, String unit, List<SlopeFit.Point> points, boolean counted) {
        SlopeFit fit = SlopeFit.of(points);
        result.slope(new ScaleResult.Slope("sidecar", over, quantity, unit, fit));
        if (counted) {
            result.check("sidecar." + over + "." + quantity + " foretold", fit.apart(), 0, SlopeFit.LINEAR_WITHIN, "of the measured");
        }
    }

    /** What a calm node needs in all, and what of that is control: the same less what one with fixed servers needs. */
    private void roles(ScaleResult result) throws IOException {
        double fixedCpu = median(nodes.of(Use.FIXED), Used::cpuPercent);
        double fixedMemory = memoryOf(nodes.of(Use.FIXED));
        result.figure("sidecar", "calm", "cpuFixed", "core-percent", fixedCpu);
        result.figure("sidecar", "calm", "memoryFixed", "MiB", fixedMemory);
        List<Member> fronts = nodes.of(Use.CALM_FRONT);
        result.figure("front", "calm", "cpu", "core-percent", median(fronts, Used::cpuPercent));
        result.figure("front", "calm", "memory", "MiB", memoryOf(fronts));
        role(result, "sidecar-mean", services(FleetLayout.MEAN_SERVICES), fixedCpu, fixedMemory);
        role(result, "sidecar-hottest", services(FleetLayout.HOTTEST_SERVICES), fixedCpu, fixedMemory);
    }

    private List<Member> services(int count) {
        return nodes.of(Use.SERVICES).stream().filter(member -> member.size() == count).toList();
    }

    private void role(ScaleResult result, String role, List<Member> members, double fixedCpu, double fixedMemory) throws IOException {
        double cpu = median(members, Used::cpuPercent);
        double memory = memoryOf(members);
        result.figure(role, "calm", "cpu", "core-percent", cpu);
        result.figure(role, "calm", "cpuControl", "core-percent", cpu - fixedCpu);
        result.figure(role, "calm", "memory", "MiB", memory);
        result.figure(role, "calm", "memoryControl", "MiB", memory - fixedMemory);
    }

    private double median(List<Member> members, ToDoubleFunction<Used> of) {
        return new SlopeFit.Point(0, members.stream().flatMap(m -> others.get(m).stream()).map(of::applyAsDouble).toList()).median();
    }

    private static double memoryOf(List<Member> members) throws IOException {
        List<Double> resident = new ArrayList<>();
        for (Member member : members) {
            resident.add(member.node().residentMiB());
        }
        return new SlopeFit.Point(0, resident).median();
    }

    /** A hollow node beside a real one of its kind, over the same windows of the same list. */
    private void compare(ScaleResult result) {
        for (NodeKind kind : NodeKind.values()) {
            List<Integer> real = nodes.of(Use.COMPARED).stream().map(m -> m.node().plan).filter(p -> p.kind() == kind).map(NodePlan::node).toList();
            List<ListReply.Door> reals = compared.stream().filter(door -> real.contains(door.node())).toList();
            List<ListReply.Door> hollows = compared.stream().filter(door -> real.contains(door.node() - RealNodes.HOLLOW)).toList();
            String row = "hollow." + kind.name().toLowerCase(java.util.Locale.ROOT) + ".";
            ratio(result, row + "calls", usual(hollows, ListReply.Door::calls), usual(reals, ListReply.Door::calls));
            ratio(result, row + "bytesIn", usual(hollows, ListReply.Door::bytesIn), usual(reals, ListReply.Door::bytesIn));
            ratio(result, row + "bytesOut", usual(hollows, ListReply.Door::bytesOut), usual(reals, ListReply.Door::bytesOut));
            ratio(result, row + "interval", interval(hollows), interval(reals));
        }
    }

    /** The median over nodes, each the sum of its windows: one that stalled and fetched its list whole again does not move it. */
    private static double usual(List<ListReply.Door> doors, ToLongFunction<ListReply.Door> of) {
        Map<Integer, Long> byNode = doors.stream().collect(Collectors.groupingBy(ListReply.Door::node, Collectors.summingLong(of)));
        return new SlopeFit.Point(0, byNode.values().stream().map(Long::doubleValue).toList()).median();
    }

    /** Seconds from a call to the next, the mean of all. */
    private static double interval(List<ListReply.Door> doors) {
        return doors.stream().mapToDouble(ListReply.Door::meanInterval).filter(Double::isFinite).average().orElse(Double.NaN);
    }

    private static void ratio(ScaleResult result, String row, double hollow, double real) {
        result.check(row, hollow / real, 1 - TENTH, 1 + TENTH, "of a real node's");
    }
}
