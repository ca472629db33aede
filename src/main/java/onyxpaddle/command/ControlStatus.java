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

/** Shows the version that each node has in force or refused, by its latest report to any control process. */
@Command(name = "status",
    description = {"Lists control processes and nodes: the version that each has in force, and the one that it refused.",
        "With --version: exit code 0 once all nodes that reported within 30 s have it or a later one in force,",
        "1 if some do not, 78 if one of these refused it."},
    footer = "%nExample: lupinmount control status --control 127.0.0.1:9901,127.0.0.1:9902 --version 1.2 --within 8s")
final class ControlStatus implements Callable<Integer> {
    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(250);

    @Spec
    private CommandSpec spec;

    @Option(names = {"-h", "--help"}, usageHelp = true,
        description = "shows this help; there is no -V, as --version is that of the configuration")
    private boolean help;

    @Option(names = "--control", required = true, split = ",", paramLabel = "ADDRESS", converter = AdminClient.AddressConverter.class,
        description = "the control processes")
    private List<HostPort> control;

    @Option(names = "--version", paramLabel = "E.N", converter = ControlCommand.VersionConverter.class,
        description = "the version to wait for")
    private ConfigurationVersion version;

    @Option(names = "--within", paramLabel = "TIME", converter = ControlCommand.SpanConverter.class, defaultValue = "0 ms",
        description = "how long to wait until it is in force; without it, the status is read once")
    private long withinNanos;

    private final ControlClient client = new ControlClient();

    @Override
    public Integer call() throws IOException, InterruptedException {
        long deadline = System.nanoTime() + withinNanos;
        FleetStatus fleet = fetchStatus();
        while (version != null && !fleet.inForce(version) && System.nanoTime() - deadline < 0) {
            Thread.sleep(POLL_INTERVAL.toMillis());
            fleet = fetchStatus();
        }
        print(fleet);
        return fleet.processes().isEmpty() ? Lupinmount.CANNOT_RUN : exitCode(fleet);
    }

    private int exitCode(FleetStatus fleet) {
        if (version == null || fleet.inForce(version)) {
            return 0;
        }
        return fleet.refused(version).isEmpty() ? Lupinmount.CANNOT_RUN : ControlCommand.INVALID_FILE;
    }

    private FleetStatus fetchStatus() throws InterruptedException {
        List<Status> statuses = new ArrayList<>();
        List<String> failures = new ArrayList<>();
        for (HostPort at : control) {
            try {
                Response response = client.get(at, "/v1/status", TIMEOUT, StatusJson.MAX_BYTES);
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
