package onyxpaddle.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import onyxpaddle.capacity.CapacityRenderer;
import onyxpaddle.config.Faults;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Renders the capacity page from measured figures. */
@Command(name = "capacity", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
    description = "Computes what the fleet needs at its design size, from measured figures.",
    footer = "%nExample: lupinmount capacity render --figures target/scale.json --figures target/added-time.json --out docs/CAPACITY.md")
final class CapacityCommand implements Callable<Integer> {
    private static final int INVALID_FILE = 78;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return Lupinmount.USAGE;
    }

    @Command(name = "render", mixinStandardHelpOptions = true,
        description = "Renders the page; figures that no file has are shown as not measured.")
    int render(
            @Option(names = "--figures", paramLabel = "FILE", required = true,
                description = "the output of `bin/measure scale` or `added-time` with --json; may be repeated") List<Path> figures,
            @Option(names = "--machine", paramLabel = "TEXT", defaultValue = "",
                description = "the state of the machine during the measurement, such as `quiet`") String machine,
            @Option(names = "--out", paramLabel = "FILE",
                description = "the file to write the page to, atomically; without it, the page is printed") Path out) throws IOException {
        Faults faults = new Faults();
        String page = CapacityRenderer.page(figures, machine, faults);
        if (page == null) {
            faults.list().forEach(spec.commandLine().getErr()::println);
            return INVALID_FILE;
        }
        if (out == null) {
            spec.commandLine().getOut().print(page);
        } else {
            CapacityRenderer.write(out, page);
        }
        return 0;
    }
}
