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

/** The operators' word on a site, at one node. */
@Command(name = "site", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
    description = "Holds a site at a running node, releases it, or shows how sites stand with the node.",
    footer = "%nExample: lupinmount site hold north --admin 127.0.0.1:9800")
final class SiteCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--admin", paramLabel = "ADDRESS", converter = AdminClient.Address.class, scope = ScopeType.INHERIT,
        description = "where the node listens for operators; without it what $GW_ADMIN says")
    private HostPort admin;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return Lupinmount.USAGE;
    }

    @Command(name = "state", description = "How each site stands, as JSON.")
    int state() throws IOException, InterruptedException {
        return told(AdminClient.ask(spec, admin, "GET", "/sites"), "the node knows of no sites");
    }

    @Command(name = "hold", description = "Nothing new goes there from this node until it is released, whatever the node sees.")
    int hold(@Parameters(paramLabel = "SITE") String site) throws IOException, InterruptedException {
        return told(AdminClient.ask(spec, admin, "POST", "/sites/hold?id=" + URLEncoder.encode(site, StandardCharsets.UTF_8)),
            "the node does not know the site `" + site + "`, or holds all others");
    }

    @Command(name = "release", description = "Gives a held site back, and forgets the penalty of one that is held down.")
    int release(@Parameters(paramLabel = "SITE") String site) throws IOException, InterruptedException {
        return told(AdminClient.ask(spec, admin, "POST", "/sites/release?id=" + URLEncoder.encode(site, StandardCharsets.UTF_8)),
            "the node does not know the site `" + site + "`");
    }

    private int told(HttpResponse<String> answer, String unknown) {
        if (answer.statusCode() == 404) {
            spec.commandLine().getErr().println(unknown);
        } else {
            spec.commandLine().getOut().print(answer.body());
        }
        return answer.statusCode() / 100 == 2 ? 0 : Lupinmount.CANNOT_RUN;
    }
}
