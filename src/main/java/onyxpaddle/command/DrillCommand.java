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

/** Several processes of the program, and faults between them. */
@Command(name = "drill", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
    description = "Plays faults between several node processes on this machine, and judges what came of it by the rules.",
    footer = "%nExample: lupinmount drill run deploy/drills/node-stops.yaml --history /tmp/history.jsonl")
final class DrillCommand implements Callable<Integer> {
    private static final int FAULTS = 78;
    private static final int MOST_SHOWN = 10;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return Lupinmount.USAGE;
    }

    @Command(name = "run", mixinStandardHelpOptions = true, description = "Plays a drill and judges it; 0 where all rules were kept.")
    int run(@Parameters(paramLabel = "FILE") Path file,
            @Option(names = "--seed", paramLabel = "N", description = "in place of the file's") Long seed,
            @Option(names = "--history", paramLabel = "FILE", description = "keeps all that happened, a line each") Path history)
            throws Exception {
        Faults faults = new Faults();
        Drill drill = DrillReader.file(file, faults);
        if (drill == null) {
            faults.list().forEach(spec.commandLine().getErr()::println);
            return FAULTS;
        }
        try (DrillRun run = new DrillRun(seed == null ? drill : drill.withSeed(seed), history)) {
            DrillRun.Outcome outcome = run.play();
            PrintWriter out = spec.commandLine().getOut();
            out.print(outcome.table());
            out.println("processor seconds of each node: " + new java.util.TreeMap<>(outcome.cpuSeconds()));
            return say(outcome.verdict(), drill.name() + ", seed " + (seed == null ? drill.seed() : seed));
        }
    }

    @Command(name = "check", mixinStandardHelpOptions = true, description = "Judges a history again.")
    int check(@Parameters(paramLabel = "HISTORY") Path history) {
        try {
            return say(HistoryCheck.check(History.read(history)), history.toString());
        } catch (IOException e) {
            spec.commandLine().getErr().println(e instanceof java.nio.file.NoSuchFileException ? history + ": there is no such file; check the name"
                : e.getMessage());
            return FAULTS;
        }
    }

    private int say(HistoryCheck.Verdict verdict, String name) {
        PrintWriter out = spec.commandLine().getOut();
        out.printf("%d requests, %d answered, %d without an answer as their node was killed or stood still, %d runs%n", verdict.requests(), verdict.answered(),
            verdict.excused(), verdict.runs());
        verdict.breaches().stream().limit(MOST_SHOWN).forEach(b -> {
            out.println("rule " + b.rule() + ": " + b.what());
            b.lines().forEach(line -> out.println("    " + line));
        });
        int count = verdict.breaches().size();
        out.println(name + (count == 0 ? " holds" : " falls short: " + count + " breaches, the first of rule " + verdict.breaches().get(0).rule()));
        return count == 0 ? 0 : Lupinmount.CANNOT_RUN;
    }
}
