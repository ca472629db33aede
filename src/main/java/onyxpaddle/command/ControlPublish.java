package onyxpaddle.command;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import onyxpaddle.config.Faults;
import onyxpaddle.config.HostPort;
import onyxpaddle.config.SourceFile;
import onyxpaddle.control.ChangeJson;
import onyxpaddle.control.ChangeRequest;
import onyxpaddle.control.ControlClient;
import onyxpaddle.control.ControlClient.Response;
import onyxpaddle.control.PublishAnswer;
import onyxpaddle.distribution.ConfigurationTable.Change;
import onyxpaddle.distribution.ConfigurationVersion;
import onyxpaddle.distribution.EntryKey;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import picocli.CommandLine.TypeConversionException;

/** Publishes configuration changes: all changes of one call become one version, or none is published. */
@Command(name = "publish", mixinStandardHelpOptions = true,
    description = {"Publishes configuration sections, each from its own file, as one version.",
        "Prints the version. KEY is fleet/PATH, service/NAME/PATH or node/NAME/PATH; PATH is a key of a node's configuration such as",
        "`routes`, or a named section of it such as `pools.records`. Node entries override service entries, which override fleet ones."},
    footer = "%nExample: lupinmount control publish --publisher 127.0.0.1:9901 service/booking/pools.records=records.yaml")
final class ControlPublish implements Callable<Integer> {
    private static final int OK = 200;
    private static final int NOT_YET_CONFIRMED = 202;
    private static final int REFUSED = 422;
    private static final int MAX_ANSWER_BYTES = 1 << 20;
    /** Time-out beyond the time for which the publisher waits for replicas. */
    private static final Duration TIMEOUT_MARGIN = Duration.ofSeconds(10);

    @Spec
    private CommandSpec spec;

    @Option(names = "--publisher", required = true, paramLabel = "ADDRESS", converter = AdminClient.AddressConverter.class,
        description = "the address of the publisher")
    private HostPort publisher;

    @Option(names = "--base", paramLabel = "E.N", converter = ControlCommand.VersionConverter.class,
        description = "refuse the changes if one of their keys has changed after this version")
    private ConfigurationVersion base;

    @Option(names = "--acks", paramLabel = "K", defaultValue = "1",
        description = "the number of replicas that must have the changes on disk before they count as published; default: ${DEFAULT-VALUE}")
    private int acks;

    @Option(names = "--wait", paramLabel = "TIME", converter = ControlCommand.SpanConverter.class, defaultValue = "5 s",
        description = "how long to wait for the replicas, at most 30 s; default: ${DEFAULT-VALUE}")
    private long waitNanos;

    @Option(names = "--remove", paramLabel = "KEY", converter = ControlCommand.KeyConverter.class, description = "an entry to remove")
    private List<EntryKey> removed = List.of();

    @Parameters(paramLabel = "KEY=FILE", arity = "0..*", description = "an entry, and the file with the YAML of its section")
    private List<String> entries = List.of();

    private final Map<String, String> files = new LinkedHashMap<>();

    @Override
    public Integer call() throws IOException, InterruptedException {
        Faults faults = new Faults();
        List<Change> changes = changes(faults);
        if (faults.any()) {
            faults.list().forEach(spec.commandLine().getErr()::println);
            return ControlCommand.INVALID_FILE;
        }
        byte[] body = ChangeJson.write(new ChangeRequest(base, changes));
        if (body.length > ChangeJson.MAX_BYTES) {
            throw new ParameterException(spec.commandLine(), "the changes have more than " + ChangeJson.MAX_BYTES + " bytes together");
        }
        long waitMs = Duration.ofNanos(waitNanos).toMillis();
        Response response = new ControlClient().post(publisher, "/v1/changes?acks=" + acks + "&wait_ms=" + waitMs, body,
            Duration.ofMillis(waitMs).plus(TIMEOUT_MARGIN), MAX_ANSWER_BYTES);
        return report(response.status(), PublishAnswer.read(response.body()));
    }

    private List<Change> changes(Faults faults) {
        Map<EntryKey, Change> changes = new LinkedHashMap<>();
        for (String each : entries) {
            int equals = each.indexOf('=');
            EntryKey key = key(equals < 0 ? each : each.substring(0, equals));
            if (equals < 0) {
                throw new ParameterException(spec.commandLine(), "`" + each + "`: KEY=FILE");
            }
            Path file = Path.of(each.substring(equals + 1));
            files.put(key.toString(), file.toString());
            add(changes, new Change(key, SourceFile.text(file, faults)));
        }
        removed.forEach(key -> add(changes, new Change(key, null)));
        if (changes.isEmpty()) {
            throw new ParameterException(spec.commandLine(), "nothing to publish; KEY=FILE or --remove KEY");
        }
        return new ArrayList<>(changes.values());
    }

    private EntryKey key(String text) {
        try {
            return new ControlCommand.KeyConverter().convert(text);
        } catch (TypeConversionException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage(), e);
        }
    }

    private void add(Map<EntryKey, Change> changes, Change change) {
        if (changes.put(change.key(), change) != null) {
            throw new ParameterException(spec.commandLine(), change.key() + " is named twice");
        }
    }

    private int report(int status, PublishAnswer answer) {
        PrintWriter err = spec.commandLine().getErr();
        if (status == OK) {
            spec.commandLine().getOut().println(answer.version());
            return 0;
        }
        if (status == NOT_YET_CONFIRMED) {
            spec.commandLine().getOut().println(answer.version());
            err.println("published as " + answer.version() + ", but only " + answer.replicas() + " of " + acks
                + " replicas have confirmed it in time");
            return Lupinmount.CANNOT_RUN;
        }
        answer.reasons().forEach(reason -> err.println(status == REFUSED ? inFile(reason) : publisher + ": " + reason));
        return status == REFUSED ? ControlCommand.INVALID_FILE : Lupinmount.CANNOT_RUN;
    }

    /** Replaces the key at the start of a fault, which is its place for the publisher, by the operator's file. */
    private String inFile(String fault) {
        int colon = fault.indexOf(':');
        String key = colon < 0 ? fault : fault.substring(0, colon);
        return files.containsKey(key) ? files.get(key) + fault.substring(key.length()) : fault;
    }
}
