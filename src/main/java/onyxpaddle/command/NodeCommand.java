package onyxpaddle.command;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.URLEncoder;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import onyxpaddle.config.HostPort;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** What on-call staff ask of a running node, at its operators' door. */
@Command(name = "node", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
    description = "Asks a running node, or tells it, at its operators' door.",
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {"0:yes, or done", "1:no, or no answer", "64:wrong usage"},
    footer = "%nExample: lupinmount node ready --admin 127.0.0.1:9800")
final class NodeCommand implements Callable<Integer> {
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

    @Command(name = "ready", description = "Whether the node takes work.")
    int ready() throws IOException, InterruptedException {
        return tell(ask("GET", "/ready"));
    }

    @Command(name = "drain", description = "Empties the node; it stays up.")
    int drain() throws IOException, InterruptedException {
        return tell(ask("POST", "/drain"));
    }

    @Command(name = "undrain", description = "Puts the node back to work.")
    int undrain() throws IOException, InterruptedException {
        return tell(ask("POST", "/undrain"));
    }

    @Command(name = "figures", description = "The node's figures, in Prometheus' text format.")
    int figures() throws IOException, InterruptedException {
        return tell(ask("GET", "/metrics"));
    }

    @Command(name = "disable", description = "Takes a server out: nothing new goes to it from this node.")
    int disable(@Parameters(paramLabel = "SERVER", description = "its id") String server) throws IOException, InterruptedException {
        return tell(ask("POST", "/servers/disable?id=" + URLEncoder.encode(server, StandardCharsets.UTF_8)));
    }

    @Command(name = "enable", description = "Puts a server back that was taken out.")
    int enable(@Parameters(paramLabel = "SERVER", description = "its id") String server) throws IOException, InterruptedException {
        return tell(ask("POST", "/servers/enable?id=" + URLEncoder.encode(server, StandardCharsets.UTF_8)));
    }

    @Command(name = "servers", description = {"How each server stands with the node: its state, the part of its draws that failures",
        "leave it, its round trips against what is usual (1 is), and what it has now."})
    int servers(@Option(names = "--json", description = "for machines") boolean asJson) throws IOException, InterruptedException {
        HttpResponse<String> answer = ask("GET", "/servers");
        if (asJson || answer.statusCode() != 200) {
            return tell(answer);
        }
        String row = "%-16s %-24s %-10s %-24s %6s %7s %4s%n";
        spec.commandLine().getOut().printf(row, "POOL", "SERVER", "ZONE", "STATE", "CHANCE", "MEAN", "OUT");
        for (Map<String, String> s : rows(answer.body())) {
            spec.commandLine().getOut().printf(row, s.get("pool"), s.get("server"), s.get("zone"), state(s), s.get("chance"),
                s.get("mean"), s.get("out"));
        }
        return 0;
    }

    private static String state(Map<String, String> server) {
        StringBuilder state = new StringBuilder(String.valueOf(server.get("state")));
        state.append("true".equals(server.get("cold")) ? ", cold" : "");
        state.append("true".equals(server.get("takenOut")) ? ", taken out" : "");
        return state.append("true".equals(server.get("doubted")) ? ", doubted" : "").toString();
    }

    /** An array of flat objects; what else the answer may be is an error. */
    private static List<Map<String, String>> rows(String json) throws IOException {
        List<Map<String, String>> rows = new ArrayList<>();
        try (JsonParser p = new JsonFactory().createParser(json)) {
            if (p.nextToken() != JsonToken.START_ARRAY) {
                throw new IOException("not a list of servers");
            }
            while (p.nextToken() == JsonToken.START_OBJECT) {
                Map<String, String> row = new LinkedHashMap<>();
                while (p.nextToken() == JsonToken.FIELD_NAME) {
                    String name = p.currentName();
                    p.nextToken();
                    row.put(name, p.getText());
                }
                rows.add(row);
            }
        }
        return rows;
    }

    private int tell(HttpResponse<String> answer) {
        spec.commandLine().getOut().print(answer.body());
        return answer.statusCode() / 100 == 2 ? 0 : Lupinmount.CANNOT_RUN;
    }

    private HttpResponse<String> ask(String method, String path) throws IOException, InterruptedException {
        return AdminClient.ask(spec, admin, method, path);
    }
}
