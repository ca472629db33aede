package onyxpaddle.command;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import onyxpaddle.config.HostPort;
import onyxpaddle.measure.Measure;
import onyxpaddle.serve.DistributedNode;
import onyxpaddle.serve.Sidecar;
import onyxpaddle.sidecar.CommandRunner;
import onyxpaddle.sidecar.RpcCommand;
import onyxpaddle.sidecar.SidecarCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command line of the program. The platform's {@code serve} and the simulator's adapter have entry points of their own. */
@Command(name = "lupinmount", mixinStandardHelpOptions = true, versionProvider = Lupinmount.Version.class,
    synopsisSubcommandLabel = "COMMAND", subcommands = {Lupinmount.Serve.class, NodeCommand.class, BgpCommand.class, DrillCommand.class,
        SitesCommand.class, SiteCommand.class, CapacityCommand.class, Measure.class},
    description = "A load-balancing node and its tools.",
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {"0:done, or the answer is yes", "1:cannot run, or the answer is no", "64:wrong usage", "78:faults in a file"})
public final class Lupinmount implements Callable<Integer> {
    static final int CANNOT_RUN = 1;
    static final int USAGE = 64;

    @Spec
    private CommandSpec spec;

    /** Runs a command and returns its exit code, or -1 if it keeps running. */
    public static int run(String[] args, PrintWriter out, PrintWriter err) {
        CommandLine line = new CommandLine(new Lupinmount());
        line.addSubcommand(SidecarCommand.line()).addSubcommand(RpcCommand.line());
        if (args.length == 0 || !args[0].equals("serve")) {
            // Its options have types of `distribution`, which a node without control processes must not load.
            line.addSubcommand(new ControlCommand());
        }
        return CommandRunner.run(line, args, out, err);
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return USAGE;
    }

    /** Runs a node from a configuration file. Without one, the platform's environment variables apply. */
    @Command(name = "serve", mixinStandardHelpOptions = true, description = {"Runs a node until SIGTERM; SIGHUP reads the file again.",
        "Without --config, GW_CONFIG and the other variables of the platform apply."},
        footer = {"%nExamples: lupinmount serve --config /tmp/nodes/booking.yaml --admin 127.0.0.1:9801",
            "          lupinmount serve --config /tmp/nodes/booking.yaml --control 127.0.0.1:8200,127.0.0.1:8201 --service booking"
                + " --state /tmp/state"})
    static final class Serve implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(names = "--config", required = true, paramLabel = "FILE", description = "the node's configuration")
        private Path file;

        @Option(names = "--admin", paramLabel = "ADDRESS", converter = AdminClient.AddressConverter.class,
            description = "the admin address, instead of the file's: for a second process beside the first")
        private HostPort admin;

        @Option(names = "--control", split = ",", paramLabel = "ADDRESS", converter = AdminClient.AddressConverter.class,
            description = "control processes whose entries override the file, separated by commas")
        private List<HostPort> control;

        @Option(names = "--service", paramLabel = "NAME", defaultValue = "",
            description = "the service that this node runs beside, whose entries apply to it; with --control")
        private String service;

        @Option(names = "--state", paramLabel = "DIR",
            description = "the directory of the entries in force, for starts without a control process; with --control")
        private Path state;

        @Override
        public Integer call() {
            if (control == null) {
                if (!service.isEmpty() || state != null) {
                    throw new ParameterException(spec.commandLine(), "--service and --state require --control");
                }
                Sidecar.main(file, admin);
            } else {
                DistributedNode.main(file, admin, control, service, state);
            }
            return -1;
        }
    }

    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Lupinmount.class.getPackage().getImplementationVersion();
            return new String[] {"lupinmount " + (version == null ? "(not from its jar)" : version)};
        }
    }
}
