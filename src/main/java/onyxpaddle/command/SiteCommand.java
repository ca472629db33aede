package onyxpaddle.command;

import java.io.IOException;
import java.net.URLEncoder;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import onyxpaddle.config.HostPort;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** Holds and releases sites at one node. */
@Command(name = "site", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
    description = "Holds a site at a running node, releases it, or shows the state of the sites.",
    footer = "%nExample: lupinmount site hold north --admin 127.0.0.1:9800")
final class SiteCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--admin", paramLabel = "ADDRESS", converter = AdminClient.AddressConverter.class, scope = ScopeType.INHERIT,
        description = "the admin address of the node; defaults to $GW_ADMIN")
    private HostPort admin;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return Lupinmount.USAGE;
    }

    @Command(name = "state", description = "Shows the state of each site, as JSON.")
    int state() throws IOException, InterruptedException {
        return report(AdminClient.send(spec, admin, "GET", "/sites"), "the node has no sites");
    }

    @Command(name = "hold", description = "Stops new requests from this node to the site until it is released, whatever its state.")
    int hold(@Parameters(paramLabel = "SITE") String site) throws IOException, InterruptedException {
        return report(AdminClient.send(spec, admin, "POST", "/sites/hold?id=" + URLEncoder.encode(site, StandardCharsets.UTF_8)),
            "the node does not know the site `" + site + "`, or holds all others");
    }

    @Command(name = "release", description = "Releases a held site, and clears the penalty of one that is held down.")
    int release(@Parameters(paramLabel = "SITE") String site) throws IOException, InterruptedException {
        return report(AdminClient.send(spec, admin, "POST", "/sites/release?id=" + URLEncoder.encode(site, StandardCharsets.UTF_8)),
            "the node does not know the site `" + site + "`");
    }

    private int report(HttpResponse<String> answer, String unknown) {
        if (answer.statusCode() == 404) {
            spec.commandLine().getErr().println(unknown);
        } else {
            spec.commandLine().getOut().print(answer.body());
        }
        return answer.statusCode() / 100 == 2 ? 0 : Lupinmount.CANNOT_RUN;
    }
}
