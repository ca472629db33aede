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

/** Control processes: running one, publishing changes of configuration, and seeing where they are in force. */
@Command(name = "control", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
    subcommands = {ControlCommand.Serve.class, ControlPublish.class, ControlStatus.class},
    description = "Runs a control process, publishes changes of configuration to nodes, or shows where they are in force.",
    footer = "%nExample: lupinmount control status --control 127.0.0.1:9901,127.0.0.1:9902")
final class ControlCommand implements Callable<Integer> {
    static final int FAULTS = 78;

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

        @Option(names = "--listen", required = true, paramLabel = "ADDRESS", converter = AdminClient.Address.class,
            description = "where nodes, other control processes and operators call")
        private HostPort listen;

        @Option(names = "--id", required = true, paramLabel = "NAME", description = "its name among the control processes")
        private String id;

        @Option(names = "--state", required = true, paramLabel = "DIR", description = "where it keeps its state; of no other process")
        private Path folder;

        @Option(names = "--publisher", description = "takes changes; there is one publisher at a time")
        private boolean publisher;

        @Option(names = "--epoch", paramLabel = "N",
            description = "the publisher's epoch: 1 for the first, then one more at each take-over")
        private long epoch;

        @Option(names = "--take-over-from", paramLabel = "ADDRESS", split = ",", converter = AdminClient.Address.class,
            description = "control processes from which a publisher copies the newest state before it begins its epoch")
        private List<HostPort> takeOverFrom = List.of();

        @Option(names = "--follow", paramLabel = "ADDRESS", split = ",", converter = AdminClient.Address.class,
            description = "the publisher and the other replicas, which a replica follows")
        private List<HostPort> follow = List.of();

        @Option(names = "--whole-rate", paramLabel = "SIZE", converter = Size.class, defaultValue = "8 MiB",
            description = "how many bytes of whole answers go out in a second, at most; ${DEFAULT-VALUE} if not said")
        private long wholeRate;

        @Override
        public Integer call() throws IOException, InterruptedException {
            check();
            List<HostPort> others = follow.stream().filter(at -> !at.equals(listen)).toList();
            try {
                ControlProcess process = ControlProcess.start(
                    new ControlSettings(listen, id, folder, publisher ? epoch : 0, takeOverFrom, others, wholeRate));
                Runtime.getRuntime().addShutdownHook(new Thread(process::close, "end"));
                return -1;
            } catch (StartRefusedException e) {
                spec.commandLine().getErr().println("lupinmount: " + e.getMessage());
                return FAULTS;
            }
        }

        private void check() {
            require(EntryKey.isName(id), "--id: lower-case letters, digits and hyphens");
            require(wholeRate > 0, "--whole-rate: more than nothing");
            require(!publisher || epoch > 0 && epoch <= ConfigurationVersion.MAX, "--publisher: with --epoch N, from 1 on");
            require(!publisher || follow.isEmpty(), "--follow: a publisher follows nobody");
            require(publisher || epoch == 0 && takeOverFrom.isEmpty(), "--epoch, --take-over-from: only with --publisher");
            require(publisher || !follow.isEmpty(), "a replica is told whom to --follow, a publisher is one by --publisher");
        }

        private void require(boolean fine, String right) {
            if (!fine) {
                throw new ParameterException(spec.commandLine(), right);
            }
        }
    }

    /** Sizes with their unit. */
    static final class Size implements ITypeConverter<Long> {
        @Override
        public Long convert(String text) {
            long size = Units.parseSize(text);
            if (size < 0) {
                throw new TypeConversionException("`" + text + "` is no size; such as `8 MiB`");
            }
            return size;
        }
    }

    /** Times with their unit, in nanoseconds. */
    static final class Span implements ITypeConverter<Long> {
        @Override
        public Long convert(String text) {
            long span = Units.parseSpan(text);
            if (span < 0) {
                throw new TypeConversionException("`" + text + "` is no time; such as `8 s`");
            }
            return span;
        }
    }

    /** Versions such as {@code 1.42}. */
    static final class Version implements ITypeConverter<ConfigurationVersion> {
        @Override
        public ConfigurationVersion convert(String text) {
            try {
                return ConfigurationVersion.parse(text);
            } catch (IllegalArgumentException e) {
                throw new TypeConversionException(e.getMessage());
            }
        }
    }

    /** Keys of entries. */
    static final class KeyText implements ITypeConverter<EntryKey> {
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
