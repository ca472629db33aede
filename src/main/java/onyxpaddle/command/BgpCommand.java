package onyxpaddle.command;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import onyxpaddle.config.BgpConfig;
import onyxpaddle.config.Faults;
import onyxpaddle.config.HostPort;
import onyxpaddle.config.MachineLimits;
import onyxpaddle.config.NodeConfig;
import onyxpaddle.config.NodeConfigReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows what a node announces by BGP, from its configuration file or from the running node. */
@Command(name = "bgp", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
    description = "Checks the BGP section of a node's configuration, or shows the BGP state of a running node.",
    footer = "%nExample: lupinmount bgp check deploy/bgp/booking.node.yaml")
final class BgpCommand implements Callable<Integer> {
    private static final int INVALID_FILE = 78;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return Lupinmount.USAGE;
    }

    @Command(name = "check", mixinStandardHelpOptions = true,
        description = "Checks a node's configuration, and shows what it would announce, to which peers and for which pools.")
    int check(@Parameters(paramLabel = "FILE") Path file) {
        PrintWriter out = spec.commandLine().getOut();
        Faults faults = new Faults();
        NodeConfig config = NodeConfigReader.file(file, MachineLimits.ofThisMachine(), faults);
        if (config == null) {
            faults.list().forEach(spec.commandLine().getErr()::println);
            return INVALID_FILE;
        }
        BgpConfig bgp = config.bgp();
        if (bgp == null) {
            out.println("announces nothing: there is no `bgp` section");
            return 0;
        }
        bgp.addresses().values().forEach(a -> out.println(a.name() + ": " + String.join(", ", a.prefixes()) + " while "
            + (a.anyPool() ? "any of " : "all of ") + String.join(", ", a.pools()) + " serve; while degraded it is "
            + (a.withdrawDegraded() && !a.lastAnnouncer() ? "withdrawn" : "deprioritised")));
        bgp.peers().values().forEach(p -> out.println(p.name() + ": " + p.address() + ", AS " + p.as()
            + (p.as() == bgp.as() ? " (internal)" : " (external)") + ", IPv4 by " + p.nextHop4() + ", IPv6 by "
            + (p.nextHop6() == null ? "none" : p.nextHop6()) + (p.passive() ? ", waited for" : ", dialled")));
        return 0;
    }

    @Command(name = "show", mixinStandardHelpOptions = true,
        description = "Shows the sessions and addresses of a running node, as JSON.")
    int show(@Option(names = "--admin", paramLabel = "ADDRESS", converter = AdminClient.AddressConverter.class,
            description = "the admin address of the node; defaults to $GW_ADMIN") HostPort admin)
            throws IOException, InterruptedException {
        HttpResponse<String> answer = AdminClient.send(spec, admin, "GET", "/bgp");
        spec.commandLine().getOut().print(answer.statusCode() == 404 ? "announces nothing\n" : answer.body());
        return answer.statusCode() == 200 ? 0 : Lupinmount.CANNOT_RUN;
    }
}
