package onyxpaddle.scale;

import java.util.ArrayList;
import java.util.List;
import onyxpaddle.scale.RealNodes.Member;
import onyxpaddle.scale.RealNodes.Use;

/**
 * A change of configuration as it is made without a mechanism: a file on each machine, and SIGHUP. How many nodes have it in force 8 s after
 * the files were written with no hand on them, and what one node then takes that is told.
 */
final class ConfigurationByHand implements ScaleScenario {
    private static final long IN_FORCE_WITHIN_MS = 8_000;
    private static final int READS = 20;

    private final RealNodes nodes;

    ConfigurationByHand(RealNodes nodes) {
        this.nodes = nodes;
    }

    @Override
    public void run(ScaleResult result) throws Exception {
        List<RealNode> changed = nodes.of(Use.SERVICES).stream().map(Member::node).toList();
        result.event(new ScaleResult.Event("change", changed.size(), changed.size()));
        for (RealNode node : changed) {
            node.rewriteConfig();
        }
        Window.pass(IN_FORCE_WITHIN_MS);
        int inForce = 0;
        for (RealNode node : changed) {
            inForce += node.reloaded() ? 1 : 0;
        }
        result.figure("configuration", "change", "inForceAfter8s", "nodes", inForce);
        result.figure("configuration", "change", "ofNodes", "nodes", changed.size());
        List<Double> seconds = new ArrayList<>();
        List<Double> cpu = new ArrayList<>();
        for (RealNode node : changed) {
            long cpuBefore = node.cpuNanos();
            long begin = System.nanoTime();
            node.reload();
            seconds.add((System.nanoTime() - begin) / 1e9);
            cpu.add((node.cpuNanos() - cpuBefore) / 1e9);
        }
        result.figure("configuration", "change", "changeSeconds", "s", new SlopeFit.Point(0, seconds).median());
        result.figure("configuration", "change", "changeCpuSeconds", "s", new SlopeFit.Point(0, cpu).median());
        readers(result);
    }

    /** Operators read the figures of one node. */
    private void readers(ScaleResult result) throws Exception {
        RealNode node = nodes.of(Use.FIXED).get(0).node();
        node.call("GET /metrics");
        long before = node.cpuNanos();
        int bytes = 0;
        for (int i = 0; i < READS; i++) {
            bytes += node.call("GET /metrics").length();
        }
        result.figure("figures-readers", "calm", "readBytes", "B", bytes / (double) READS);
        result.figure("figures-readers", "calm", "readCpuSeconds", "s", (node.cpuNanos() - before) / 1e9 / READS);
    }
}
