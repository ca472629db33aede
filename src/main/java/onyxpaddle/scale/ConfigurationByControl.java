package onyxpaddle.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * A change of configuration as control processes carry it: published once, until every node of the fleet has it in force; calm before it; and
 * once more in the moment in which one of the control processes dies.
 */
final class ConfigurationByControl implements ScaleScenario {
    /** As the operators set machines aside. */
    static final int PROCESSES = 4;
    private static final int KILLED = 2;
    private static final long IN_FORCE_WITHIN_MS = 8_000;
    private static final double MOST_SECONDS = 8;
    private static final double NANOS = 1e9;
    private static final String COLD_START = "configuration-cold-start";

    private final FleetLayout layout;
    private ControlProcesses control;
    private final List<ChildProcess<ConfiguredCommand, ConfiguredReply>> nodes = new ArrayList<>();

    ConfigurationByControl(FleetLayout layout) {
        this.layout = layout;
    }

    @Override
    public void run(ScaleResult result) throws Exception {
        Path folder = Files.createTempDirectory("scale-kept");
        try (ControlProcesses processes = new ControlProcesses(PROCESSES)) {
            control = processes;
            long begin = System.nanoTime();
            String first = control.publish("fleet/classes.work", deadline(2_100));
            start(folder);
            report(result, COLD_START, begin, await(first));
            // The second finds code that has run before, as a node's that has been up for a day.
            await(control.publish("fleet/classes.work", deadline(2_200)));
            calm(result);
            change(result, "configuration-change-one-service", "service/" + service(0) + "/classes.work");
            change(result, "configuration-change", "fleet/classes.work");
            control.kill(KILLED);
            change(result, "configuration-change-one-dead", "fleet/classes.work");
        } finally {
            nodes.forEach(ChildProcess::close);
            try (Stream<Path> left = Files.walk(folder)) {
                for (Path file : left.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
    }

    private String service(int node) {
        return "service-" + layout.service(node);
    }

    private static String deadline(int millis) {
        return "effect: safe\ndeadline: " + millis + " ms\n";
    }

    private void start(Path folder) throws IOException {
        for (int from = 0; from < layout.nodes(); from += ScaleReckoning.HOLLOW_NODES) {
            ChildProcess<ConfiguredCommand, ConfiguredReply> process = new ChildProcess<>(ConfiguredProcess.class, ScaleReckoning.HOLLOW_HEAP,
                ConfiguredReply.class);
            nodes.add(process);
            List<ConfiguredCommand.Member> members = new ArrayList<>();
            for (int node = from; node < Math.min(layout.nodes(), from + ScaleReckoning.HOLLOW_NODES); node++) {
                members.add(new ConfiguredCommand.Member(new NodePlan(node, NodeKind.SIDECAR, layout.watched(node), 9), service(node)));
            }
            process.ask(new ConfiguredCommand.Start(members, control.addresses(), folder.toString()), ConfiguredReply.Done.class);
        }
    }

    private ConfiguredReply.InForce await(String version) throws IOException {
        long begin = System.nanoTime();
        int all = 0;
        int inForce = 0;
        long last = 0;
        for (ChildProcess<ConfiguredCommand, ConfiguredReply> process : nodes) {
            long left = Math.max(1, ScaleFleet.PATIENCE_MS - (System.nanoTime() - begin) / 1_000_000);
            ConfiguredReply.InForce one = process.ask(new ConfiguredCommand.AwaitInForce(version, left), ConfiguredReply.InForce.class);
            all += one.nodes();
            inForce += one.inForce();
            last = Math.max(last, one.lastAtNanos());
        }
        return new ConfiguredReply.InForce(all, inForce, last);
    }

    /** Both sides, nothing changing. */
    private void calm(ScaleResult result) throws Exception {
        result.event(new ScaleResult.Event("configuration-calm", layout.nodes(), 0));
        Used before = used();
        Window.pass(IN_FORCE_WITHIN_MS);
        usedSince(result, "configuration-calm", before);
    }

    private void change(ScaleResult result, String event, String key) throws Exception {
        Used before = used();
        long begin = System.nanoTime();
        String version = control.publish(key, deadline(3_000 + (int) (begin / 1_000_000 % 1_000)));
        report(result, event, begin, await(version));
        // A node's budget of bytes is of 8 s, in which it also goes on calling.
        Window.pass(Math.max(0, IN_FORCE_WITHIN_MS - (System.nanoTime() - begin) / 1_000_000));
        usedSince(result, event, before);
    }

    private void report(ScaleResult result, String event, long begin, ConfiguredReply.InForce reached) {
        result.event(new ScaleResult.Event(event, layout.nodes(), layout.nodes()));
        double seconds = (reached.lastAtNanos() - begin) / NANOS;
        result.figure("configuration", event, "changeSeconds", "s", seconds);
        result.figure("configuration", event, "inForceAfter8s", "nodes", seconds <= MOST_SECONDS ? reached.inForce() : Double.NaN);
        result.figure("configuration", event, "ofNodes", "nodes", reached.nodes());
        result.check(event + ".nodesWithout", reached.nodes() - reached.inForce(), 0, 0, "nodes");
        if (!event.equals(COLD_START)) {
            // A cold start has the processes' own start in it.
            result.check(event + ".seconds", seconds, 0, MOST_SECONDS, "s");
        }
    }

    /** What the control processes and the hollow nodes have used so far. */
    private record Used(long at, long controlCpu, long controlBytes, long nodesCpu, long nodesBytes) {
    }

    private Used used() throws IOException {
        long cpu = 0;
        long bytes = 0;
        for (ChildProcess<ConfiguredCommand, ConfiguredReply> process : nodes) {
            ConfiguredReply.Used one = process.ask(new ConfiguredCommand.Read(), ConfiguredReply.Used.class);
            cpu += one.cpuNanos();
            bytes += one.bytes();
        }
        return new Used(System.nanoTime(), control.cpuNanos(), control.transferred(), cpu, bytes);
    }

    private void usedSince(ScaleResult result, String event, Used before) throws IOException {
        Used now = used();
        double seconds = (now.at() - before.at()) / NANOS;
        result.figure("configuration", event, "cpu", "core-percent", (now.controlCpu() - before.controlCpu()) / NANOS / seconds * 100);
        result.figure("configuration", event, "bytes", "B/s", (now.controlBytes() - before.controlBytes()) / seconds);
        result.figure("sidecar-mean", event, "cpuHollow", "core-percent",
            (now.nodesCpu() - before.nodesCpu()) / NANOS / seconds * 100 / layout.nodes());
        result.figure("sidecar-mean", event, "bytes", "B/s", (double) (now.nodesBytes() - before.nodesBytes()) / seconds / layout.nodes());
    }
}
