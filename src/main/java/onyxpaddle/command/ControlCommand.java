package onyxpaddle.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import onyxpaddle.config.HostPort;
import onyxpaddle.config.Units;
import onyxpaddle.control.ControlProcess;
import onyxpaddle.control.ControlSettings;
import onyxpaddle.control.StartRefusedException;
import onyxpaddle.distribution.ConfigurationVersion;
import onyxpaddle.distribution.EntryKey;
import picocli.CommandLine.Command;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import picocli.CommandLine.TypeConversionException;

/** Runs control processes, publishes configuration changes and shows which nodes apply them. */
@Command(name = "control", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
    subcommands = {ControlCommand.Serve.class, ControlPublish.class, ControlStatus.class},
    description = "Runs a control process, publishes configuration changes to nodes, or shows which versions are in force.",
    footer = "%nExample: lupinmount control status --control 127.0.0.1:9901,127.0.0.1:9902")
final class ControlCommand implements Callable<Integer> {
    static final int INVALID_FILE = 78;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return Lupinmount.USAGE;
    }

    /** Runs a control process until SIGTERM. */
    @Command(name = "serve", mixinStandardHelpOptions = true, description = "Runs a control process until SIGTERM.",
        footer = {"%nExamples: lupinmount control serve --listen 127.0.0.1:9901 --id r1 --state /tmp/r1 --publisher --epoch 1",
            "          lupinmount control serve --listen 127.0.0.1:9902 --id r2 --state /tmp/r2 --follow 127.0.0.1:9901"})
    static final class Serve implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(names = "--listen", required = true, paramLabel = "ADDRESS", converter = AdminClient.AddressConverter.class,
            description = "the address for nodes, other control processes and operators")
        private HostPort listen;

        @Option(names = "--id", required = true, paramLabel = "NAME", description = "a unique name among the control processes")
        private String id;

        @Option(names = "--state", required = true, paramLabel = "DIR",
            description = "the directory of its state, used by no other process")
        private Path directory;

        @Option(names = "--publisher", description = "accepts changes; there must be one publisher at a time")
        private boolean publisher;

        @Option(names = "--epoch", paramLabel = "N",
            description = "the publisher's epoch: 1 for the first one, increased by 1 at each take-over")
        private long epoch;

        @Option(names = "--take-over-from", paramLabel = "ADDRESS", split = ",", converter = AdminClient.AddressConverter.class,
            description = "control processes from which a publisher copies the newest state before its epoch starts")
        private List<HostPort> takeOverFrom = List.of();

        @Option(names = "--follow", paramLabel = "ADDRESS", split = ",", converter = AdminClient.AddressConverter.class,
            description = "the publisher and the other replicas that a replica follows")
        private List<HostPort> follow = List.of();

        @Option(names = "--whole-rate", paramLabel = "SIZE", converter = SizeConverter.class, defaultValue = "8 MiB",
            description = "the maximum rate of full updates, per second; default: ${DEFAULT-VALUE}")
        private long wholeRate;

        @Override
        public Integer call() throws IOException, InterruptedException {
            check();
            List<HostPort> others = follow.stream().filter(at -> !at.equals(listen)).toList();
            try {
                ControlProcess process = ControlProcess.start(
                    new ControlSettings(listen, id, directory, publisher ? epoch : 0, takeOverFrom, others, wholeRate));
                Runtime.getRuntime().addShutdownHook(new Thread(process::close, "end"));
                return -1;
            } catch (StartRefusedException e) {
                spec.commandLine().getErr().println("lupinmount: " + e.getMessage());
                return INVALID_FILE;
            }
        }

        private void check() {
            require(EntryKey.isName(id), "--id: lower-case letters, digits and hyphens");
            require(wholeRate > 0, "--whole-rate: must be above 0");
            require(!publisher || epoch > 0 && epoch <= ConfigurationVersion.MAX, "--publisher: requires --epoch N, from 1 on");
            require(!publisher || follow.isEmpty(), "--follow: not allowed with --publisher");
            require(publisher || epoch == 0 && takeOverFrom.isEmpty(), "--epoch, --take-over-from: only with --publisher");
            require(publisher || !follow.isEmpty(), "one of --follow, for a replica, and --publisher is required");
        }

        private void require(boolean valid, String message) {
            if (!valid) {
                throw new ParameterException(spec.commandLine(), message);
            }
        }
    }

    /** Converts sizes with a unit to bytes. */
    static final class SizeConverter implements ITypeConverter<Long> {
        @Override
        public Long convert(String text) {
            long size = Units.parseSize(text);
            if (size < 0) {
                throw new TypeConversionException("`" + text + "` is not a valid size; such as `8 MiB`");
            }
            return size;
        }
    }

    /** Converts times with a unit to nanoseconds. */
    static final class SpanConverter implements ITypeConverter<Long> {
        @Override
        public Long convert(String text) {
            long span = Units.parseSpan(text);
            if (span < 0) {
                throw new TypeConversionException("`" + text + "` is not a valid time; such as `8 s`");
            }
            return span;
        }
    }

    /** Converts versions such as {@code 1.42}. */
    static final class VersionConverter implements ITypeConverter<ConfigurationVersion> {
        @Override
        public ConfigurationVersion convert(String text) {
            try {
                return ConfigurationVersion.parse(text);
            } catch (IllegalArgumentException e) {
                throw new TypeConversionException(e.getMessage());
            }
        }
    }

    /** Converts the keys of entries. */
    static final class KeyConverter implements ITypeConverter<EntryKey> {
        @Override
        public EntryKey convert(String text) {
            try {
                return EntryKey.parse(text);
            } catch (IllegalArgumentException e) {
                throw new TypeConversionException(e.getMessage());
            }
        }
    }
}
