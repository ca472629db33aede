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

/** What the fleet needs, as a page. */
@Command(name = "capacity", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
    description = "Shows what the fleet needs at the size to design for, from measured figures.",
    footer = "%nExample: lupinmount capacity render --figures target/scale.json --figures target/added-time.json --out docs/CAPACITY.md")
final class CapacityCommand implements Callable<Integer> {
    private static final int FAULTS = 78;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return Lupinmount.USAGE;
    }

    @Command(name = "render", mixinStandardHelpOptions = true,
        description = "Makes the page; what no file holds is shown as not measured.")
    int render(
            @Option(names = "--figures", paramLabel = "FILE", required = true,
                description = "what `bin/measure scale` or `added-time` wrote by --json; may be given several times") List<Path> figures,
            @Option(names = "--machine", paramLabel = "TEXT", defaultValue = "",
                description = "the state that the machine was in, such as `quiet`") String machine,
            @Option(names = "--out", paramLabel = "FILE",
                description = "writes the page there, whole or not at all; without it, it is printed") Path out) throws IOException {
        Faults faults = new Faults();
        String page = CapacityRenderer.page(figures, machine, faults);
        if (page == null) {
            faults.list().forEach(spec.commandLine().getErr()::println);
            return FAULTS;
        }
        if (out == null) {
            spec.commandLine().getOut().print(page);
        } else {
            CapacityRenderer.write(out, page);
        }
        return 0;
    }
}
