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

/** The tool: writes, checks, explains and tries configurations of sidecars. */
@Command(name = "sidecar", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
    description = "Writes, checks, explains and tries the configuration of a node beside an application.",
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

    /** Runs the tool alone and returns its exit code. */
    static int run(String[] args, PrintWriter out, PrintWriter err, MachineLimits machine) {
        return CommandRunner.run(new CommandLine(new SidecarCommand(machine)), args, out, err);
    }

    /** The tool as a part of the program's commands. */
    public static CommandLine line() {
        return new CommandLine(new SidecarCommand(MachineLimits.ofThisMachine()));
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private PrintWriter err() {
        return spec.commandLine().getErr();
    }

    // ---- what the commands share ----

    private interface Fields {
        void write(JsonGenerator json) throws IOException;
    }

    private void json(Fields fields) throws IOException {
        JsonGenerator json = new JsonFactory().createGenerator(out()).useDefaultPrettyPrinter();
        json.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
        json.writeStartObject();
        fields.write(json);
        json.writeEndObject();
        json.close();
        out().println();
    }

    private static void faults(JsonGenerator json, Faults faults) throws IOException {
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
            json(json -> faults(json, faults));
        } else {
            faults.list().forEach(fault -> err().println(fault));
            int count = faults.list().size() + faults.omitted();
            err().println(count + (count == 1 ? " fault" : " faults"));
        }
        return FAULTS;
    }

    /** Descriptions that are sound, each and together; empty, with the faults reported, where they are not. */
    private List<Description> sound(CheckedFiles checked, boolean asJson) throws IOException {
        if (!checked.configs.isEmpty()) {
            Path first = checked.configs.keySet().iterator().next();
            checked.faults.add(onyxpaddle.config.Place.of(first.toString()), "", "is a written configuration",
                "the description it was written from");
        }
        if (checked.faults.any()) {
            report(checked.faults, asJson);
            return List.of();
        }
        return checked.descriptions;
    }

    // ---- write ----

    @Command(name = "write", mixinStandardHelpOptions = true, description = {"Writes a node's configuration for each description.",
        "A file that a person changed is left alone unless --force is given."},
        footer = "%nExample: lupinmount sidecar write deploy/examples/booking.yaml --out /tmp/nodes")
    int write(@Parameters(arity = "1..*", paramLabel = "DESCRIPTION") List<Path> files,
            @Option(names = "--out", required = true, paramLabel = "DIR", description = "where to") Path folder,
            @Option(names = "--diff", description = "show what would change; write nothing") boolean diff,
            @Option(names = "--force", description = "also in place of files that a person changed") boolean force,
            @Option(names = "--json", description = "for machines") boolean asJson) throws IOException {
        CheckedFiles checked = CheckedFiles.of(files, machine);
        List<Description> descriptions = sound(checked, asJson);
        if (descriptions.isEmpty()) {
            return FAULTS;
        }
        Map<Path, String> texts = new LinkedHashMap<>();
        for (Description d : descriptions) {
            String text = ConfigGenerator.text(d, descriptions, folder);
            Faults own = new Faults();
            NodeConfigReader.read(SourceFile.parse(d.file() + " (as written)", text, own),
                folder.toAbsolutePath(), machine, own);
            if (own.any()) {
                return report(own, asJson);
            }
            texts.put(ConfigFiles.path(folder, d.name()), ConfigFiles.sealed(text, d.file().getFileName().toString()));
        }
        return put(texts, folder, diff, force, asJson);
    }

    private int put(Map<Path, String> texts, Path folder, boolean diff, boolean force, boolean asJson)
            throws IOException {
        Map<Path, ConfigFiles.FileState> standings = new LinkedHashMap<>();
        for (Map.Entry<Path, String> text : texts.entrySet()) {
            standings.put(text.getKey(), ConfigFiles.standing(text.getKey(), text.getValue()));
        }
        boolean kept = false;
        if (!diff) {
            Files.createDirectories(folder);
        }
        for (Map.Entry<Path, String> text : texts.entrySet()) {
            ConfigFiles.FileState standing = standings.get(text.getKey());
            boolean leave = standing == ConfigFiles.FileState.CHANGED_BY_HAND && !force;
            kept |= leave;
            if (!diff && !leave && standing != ConfigFiles.FileState.SAME) {
                ConfigFiles.write(text.getKey(), text.getValue());
            }
            if (!asJson) {
                out().println(text.getKey() + ": " + told(standing, diff, leave));
                if (diff && standing != ConfigFiles.FileState.SAME) {
                    String before = standing == ConfigFiles.FileState.ABSENT ? "" : Files.readString(text.getKey());
                    ConfigFiles.difference(before, text.getValue()).forEach(out()::println);
                }
            }
        }
        if (asJson) {
            json(json -> {
                json.writeObjectFieldStart("files");
                for (Map.Entry<Path, ConfigFiles.FileState> s : standings.entrySet()) {
                    json.writeStringField(s.getKey().toString(), s.getValue().name().toLowerCase(Locale.ROOT));
                }
                json.writeEndObject();
                json.writeBooleanField("written", !diff);
            });
        }
        return kept && !diff ? FAULTS : SOUND;
    }

    private static String told(ConfigFiles.FileState standing, boolean diff, boolean leave) {
        return switch (standing) {
            case SAME -> "as it should be";
            case ABSENT -> diff ? "would be written" : "written";
            case OUTDATED -> diff ? "would be brought up to date" : "brought up to date";
            case CHANGED_BY_HAND -> leave ? "changed by hand since it was written: left alone; --diff shows how, --force"
                + " writes over it" : diff ? "changed by hand; would be written over" : "changed by hand; written over";
        };
    }

    // ---- check ----

    @Command(name = "check", mixinStandardHelpOptions = true, description = {
        "Checks descriptions, written configurations and list files, one by one and together.",
        "All faults are told in one run, each with its place and what would be right."},
        footer = "%nExample: lupinmount sidecar check deploy/examples")
    int check(@Parameters(arity = "1..*", paramLabel = "FILE-OR-DIR") List<Path> files,
            @Option(names = "--json", description = "for machines") boolean asJson) throws IOException {
        CheckedFiles checked = CheckedFiles.of(files, machine);
        if (checked.faults.any()) {
            return report(checked.faults, asJson);
        }
        if (asJson) {
            json(json -> {
                faults(json, checked.faults);
                json.writeNumberField("files", checked.files);
            });
        } else {
            out().println(checked.files + (checked.files == 1 ? " file, sound" : " files, sound"));
        }
        return SOUND;
    }

    // ---- explain ----

    @Command(name = "explain", mixinStandardHelpOptions = true, description = {
        "Tells which route, pool, class, deadline and effect a request gets, and why.",
        "The URL's port chooses the listener; without one it is the inbound side."},
        footer = "%nExample: lupinmount sidecar explain deploy/examples/booking.yaml GET http://clinic/slots?day=3")
    int explain(@Parameters(paramLabel = "FILE", description = "a description or a written configuration") Path file,
            @Parameters(paramLabel = "METHOD") String method, @Parameters(paramLabel = "URL") URI url,
            @Parameters(arity = "0..*", paramLabel = "HEADER", description = "such as 'X-Beta: 1'") List<String> headers,
            @Option(names = "--json", description = "for machines") boolean asJson) throws IOException {
        Map<String, String> given = new LinkedHashMap<>();
        for (String header : headers == null ? List.<String>of() : headers) {
            int colon = header.indexOf(':');
            if (colon < 1) {
                err().println("no header: " + header + "; such as 'X-Beta: 1'");
                return USAGE;
            }
            given.put(header.substring(0, colon).trim().toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
        }
        CheckedFiles checked = CheckedFiles.of(List.of(file), machine);
        if (checked.faults.any()) {
            return report(checked.faults, asJson);
        }
        NodeConfig config = checked.configs.get(file);
        if (config == null && !checked.descriptions.isEmpty()) {
            Faults own = new Faults();
            String text = ConfigGenerator.text(checked.descriptions.get(0), checked.descriptions, Path.of("."));
            config = NodeConfigReader.read(SourceFile.parse(file.toString(), text, own), Path.of(".").toAbsolutePath(),
                machine, own);
        }
        if (config == null) {
            err().println(file + ": neither a description nor a configuration");
            return USAGE;
        }
        Map<String, String> lines = Explanation.of(config, method, url, given);
        if (asJson) {
            json(json -> {
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
        description = "Prints the JSON Schema of a kind of file, for editors.",
        footer = "%nExample: lupinmount sidecar schema description")
    int schema(@Parameters(arity = "0..1", paramLabel = "KIND", defaultValue = "description",
            description = "description, configuration or list; without it: ${DEFAULT-VALUE}") String kind) {
        switch (kind) {
            case "description" -> out().print(JsonSchema.of("An application beside a lupinmount node",
                DescriptionShape.ALL));
            case "configuration" -> out().print(JsonSchema.of("A lupinmount node", NodeSchema.NODE));
            case "list" -> out().print(JsonSchema.of("A list of servers", NodeSchema.LIST_FILE));
            default -> {
                err().println("no kind of file: " + kind + "; description, configuration or list");
                return USAGE;
            }
        }
        return SOUND;
    }

    // ---- try ----

    @Command(name = "try", mixinStandardHelpOptions = true, description = {
        "Starts stand-ins for the application and all it calls, and the node between them, on free ports of loopback;",
        "sends each class a request, prints what happened, and stays up until Ctrl-C."},
        footer = "%nExample: lupinmount sidecar try deploy/examples/booking.yaml --once")
    int tryOut(@Parameters(paramLabel = "DESCRIPTION") Path file,
            @Option(names = "--once", description = "end when the requests are answered") boolean once,
            @Option(names = "--json", description = "for machines") boolean asJson) throws Exception {
        CheckedFiles checked = CheckedFiles.of(List.of(file), machine, false);
        List<Description> descriptions = sound(checked, asJson);
        if (descriptions.isEmpty()) {
            return FAULTS;
        }
        try (LoopbackTrial trial = new LoopbackTrial(descriptions.get(0))) {
            List<LoopbackTrial.TrialRequest> asked = trial.ask();
            if (asJson) {
                json(json -> trial(json, trial, asked));
            } else {
                trial.addresses().forEach((name, address) -> out().println(name + " is on " + address));
                asked.forEach(a -> out().printf("%-14s %-14s %-6s %-24s %d from %s in %.1f ms%n", a.listener(),
                    a.requestClass(), a.method(), a.path(), a.status(), a.by(), a.micros() / 1000.0));
                out().println(LoopbackTrial.sound(asked) ? "all as it should be" : "not as it should be");
            }
            out().flush();
            if (!once) {
                out().println("up until Ctrl-C");
                out().flush();
                new CountDownLatch(1).await();
            }
            return LoopbackTrial.sound(asked) ? SOUND : CANNOT_RUN;
        }
    }

    private static void trial(JsonGenerator json, LoopbackTrial trial, List<LoopbackTrial.TrialRequest> asked) throws IOException {
        json.writeObjectFieldStart("addresses");
        for (Map.Entry<String, String> address : trial.addresses().entrySet()) {
            json.writeStringField(address.getKey(), address.getValue());
        }
        json.writeEndObject();
        json.writeArrayFieldStart("requests");
        for (LoopbackTrial.TrialRequest a : asked) {
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
        json.writeBooleanField("sound", LoopbackTrial.sound(asked));
    }
}
