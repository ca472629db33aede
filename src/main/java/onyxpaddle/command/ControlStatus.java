package onyxpaddle.command;

import java.io.IOException;
import java.io.PrintWriter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.Callable;
import onyxpaddle.config.HostPort;
import onyxpaddle.control.ControlClient;
import onyxpaddle.control.ControlClient.Response;
import onyxpaddle.control.FleetStatus;
import onyxpaddle.control.NodeReport;
import onyxpaddle.control.Status;
import onyxpaddle.control.StatusJson;
import onyxpaddle.distribution.ConfigurationVersion;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Who has which version in force, and who refused, by what nodes last said to any control process. */
@Command(name = "status",
    description = {"Lists control processes and nodes: which version each has in force, and what it refused.",
        "With --version: exit code 0 once all nodes that were heard of within 30 s have it or a later one in force,",
        "1 if some do not, 78 if one of these refused it."},
    footer = "%nExample: lupinmount control status --control 127.0.0.1:9901,127.0.0.1:9902 --version 1.2 --within 8s")
final class ControlStatus implements Callable<Integer> {
    private static final Duration PATIENCE = Duration.ofSeconds(3);
    private static final Duration PAUSE = Duration.ofMillis(250);

    @Spec
    private CommandSpec spec;

    @Option(names = {"-h", "--help"}, usageHelp = true,
        description = "shows this help; -V is left out, as --version is the configuration's here")
    private boolean help;

    @Option(names = "--control", required = true, split = ",", paramLabel = "ADDRESS", converter = AdminClient.Address.class,
        description = "the control processes")
    private List<HostPort> control;

    @Option(names = "--version", paramLabel = "E.N", converter = ControlCommand.Version.class,
        description = "the version that is waited for")
    private ConfigurationVersion version;

    @Option(names = "--within", paramLabel = "TIME", converter = ControlCommand.Span.class, defaultValue = "0 ms",
        description = "how long to wait until it is in force; once only if not said")
    private long withinNanos;

    private final ControlClient client = new ControlClient();

    @Override
    public Integer call() throws IOException, InterruptedException {
        long until = System.nanoTime() + withinNanos;
        FleetStatus fleet = ask();
        while (version != null && !fleet.inForce(version) && System.nanoTime() - until < 0) {
            Thread.sleep(PAUSE.toMillis());
            fleet = ask();
        }
        print(fleet);
        return fleet.processes().isEmpty() ? Lupinmount.CANNOT_RUN : code(fleet);
    }

    private int code(FleetStatus fleet) {
        if (version == null || fleet.inForce(version)) {
            return 0;
        }
        return fleet.refused(version).isEmpty() ? Lupinmount.CANNOT_RUN : ControlCommand.FAULTS;
    }

    private FleetStatus ask() throws InterruptedException {
        List<Status> statuses = new ArrayList<>();
        List<String> failures = new ArrayList<>();
        for (HostPort at : control) {
            try {
                Response response = client.get(at, "/v1/status", PATIENCE, StatusJson.MAX_BYTES);
                if (response.status() == 200) {
                    statuses.add(StatusJson.read(response.body()));
                } else {
                    failures.add(at + " answers " + response.status());
                }
            } catch (IOException e) {
                failures.add(e.getMessage());
            }
        }
        return new FleetStatus(statuses, failures);
    }

    private void print(FleetStatus fleet) {
        PrintWriter out = spec.commandLine().getOut();
        fleet.failures().forEach(spec.commandLine().getErr()::println);
        for (Status process : fleet.processes()) {
            out.printf("%s  %s%s  version %s  heard from the publisher %s  %d waiting%n", process.id(),
                process.publisher() ? "publisher" : "replica", process.fenced() ? " (fenced)" : "", process.version(),
                process.staleMs() < 0 ? "never" : process.staleMs() + " ms ago", process.waiting());
        }
        Collection<NodeReport> nodes = fleet.nodes();
        out.printf("%-24s %-16s %-10s %-10s %s%n", "NODE", "SERVICE", "IN FORCE", "HELD", "SAID");
        for (NodeReport node : nodes) {
            out.printf("%-24s %-16s %-10s %-10s %d ms ago%s%n", node.node(), node.service(), node.inForce(), node.held(), node.ageMs(),
                FleetStatus.refuses(node) ? "; refused " + node.refused() + ": " + node.fault() : "");
        }
        if (version != null) {
            long have = nodes.stream().filter(node -> !version.isAfter(node.inForce())).count();
            out.printf("%d of %d nodes have %s in force, %d refused it, %d were not heard of for %d s%n", have, nodes.size(), version,
                fleet.refused(version).size(), fleet.silent().size(), FleetStatus.SILENT_MS / 1000);
        }
    }
}
