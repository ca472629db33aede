package onyxpaddle.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import onyxpaddle.config.MachineLimits;

/** A whole scale run: slopes of the list service and, beside them, of real nodes; then the events. */
public final class ScaleRun {
    private static final long MEMORY_LOOK_MS = 1_000;
    private static final long REAL_WINDOW_MS = 6_000;

    private final ScaleSize size;
    private final SeededFault fault;
    private final ScaleResult result = new ScaleResult();
    private final List<Long> pids = new CopyOnWriteArrayList<>(List.of(ProcessHandle.current().pid()));
    private volatile double highestMiB;
    private volatile int mostProcesses;

    ScaleRun(ScaleSize size, SeededFault fault) {
        this.size = size;
        this.fault = fault;
    }

    /** Runs the short form, or the whole fleet, with a fault put in; {@code json}: where to keep the result, null for nowhere. */
    public static ScaleResult run(boolean whole, SeededFault fault, Path json) throws Exception {
        ScaleSize size = whole ? ScaleSize.longForm() : ScaleSize.shortForm();
        ScaleResult result = new ScaleRun(size, fault).run();
        if (json != null) {
            ScaleJson.write(json, result, size.name(), fault);
        }
        return result;
    }

    ScaleResult run() throws Exception {
        refuseWhatDoesNotFit();
        long begin = System.nanoTime();
        settings();
        Thread memory = new Thread(this::watchMemory, "scale-memory");
        memory.setDaemon(true);
        memory.start();
        FleetLayout layout = new FleetLayout(size.eventNodes());
        try (ScaleFleet fleet = new ScaleFleet(layout, size.largest(), size.listCapacity(), fault)) {
            pids.addAll(fleet.pids());
            ScaleScenario slopes = new ListServiceSlopes(fleet, size);
            if (size.realNodes()) {
                sideBySide(slopes, this::realNodes);
            } else {
                slopes.run(result);
            }
            sideBySide(new FleetEvents(fleet, size, result), new ConfigurationByControl(layout));
        } finally {
            memory.interrupt();
        }
        result.cost(new ScaleResult.Cost((System.nanoTime() - begin) / 1e9, highestMiB, mostProcesses));
        return result;
    }

    private void refuseWhatDoesNotFit() throws IOException {
        ScaleReckoning reckoning = ScaleReckoning.of(size, size.realNodes() ? RealNodes.count() : 0);
        System.out.println("reckoned: " + reckoning.processes() + " processes, at most " + reckoning.memoryMiB() + " MiB, "
            + reckoning.descriptors() + " descriptors in one");
        String refusal = reckoning.refusal(ScaleReckoning.freeMiB(), MachineLimits.ofThisMachine().descriptors());
        if (refusal != null) {
            throw new IOException("the run does not fit: " + refusal);
        }
    }

    private void settings() {
        FleetLayout layout = new FleetLayout(size.eventNodes());
        result.setting("nodes", layout.nodes());
        result.setting("servers", layout.nodes());
        result.setting("services", layout.services());
        result.setting("zones", FleetLayout.ZONES);
        result.setting("listCapacity", size.listCapacity());
        result.setting("realNodes", size.realNodes() ? RealNodes.count() : 0);
        result.setting("cores", Runtime.getRuntime().availableProcessors());
        result.setting("rounds", size.rounds());
        result.setting("windowSeconds", size.calmMs() / 1_000.0);
    }

    /** Plays two scenarios at once: each measures processes of its own, by their own counts. */
    private void sideBySide(ScaleScenario one, ScaleScenario other) throws Exception {
        List<Exception> failed = new CopyOnWriteArrayList<>();
        Thread beside = new Thread(() -> {
            try {
                other.run(result);
            } catch (Exception e) {
                failed.add(e);
            }
        }, "scale-beside");
        beside.start();
        try {
            one.run(result);
        } finally {
            beside.join();
        }
        if (!failed.isEmpty()) {
            throw failed.get(0);
        }
    }

    private void realNodes(ScaleResult to) throws Exception {
        try (RealNodes nodes = new RealNodes(fault)) {
            List<Long> own = nodes.pids();
            pids.addAll(own);
            new RealNodeSlopes(nodes, REAL_WINDOW_MS, size.rounds()).run(to);
            new ConfigurationByHand(nodes).run(to);
            pids.removeAll(own);
        }
    }

    private void watchMemory() {
        try {
            while (true) {
                double sum = 0;
                List<Long> now = List.copyOf(pids);
                for (long pid : now) {
                    sum += ProcessCost.resident(pid) / 1048576.0;
                }
                highestMiB = Math.max(highestMiB, sum);
                mostProcesses = Math.max(mostProcesses, now.size());
                Thread.sleep(MEMORY_LOOK_MS);
            }
        } catch (InterruptedException | IOException e) {
            // The run has ended, and with it what was looked at.
        }
    }
}
