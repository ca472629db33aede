package onyxpaddle.drill;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import onyxpaddle.drill.Drill.Cut;
import onyxpaddle.drill.Drill.Fault;
import onyxpaddle.drill.Event.Type;

/** Runs a drill: starts node processes, boxes, lists and links, then the load and the faults, and writes the history. */
public final class DrillRun implements AutoCloseable {
    /** How long the front keeps sending requests to a node that is dead or suspended. */
    private static final long FRONT_DETECTION_MS = 1_000;
    private static final long MAX_OVERTIME_MS = 120_000;
    private static final long POLL_MS = 100;

    /** The result of a drill; {@code logs} is what each node wrote, over all its processes. */
    public record Outcome(HistoryCheck.Verdict verdict, ClientStatistics figures, String table, Map<String, Double> cpuSeconds,
            Map<String, String> logs) {
        public Outcome {
            logs = Map.copyOf(logs);
            cpuSeconds = Map.copyOf(cpuSeconds);
        }
    }

    private final Drill drill;
    private final History history;
    private final Path folder = Files.createTempDirectory("drill");
    private final MultiThreadIoEventLoopGroup clients = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final MultiThreadIoEventLoopGroup links = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(8, task -> {
        Thread thread = new Thread(task, "schedule");
        thread.setDaemon(true);
        return thread;
    });
    private final Boxes boxes;
    private final ListService lists;
    private final LoadGenerator loadGenerator;
    private final ClientStatistics figures = new ClientStatistics();
    private final Map<String, Link> linksBySites = new HashMap<>();
    private final Map<String, List<Relay>> relaysByLink = new HashMap<>();
    /** Additional environment variables of every node. */
    private Map<String, String> environment = Map.of();
    private final Map<String, Path> configs = new LinkedHashMap<>();
    private final Map<String, ServeProcess> processes = new ConcurrentHashMap<>();
    private final Set<String> unavailable = ConcurrentHashMap.newKeySet();
    private final AtomicReference<Throwable> failed = new AtomicReference<>();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong pendingSteps = new AtomicLong();
    private final AtomicLong faultsBegun = new AtomicLong();

    /** Writes the history to {@code file}, or nowhere if it is null. */
    public DrillRun(Drill drill, Path file) throws Exception {
        this.drill = drill;
        this.history = new History(file);
        history.add(Type.DRILL, "name", drill.name(), "seed", Long.toString(drill.seed()), "latest", Long.toString(maxArrivalDelayMs()),
            "drain-grace", Long.toString(drill.nodes().drainGraceMs()), "cold-multiple", Double.toString(drill.nodes().coldMultiple()),
            "cold-window", Long.toString(drill.nodes().coldWindowMs()));
        this.boxes = new Boxes(drill, history);
        this.lists = new ListService(history);
        this.loadGenerator = new LoadGenerator(drill, history, figures, clients.next());
    }

    /** The longest time that the drill's faults of links and boxes can delay a request on its way to a box. */
    private long maxArrivalDelayMs() {
        long max = 0;
        for (Fault f : drill.faults()) {
            boolean holds = f.cut() == Cut.SILENT || f.cut() == Cut.ONE_WAY || f.kind() == Drill.Kind.FREEZE
                || f.kind() == Drill.Kind.LOSE;
            max = Math.max(max, holds ? f.forMs() : f.cut() == Cut.DELAYED ? (long) (1.5 * f.size())
                : f.cut() == Cut.SLOW ? drill.durationMs() : 0);
        }
        return max;
    }

    public Outcome play() throws Exception {
        startNodes();
        scheduler.scheduleWithFixedDelay(boxes::updateColdSpeed, POLL_MS, POLL_MS, TimeUnit.MILLISECONDS);
        Map<Long, List<Fault>> waiting = drill.faults().stream().collect(Collectors.groupingBy(Fault::afterServed));
        history.addListener(event -> {
            if (event.type() == Type.ANSWERED && event.get("status").equals("200")) {
                waiting.getOrDefault(served.incrementAndGet(), List.of()).forEach(this::schedule);
            }
        });
        Future<Void> load = loadGenerator.start();
        waiting.getOrDefault(0L, List.of()).forEach(this::schedule);
        long timeoutMs = drill.durationMs() + MAX_OVERTIME_MS;
        try {
            load.get(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            throw new IOException("the load did not end within " + timeoutMs + " ms", e);
        }
        while (pendingSteps.get() > 0 && failed.get() == null) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        if (failed.get() != null) {
            throw new IOException("the schedule failed: " + failed.get(), failed.get());
        }
        if (faultsBegun.get() < drill.faults().size()) {
            // Without its faults a drill shows nothing, so that it must not pass.
            throw new IOException(drill.faults().size() - faultsBegun.get()
                + " faults never began, as only " + served.get() + " requests were served");
        }
        history.add(Type.HEALED);
        for (Map.Entry<String, ServeProcess> p : processes.entrySet()) {
            if (!p.getValue().call("GET /ready").startsWith("HTTP/1.1 200")) {
                throw new IOException(p.getKey() + " is not ready although all faults have ended: " + p.getValue().log());
            }
        }
        history.add(Type.END);
        Map<String, Double> cpu = new HashMap<>();
        Map<String, String> logs = new HashMap<>();
        for (Map.Entry<String, ServeProcess> p : processes.entrySet()) {
            cpu.put(p.getKey(), p.getValue().cpuSeconds());
            logs.put(p.getKey(), p.getValue().log());
        }
        return new Outcome(HistoryCheck.check(history.events()), figures, figures.table(), cpu, logs);
    }

    // ---- start ----

    private void startNodes() throws Exception {
        boxes.names().forEach(box -> lists.set(box, "ready", 0));
        if (drill.nodes().plan()) {
            environment = Map.of("LUPINMOUNT_SITES", DrillPlan.write(drill, folder).toString());
        }
        List<String> names = new ArrayList<>();
        for (String site : drill.siteNames()) {
            for (String to : drill.siteNames()) {
                linksBySites.put(site + " " + to, new Link());
            }
            for (int i = 0; i < drill.sites().get(site).nodes(); i++) {
                names.add(site + "/" + i);
            }
        }
        for (String name : names) {
            var listen = ServeProcess.freePort();
            Map<String, String> relayAddresses = relays(name);
            String known = lists.currentList(relayAddresses);
            var discovery = lists.addNode(name, relayAddresses);
            Path config = folder.resolve(name.replace('/', '-') + ".json");
            Files.writeString(config, config(name, names, ServeProcess.hostPort(listen), ServeProcess.hostPort(discovery), known));
            configs.put(name, config);
            loadGenerator.addNode(name, listen);
        }
        List<Future<?>> starts = new ArrayList<>();
        names.forEach(name -> starts.add(scheduler.submit(() -> start(name))));
        for (Future<?> start : starts) {
            start.get();
        }
        if (failed.get() != null) {
            throw new IOException("a node did not start: " + failed.get().getMessage(), failed.get());
        }
    }

    private Map<String, String> relays(String node) throws InterruptedException {
        Map<String, String> relayAddresses = new HashMap<>();
        for (String box : boxes.names()) {
            String link = site(node) + " " + site(box);
            EventLoop loop = links.next();
            Relay relay = new Relay(loop, linksBySites.get(link), node, () -> boxes.address(box), boxes.nodesByConnection);
            relaysByLink.computeIfAbsent(link, l -> new ArrayList<>()).add(relay);
            relayAddresses.put(box, relay.address());
        }
        return relayAddresses;
    }

    private static String site(String name) {
        return name.substring(0, name.indexOf('/'));
    }

    private String config(String name, List<String> names, String listen, String discovery, String known) {
        String classes = drill.load().stream().map(c -> String.format(Locale.ROOT,
            "{\"name\":\"%s\",\"effect\":\"%s\",\"aimS\":%.3f,\"deadlineS\":%.3f,\"worth\":%s}",
            c.name(), c.effect().configName, c.aimMs() / 1e3,
            c.deadlineMs() / 1e3, c.worth())).collect(Collectors.joining(","));
        String areas = drill.siteNames().stream().map(s -> '"' + s + '"').collect(Collectors.joining(","));
        return String.format(Locale.ROOT, """
            {"name":"%s","listen":"%s","discovery":"%s","seed":"%x","limits":{"sockets":4096},"known":%s,
             "settings":{"az":"%s","areas":[%s],"layer":0,"me":%d,"siblings":%d,"quantumS":0.002,"membershipMode":"push","weights":"nominal",
              "classes":[%s],
              "limits":{"maxAttempts":%d,"cancel":true,"secondCopies":%b,"retryAfter":true,"maxRetryAfterS":1,"dialTimeoutS":0.25,"keepaliveS":5},
              "rules":{"startCapacity":%s,"coldS":%.3f,"fallMultiple":%s,"overloadForS":%.3f,"drainGraceS":%.3f}}}""",
            name.replace('/', '-'), listen, discovery, drill.seed() * 1_000 + names.indexOf(name), known, site(name), areas, names.indexOf(name),
            names.size(), classes, drill.nodes().attempts(), drill.nodes().secondCopies(), drill.boxes().coldFrom(), drill.boxes().coldMs() / 1e3,
            drill.nodes().coldMultiple(), drill.nodes().coldWindowMs() / 1e3, drill.nodes().drainGraceMs() / 1e3);
    }

    private void start(String name) {
        try {
            Path temporary = folder.resolve(name.replace('/', '-') + ".tmp");
            Files.createDirectories(temporary);
            ServeProcess process = ServeProcess.start(configs.get(name), temporary, folder.resolve(name.replace('/', '-') + ".log"),
                environment);
            processes.put(name, process);
            process.awaitReady();
            history.add(Type.NODE, "node", name, "state", "ready");
            restoreInFront(name);
        } catch (IOException | InterruptedException e) {
            failed.compareAndSet(null, e);
        }
    }

    // ---- the schedule ----

    private interface Step {
        void go() throws Exception;
    }

    private void after(long ms, Step step) {
        pendingSteps.incrementAndGet();
        scheduler.schedule(() -> {
            try {
                step.go();
            } catch (Exception e) {
                failed.compareAndSet(null, e);
            } finally {
                pendingSteps.decrementAndGet();
            }
        }, ms, TimeUnit.MILLISECONDS);
    }

    private void schedule(Fault fault) {
        after(fault.atMs(), () -> {
            faultsBegun.incrementAndGet();
            history.add(Type.FAULT, "fault", fault.toString(), "state", "begins");
            begin(fault);
            after(fault.forMs(), () -> {
                end(fault);
                history.add(Type.FAULT, "fault", fault.toString(), "state", "ends");
            });
        });
    }

    private void begin(Fault fault) throws Exception {
        String target = fault.target().isEmpty() ? "" : fault.target().get(0);
        switch (fault.kind()) {
            case KILL -> kill(target);
            case STOP -> {
                processes.get(target).signal("STOP");
                history.add(Type.NODE, "node", target, "state", "stopped");
                removeFromFrontLater(target);
            }
            case LOSE -> {
                for (String node : configs.keySet()) {
                    if (site(node).equals(target)) {
                        kill(node);
                    }
                }
                drill.siteNames().forEach(site -> linksBySites.get(site + " " + target).cut(Cut.SILENT_THEN_RESET, 0));
                after(drill.lists().lostMs(), () -> boxesOf(target).forEach(box -> list(box, "gone")));
            }
            case CUT -> {
                Link link = linksBySites.get(target + " " + fault.target().get(1));
                link.cut(fault.cut(), fault.size());
                if (fault.cut() == Cut.REFUSED) {
                    reset(target, fault.target().get(1));
                }
            }
            case DRAIN -> list(target, "draining");
            case FREEZE -> boxes.freeze(target, true);
            case RESTART -> {
                boxes.restart(target);
                after(drill.lists().backMs(), () -> list(target, "ready"));
            }
            case PUSH -> loadGenerator.loadFactor(fault.size());
            case HUSH -> lists.freeze(true);
        }
    }

    private void end(Fault fault) throws Exception {
        String target = fault.target().isEmpty() ? "" : fault.target().get(0);
        switch (fault.kind()) {
            case KILL -> start(target);
            case STOP -> {
                history.add(Type.NODE, "node", target, "state", "continued");
                processes.get(target).signal("CONT");
                restoreInFront(target);
            }
            case LOSE -> {
                for (String box : boxesOf(target)) {
                    boxes.restart(box);
                }
                for (String site : drill.siteNames()) {
                    reset(site, target);
                    linksBySites.get(site + " " + target).heal();
                }
                after(drill.lists().backMs(), () -> boxesOf(target).forEach(box -> list(box, "ready")));
                configs.keySet().stream().filter(node -> site(node).equals(target)).forEach(node -> after(0, () -> start(node)));
            }
            case CUT -> {
                Link link = linksBySites.get(target + " " + fault.target().get(1));
                if (fault.cut() == Cut.SILENT_THEN_RESET) {
                    reset(target, fault.target().get(1));
                }
                link.heal();
            }
            case DRAIN -> list(target, "ready");
            case FREEZE -> boxes.freeze(target, false);
            case RESTART -> { }
            case PUSH -> loadGenerator.loadFactor(1);
            case HUSH -> lists.freeze(false);
        }
    }

    private List<String> boxesOf(String site) {
        return boxes.names().stream().filter(box -> site(box).equals(site)).toList();
    }

    private void list(String box, String state) {
        lists.set(box, state, boxes.startedAtMs(box));
    }

    private void reset(String from, String to) {
        relaysByLink.getOrDefault(from + " " + to, List.of()).forEach(Relay::reset);
    }

    private void kill(String node) throws InterruptedException {
        // Recorded before the kill, because the node's open requests may end at once.
        history.add(Type.NODE, "node", node, "state", "killed");
        processes.get(node).kill();
        removeFromFrontLater(node);
    }

    /** Takes the node out of the front after the detection delay, unless it is back by then. */
    private void removeFromFrontLater(String node) {
        unavailable.add(node);
        after(FRONT_DETECTION_MS, () -> {
            if (unavailable.contains(node)) {
                loadGenerator.setUp(node, false);
            }
        });
    }

    private void restoreInFront(String node) {
        unavailable.remove(node);
        loadGenerator.setUp(node, true);
    }

    @Override
    public void close() throws IOException {
        scheduler.shutdownNow();
        for (ServeProcess p : processes.values()) {
            p.process().destroyForcibly().onExit().join();
        }
        lists.close();
        relaysByLink.values().forEach(relays -> relays.forEach(Relay::close));
        boxes.close();
        clients.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        links.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        history.close();
        try (Stream<Path> left = Files.walk(folder)) {
            for (Path file : left.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
