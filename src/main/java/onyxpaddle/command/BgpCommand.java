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

/** What a node announces by BGP: by its file, and as it runs. */
@Command(name = "bgp", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
    description = "Checks what a node's file announces by BGP, or shows what a running node does.",
    footer = "%nExample: lupinmount bgp check deploy/bgp/booking.node.yaml")
final class BgpCommand implements Callable<Integer> {
    private static final int FAULTS = 78;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return Lupinmount.USAGE;
    }

    @Command(name = "check", mixinStandardHelpOptions = true,
        description = "Checks a node's configuration, and tells what it would announce, to whom, and while which pools serve.")
    int check(@Parameters(paramLabel = "FILE") Path file) {
        PrintWriter out = spec.commandLine().getOut();
        Faults faults = new Faults();
        NodeConfig config = NodeConfigReader.file(file, MachineLimits.ofThisMachine(), faults);
        if (config == null) {
            faults.list().forEach(spec.commandLine().getErr()::println);
            return FAULTS;
        }
        BgpConfig bgp = config.bgp();
        if (bgp == null) {
            out.println("announces nothing: there is no `bgp` section");
            return 0;
        }
        bgp.addresses().values().forEach(a -> out.println(a.name() + ": " + String.join(", ", a.prefixes()) + " while "
            + (a.anyPool() ? "any of " : "all of ") + String.join(", ", a.pools()) + " serve; badly served it is "
            + (a.withdrawDegraded() && !a.lastAnnouncer() ? "withdrawn" : "announced as worse")));
        bgp.peers().values().forEach(p -> out.println(p.name() + ": " + p.address() + ", AS " + p.as()
            + (p.as() == bgp.as() ? " (internal)" : " (external)") + ", IPv4 by " + p.nextHop4() + ", IPv6 by "
            + (p.nextHop6() == null ? "none" : p.nextHop6()) + (p.passive() ? ", waited for" : ", dialled")));
        return 0;
    }

    @Command(name = "show", mixinStandardHelpOptions = true,
        description = "Shows a running node's sessions and addresses, as JSON, by its operators' door.")
    int show(@Option(names = "--admin", paramLabel = "ADDRESS", converter = AdminClient.Address.class,
            description = "where the node listens for operators; without it what $GW_ADMIN says") HostPort admin)
            throws IOException, InterruptedException {
        HttpResponse<String> answer = AdminClient.ask(spec, admin, "GET", "/bgp");
        spec.commandLine().getOut().print(answer.statusCode() == 404 ? "announces nothing\n" : answer.body());
        return answer.statusCode() == 200 ? 0 : Lupinmount.CANNOT_RUN;
    }
}
