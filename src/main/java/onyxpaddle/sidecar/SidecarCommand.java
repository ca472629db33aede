package onyxpaddle.sidecar;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import onyxpaddle.config.Fault;
import onyxpaddle.config.Faults;
import onyxpaddle.config.MachineLimits;
import onyxpaddle.config.NodeConfig;
import onyxpaddle.config.NodeConfigReader;
import onyxpaddle.config.NodeSchema;
import onyxpaddle.config.SourceFile;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The command `sidecar`: generates, checks, explains and tries out configurations of sidecars. */
@Command(name = "sidecar", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
    description = "Generates, checks, explains and tries out the configuration of a node that runs beside an application.",
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {"0:sound", "78:faults found", "64:wrong usage", "1:cannot run"})
public final class SidecarCommand {
    static final int SOUND = 0;
    static final int CANNOT_RUN = 1;
    static final int USAGE = 64;
    static final int FAULTS = 78;

    @Spec
    private CommandSpec spec;

    private final MachineLimits machine;

    SidecarCommand(MachineLimits machine) {
        this.machine = machine;
    }

    /** Runs the command on its own and returns its exit code. */
    static int run(String[] args, PrintWriter out, PrintWriter err, MachineLimits machine) {
        return CommandRunner.run(new CommandLine(new SidecarCommand(machine)), args, out, err);
    }

    /** The command as a subcommand of the program. */
    public static CommandLine line() {
        return new CommandLine(new SidecarCommand(MachineLimits.ofThisMachine()));
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private PrintWriter err() {
        return spec.commandLine().getErr();
    }

    // ---- helpers of all commands ----

    private interface FieldWriter {
        void write(JsonGenerator json) throws IOException;
    }

    private void printJson(FieldWriter fields) throws IOException {
        JsonGenerator json = new JsonFactory().createGenerator(out()).useDefaultPrettyPrinter();
        json.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
        json.writeStartObject();
        fields.write(json);
        json.writeEndObject();
        json.close();
        out().println();
    }

    private static void writeFaults(JsonGenerator json, Faults faults) throws IOException {
        json.writeArrayFieldStart("faults");
        for (Fault fault : faults.list()) {
            json.writeStartObject();
            json.writeStringField("file", fault.place().file());
            json.writeNumberField("line", fault.place().line());
            json.writeNumberField("column", fault.place().column());
            json.writeStringField("path", fault.path());
            json.writeStringField("wrong", fault.wrong());
            json.writeStringField("right", fault.right());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeNumberField("faultsLeftOut", faults.omitted());
    }

    private int report(Faults faults, boolean asJson) throws IOException {
        if (asJson) {
            printJson(json -> writeFaults(json, faults));
        } else {
            faults.list().forEach(fault -> err().println(fault));
            int count = faults.list().size() + faults.omitted();
            err().println(count + (count == 1 ? " fault" : " faults"));
        }
        return FAULTS;
    }

    /** The descriptions, if no file has a fault; otherwise reports the faults and returns an empty list. */
    private List<Description> validDescriptions(CheckedFiles checked, boolean asJson) throws IOException {
        if (!checked.configs.isEmpty()) {
            Path first = checked.configs.keySet().iterator().next();
            checked.faults.add(onyxpaddle.config.Place.of(first.toString()), "", "is a generated configuration",
                "the description it was generated from");
        }
        if (checked.faults.any()) {
            report(checked.faults, asJson);
            return List.of();
        }
        return checked.descriptions;
    }

    // ---- write ----

    @Command(name = "write", mixinStandardHelpOptions = true, description = {"Writes the configuration of a node for each description.",
        "A file that was edited by hand is not overwritten unless --force is given."},
        footer = "%nExample: lupinmount sidecar write deploy/examples/booking.yaml --out /tmp/nodes")
    int write(@Parameters(arity = "1..*", paramLabel = "DESCRIPTION") List<Path> files,
            @Option(names = "--out", required = true, paramLabel = "DIR", description = "the folder to write to") Path folder,
            @Option(names = "--diff", description = "show the differences; write nothing") boolean diff,
            @Option(names = "--force", description = "also overwrite files that were edited by hand") boolean force,
            @Option(names = "--json", description = "print JSON") boolean asJson) throws IOException {
        CheckedFiles checked = CheckedFiles.of(files, machine);
        List<Description> descriptions = validDescriptions(checked, asJson);
        if (descriptions.isEmpty()) {
            return FAULTS;
        }
        Map<Path, String> texts = new LinkedHashMap<>();
        for (Description d : descriptions) {
            String text = ConfigGenerator.generate(d, descriptions, folder);
            Faults own = new Faults();
            NodeConfigReader.read(SourceFile.parse(d.file() + " (as generated)", text, own),
                folder.toAbsolutePath(), machine, own);
            if (own.any()) {
                return report(own, asJson);
            }
            texts.put(ConfigFiles.path(folder, d.name()), ConfigFiles.withHeader(text, d.file().getFileName().toString()));
        }
        return writeFiles(texts, folder, diff, force, asJson);
    }

    private int writeFiles(Map<Path, String> texts, Path folder, boolean diff, boolean force, boolean asJson)
            throws IOException {
        Map<Path, ConfigFiles.FileState> states = new LinkedHashMap<>();
        for (Map.Entry<Path, String> text : texts.entrySet()) {
            states.put(text.getKey(), ConfigFiles.state(text.getKey(), text.getValue()));
        }
        boolean skippedAny = false;
        if (!diff) {
            Files.createDirectories(folder);
        }
        for (Map.Entry<Path, String> text : texts.entrySet()) {
            ConfigFiles.FileState state = states.get(text.getKey());
            boolean skip = state == ConfigFiles.FileState.CHANGED_BY_HAND && !force;
            skippedAny |= skip;
            if (!diff && !skip && state != ConfigFiles.FileState.SAME) {
                ConfigFiles.write(text.getKey(), text.getValue());
            }
            if (!asJson) {
                out().println(text.getKey() + ": " + describe(state, diff, skip));
                if (diff && state != ConfigFiles.FileState.SAME) {
                    String before = state == ConfigFiles.FileState.ABSENT ? "" : Files.readString(text.getKey());
                    ConfigFiles.diff(before, text.getValue()).forEach(out()::println);
                }
            }
        }
        if (asJson) {
            printJson(json -> {
                json.writeObjectFieldStart("files");
                for (Map.Entry<Path, ConfigFiles.FileState> s : states.entrySet()) {
                    json.writeStringField(s.getKey().toString(), s.getValue().name().toLowerCase(Locale.ROOT));
                }
                json.writeEndObject();
                json.writeBooleanField("written", !diff);
            });
        }
        return skippedAny && !diff ? FAULTS : SOUND;
    }

    private static String describe(ConfigFiles.FileState state, boolean diff, boolean skip) {
        return switch (state) {
            case SAME -> "up to date";
            case ABSENT -> diff ? "would be written" : "written";
            case OUTDATED -> diff ? "would be updated" : "updated";
            case CHANGED_BY_HAND -> skip ? "edited by hand since it was generated: not overwritten; --diff shows the"
                + " edits, --force overwrites them" : diff ? "edited by hand; would be overwritten" : "edited by hand; overwritten";
        };
    }

    // ---- check ----

    @Command(name = "check", mixinStandardHelpOptions = true, description = {
        "Checks descriptions, node configurations and list files, one by one and against each other.",
        "Reports all faults in one run, each with its position and what is expected."},
        footer = "%nExample: lupinmount sidecar check deploy/examples")
    int check(@Parameters(arity = "1..*", paramLabel = "FILE-OR-DIR") List<Path> files,
            @Option(names = "--json", description = "print JSON") boolean asJson) throws IOException {
        CheckedFiles checked = CheckedFiles.of(files, machine);
        if (checked.faults.any()) {
            return report(checked.faults, asJson);
        }
        if (asJson) {
            printJson(json -> {
                writeFaults(json, checked.faults);
                json.writeNumberField("files", checked.fileCount);
            });
        } else {
            out().println(checked.fileCount + (checked.fileCount == 1 ? " file, no faults" : " files, no faults"));
        }
        return SOUND;
    }

    // ---- explain ----

    @Command(name = "explain", mixinStandardHelpOptions = true, description = {
        "Explains which route, pool, class, deadline and effect apply to a request, and why.",
        "The URL's port selects the listener; without one it is the inbound listener."},
        footer = "%nExample: lupinmount sidecar explain deploy/examples/booking.yaml GET http://clinic/slots?day=3")
    int explain(@Parameters(paramLabel = "FILE", description = "a description or a node configuration") Path file,
            @Parameters(paramLabel = "METHOD") String method, @Parameters(paramLabel = "URL") URI url,
            @Parameters(arity = "0..*", paramLabel = "HEADER", description = "such as 'X-Beta: 1'") List<String> headers,
            @Option(names = "--json", description = "print JSON") boolean asJson) throws IOException {
        Map<String, String> headerValues = new LinkedHashMap<>();
        for (String header : headers == null ? List.<String>of() : headers) {
            int colon = header.indexOf(':');
            if (colon < 1) {
                err().println("not a header: " + header + "; such as 'X-Beta: 1'");
                return USAGE;
            }
            headerValues.put(header.substring(0, colon).trim().toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
        }
        CheckedFiles checked = CheckedFiles.of(List.of(file), machine);
        if (checked.faults.any()) {
            return report(checked.faults, asJson);
        }
        NodeConfig config = checked.configs.get(file);
        if (config == null && !checked.descriptions.isEmpty()) {
            Faults own = new Faults();
            String text = ConfigGenerator.generate(checked.descriptions.get(0), checked.descriptions, Path.of("."));
            config = NodeConfigReader.read(SourceFile.parse(file.toString(), text, own), Path.of(".").toAbsolutePath(),
                machine, own);
        }
        if (config == null) {
            err().println(file + ": neither a description nor a configuration");
            return USAGE;
        }
        Map<String, String> lines = Explanation.of(config, method, url, headerValues);
        if (asJson) {
            printJson(json -> {
                for (Map.Entry<String, String> line : lines.entrySet()) {
                    json.writeStringField(line.getKey(), line.getValue());
                }
            });
        } else {
            lines.forEach((what, value) -> out().println(what + ": " + value));
        }
        return SOUND;
    }

    // ---- schema ----

    @Command(name = "schema", mixinStandardHelpOptions = true,
        description = "Prints the JSON Schema for a kind of file, for use in editors.",
        footer = "%nExample: lupinmount sidecar schema description")
    int schema(@Parameters(arity = "0..1", paramLabel = "KIND", defaultValue = "description",
            description = "description, configuration or list; default: ${DEFAULT-VALUE}") String kind) {
        switch (kind) {
            case "description" -> out().print(JsonSchema.of("An application beside a lupinmount node",
                DescriptionShape.ALL));
            case "configuration" -> out().print(JsonSchema.of("A lupinmount node", NodeSchema.NODE));
            case "list" -> out().print(JsonSchema.of("A list of servers", NodeSchema.LIST_FILE));
            default -> {
                err().println("unknown kind of file: " + kind + "; expected description, configuration or list");
                return USAGE;
            }
        }
        return SOUND;
    }

    // ---- try ----

    @Command(name = "try", mixinStandardHelpOptions = true, description = {
        "Starts stand-ins for the application and the services it calls, with the node between them, on free loopback ports;",
        "sends requests of each class, prints the results, and keeps running until Ctrl-C."},
        footer = "%nExample: lupinmount sidecar try deploy/examples/booking.yaml --once")
    int tryOut(@Parameters(paramLabel = "DESCRIPTION") Path file,
            @Option(names = "--once", description = "exit when the requests are answered") boolean once,
            @Option(names = "--json", description = "print JSON") boolean asJson) throws Exception {
        CheckedFiles checked = CheckedFiles.of(List.of(file), machine, false);
        List<Description> descriptions = validDescriptions(checked, asJson);
        if (descriptions.isEmpty()) {
            return FAULTS;
        }
        try (LoopbackTrial trial = new LoopbackTrial(descriptions.get(0))) {
            List<LoopbackTrial.TrialRequest> requests = trial.sendRequests();
            if (asJson) {
                printJson(json -> writeTrial(json, trial, requests));
            } else {
                trial.addresses().forEach((name, address) -> out().println(name + " listens on " + address));
                requests.forEach(a -> out().printf("%-14s %-14s %-6s %-24s %d from %s in %.1f ms%n", a.listener(),
                    a.requestClass(), a.method(), a.path(), a.status(), a.by(), a.micros() / 1000.0));
                out().println(LoopbackTrial.allAsExpected(requests) ? "all requests answered as expected" : "unexpected answers");
            }
            out().flush();
            if (!once) {
                out().println("running until Ctrl-C");
                out().flush();
                new CountDownLatch(1).await();
            }
            return LoopbackTrial.allAsExpected(requests) ? SOUND : CANNOT_RUN;
        }
    }

    private static void writeTrial(JsonGenerator json, LoopbackTrial trial, List<LoopbackTrial.TrialRequest> requests) throws IOException {
        json.writeObjectFieldStart("addresses");
        for (Map.Entry<String, String> address : trial.addresses().entrySet()) {
            json.writeStringField(address.getKey(), address.getValue());
        }
        json.writeEndObject();
        json.writeArrayFieldStart("requests");
        for (LoopbackTrial.TrialRequest a : requests) {
            json.writeStartObject();
            json.writeStringField("listener", a.listener());
            json.writeStringField("class", a.requestClass());
            json.writeStringField("method", a.method());
            json.writeStringField("path", a.path());
            json.writeNumberField("status", a.status());
            json.writeStringField("by", a.by());
            json.writeNumberField("micros", a.micros());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeBooleanField("sound", LoopbackTrial.allAsExpected(requests));
    }
}
