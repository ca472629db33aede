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

/** Queries and controls a running node by its admin interface. */
@Command(name = "node", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
    description = "Queries or controls a running node by its admin interface.",
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {"0:yes, or done", "1:no, or no answer", "64:wrong usage"},
    footer = "%nExample: lupinmount node ready --admin 127.0.0.1:9800")
final class NodeCommand implements Callable<Integer> {
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

    @Command(name = "ready", description = "Shows whether the node is ready.")
    int ready() throws IOException, InterruptedException {
        return report(send("GET", "/ready"));
    }

    @Command(name = "drain", description = "Drains the node; it stays up.")
    int drain() throws IOException, InterruptedException {
        return report(send("POST", "/drain"));
    }

    @Command(name = "undrain", description = "Ends the drain of the node.")
    int undrain() throws IOException, InterruptedException {
        return report(send("POST", "/undrain"));
    }

    @Command(name = "figures", description = "Shows the node's metrics, in Prometheus text format.")
    int figures() throws IOException, InterruptedException {
        return report(send("GET", "/metrics"));
    }

    @Command(name = "disable", description = "Disables a server: this node sends it no new requests.")
    int disable(@Parameters(paramLabel = "SERVER", description = "its id") String server) throws IOException, InterruptedException {
        return report(send("POST", "/servers/disable?id=" + URLEncoder.encode(server, StandardCharsets.UTF_8)));
    }

    @Command(name = "enable", description = "Enables a disabled server.")
    int enable(@Parameters(paramLabel = "SERVER", description = "its id") String server) throws IOException, InterruptedException {
        return report(send("POST", "/servers/enable?id=" + URLEncoder.encode(server, StandardCharsets.UTF_8)));
    }

    @Command(name = "servers", description = {"Shows each server: its state, the fraction of its draws that remains after failures,",
        "its mean round trip relative to the expected one (1), and its requests in flight."})
    int servers(@Option(names = "--json", description = "prints JSON") boolean asJson) throws IOException, InterruptedException {
        HttpResponse<String> answer = send("GET", "/servers");
        if (asJson || answer.statusCode() != 200) {
            return report(answer);
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

    /** Parses an array of flat objects; any other answer is an error. */
    private static List<Map<String, String>> rows(String json) throws IOException {
        List<Map<String, String>> rows = new ArrayList<>();
        try (JsonParser p = new JsonFactory().createParser(json)) {
            if (p.nextToken() != JsonToken.START_ARRAY) {
                throw new IOException("the answer is not a list of servers");
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

    private int report(HttpResponse<String> answer) {
        spec.commandLine().getOut().print(answer.body());
        return answer.statusCode() / 100 == 2 ? 0 : Lupinmount.CANNOT_RUN;
    }

    private HttpResponse<String> send(String method, String path) throws IOException, InterruptedException {
        return AdminClient.send(spec, admin, method, path);
    }
}
