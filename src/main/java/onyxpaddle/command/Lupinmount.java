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

/** All of the program's commands, in one tree. The platform's {@code serve} and the simulator's adapter don't come by here. */
@Command(name = "lupinmount", mixinStandardHelpOptions = true, versionProvider = Lupinmount.Version.class,
    synopsisSubcommandLabel = "COMMAND", subcommands = {Lupinmount.Serve.class, NodeCommand.class, BgpCommand.class, DrillCommand.class,
        SitesCommand.class, SiteCommand.class, CapacityCommand.class, Measure.class},
    description = "A load-balancing node, and what belongs to it.",
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {"0:done, or the answer is yes", "1:cannot run, or the answer is no", "64:wrong usage", "78:faults in a file"})
public final class Lupinmount implements Callable<Integer> {
    static final int CANNOT_RUN = 1;
    static final int USAGE = 64;

    @Spec
    private CommandSpec spec;

    /** Runs a command and returns its exit code; -1 where it goes on running. */
    public static int run(String[] args, PrintWriter out, PrintWriter err) {
        CommandLine line = new CommandLine(new Lupinmount());
        line.addSubcommand(SidecarCommand.line()).addSubcommand(RpcCommand.line());
        if (args.length == 0 || !args[0].equals("serve")) {
            // Its options have types of `distribution`, none of which a node without control processes is to load.
            line.addSubcommand(new ControlCommand());
        }
        return CommandRunner.run(line, args, out, err);
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return USAGE;
    }

    /** Runs a node by a file; without one, as the platform's environment says. */
    @Command(name = "serve", mixinStandardHelpOptions = true, description = {"Runs a node until SIGTERM; SIGHUP reads the file again.",
        "Without --config it is told by GW_CONFIG and the other variables of its platform."},
        footer = {"%nExamples: lupinmount serve --config /tmp/nodes/booking.yaml --admin 127.0.0.1:9801",
            "          lupinmount serve --config /tmp/nodes/booking.yaml --control 127.0.0.1:8200,127.0.0.1:8201 --service booking"
                + " --state /tmp/state"})
    static final class Serve implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(names = "--config", required = true, paramLabel = "FILE", description = "the node's configuration")
        private Path file;

        @Option(names = "--admin", paramLabel = "ADDRESS", converter = AdminClient.Address.class,
            description = "where operators call, in place of the file's: for a second process beside the first")
        private HostPort admin;

        @Option(names = "--control", split = ",", paramLabel = "ADDRESS", converter = AdminClient.Address.class,
            description = "control processes whose entries are laid over the file; any number, separated by commas")
        private List<HostPort> control;

        @Option(names = "--service", paramLabel = "NAME", defaultValue = "",
            description = "the service beside which this node runs, whose entries concern it; with --control")
        private String service;

        @Option(names = "--state", paramLabel = "DIR",
            description = "where the entries in force are kept for a start without any control process; with --control")
        private Path state;

        @Override
        public Integer call() {
            if (control == null) {
                if (!service.isEmpty() || state != null) {
                    throw new ParameterException(spec.commandLine(), "--service and --state belong to --control, which is missing");
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
