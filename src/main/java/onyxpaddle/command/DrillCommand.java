package onyxpaddle.command;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import onyxpaddle.config.Faults;
import onyxpaddle.drill.Drill;
import onyxpaddle.drill.DrillReader;
import onyxpaddle.drill.DrillRun;
import onyxpaddle.drill.History;
import onyxpaddle.drill.HistoryCheck;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Runs several node processes with faults between them, and checks the results. */
@Command(name = "drill", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
    description = "Injects faults between several node processes on this machine, and checks the results against the rules.",
    footer = "%nExample: lupinmount drill run deploy/drills/node-stops.yaml --history /tmp/history.jsonl")
final class DrillCommand implements Callable<Integer> {
    private static final int INVALID_FILE = 78;
    private static final int MAX_SHOWN = 10;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return Lupinmount.USAGE;
    }

    @Command(name = "run", mixinStandardHelpOptions = true,
        description = "Runs a drill and checks its history; exit code 0 if no rule was broken.")
    int run(@Parameters(paramLabel = "FILE") Path file,
            @Option(names = "--seed", paramLabel = "N", description = "overrides the file's seed") Long seed,
            @Option(names = "--history", paramLabel = "FILE",
                description = "writes the events of the run to a file, one per line") Path history)
            throws Exception {
        Faults faults = new Faults();
        Drill drill = DrillReader.file(file, faults);
        if (drill == null) {
            faults.list().forEach(spec.commandLine().getErr()::println);
            return INVALID_FILE;
        }
        try (DrillRun run = new DrillRun(seed == null ? drill : drill.withSeed(seed), history)) {
            DrillRun.Outcome outcome = run.play();
            PrintWriter out = spec.commandLine().getOut();
            out.print(outcome.table());
            out.println("processor seconds of each node: " + new java.util.TreeMap<>(outcome.cpuSeconds()));
            return report(outcome.verdict(), drill.name() + ", seed " + (seed == null ? drill.seed() : seed));
        }
    }

    @Command(name = "check", mixinStandardHelpOptions = true, description = "Checks a recorded history.")
    int check(@Parameters(paramLabel = "HISTORY") Path history) {
        try {
            return report(HistoryCheck.check(History.read(history)), history.toString());
        } catch (IOException e) {
            spec.commandLine().getErr().println(e instanceof java.nio.file.NoSuchFileException
                ? history + ": there is no such file; check the name"
                : e.getMessage());
            return INVALID_FILE;
        }
    }

    private int report(HistoryCheck.Verdict verdict, String name) {
        PrintWriter out = spec.commandLine().getOut();
        out.printf("%d requests, %d answered, %d without an answer as their node was killed or stood still, %d runs%n",
            verdict.requests(), verdict.answered(), verdict.excused(), verdict.runs());
        verdict.breaches().stream().limit(MAX_SHOWN).forEach(b -> {
            out.println("rule " + b.rule() + ": " + b.what());
            b.lines().forEach(line -> out.println("    " + line));
        });
        int count = verdict.breaches().size();
        out.println(name + (count == 0 ? " holds"
            : " falls short: " + count + " breaches, the first of rule " + verdict.breaches().get(0).rule()));
        return count == 0 ? 0 : Lupinmount.CANNOT_RUN;
    }
}
