package onyxpaddle.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import onyxpaddle.config.Faults;
import onyxpaddle.drill.Drill;
import onyxpaddle.drill.DrillReader;
import onyxpaddle.drill.DrillRun;
import onyxpaddle.drill.ServeProcess;
import onyxpaddle.measure.Measure.Measurement;

/** The drills that the project ships, those with faults of processes, links and sites: breaches of the rules over all processes together. */
final class DrillsMeasurement implements Measurement {
    private static final List<String> SHIPPED = List.of("node-stops", "site-lost");

    @Override
    public void run(Figures figures, double part) throws Exception {
        for (String name : SHIPPED) {
            Drill drill = shipped(name);
            for (int i = 0; i < part; i++) {
                play(figures, drill.withSeed(drill.seed() + i));
            }
        }
    }

    /** A drill that lies beside the program. */
    static Drill shipped(String name) throws IOException {
        Path file = ServeProcess.jar().toAbsolutePath().getParent().resolveSibling("deploy").resolve("drills").resolve(name + ".yaml");
        if (!Files.exists(file)) {
            throw new IOException(file + " is not there: run it from the checkout that the jar was built in");
        }
        Faults faults = new Faults();
        Drill drill = DrillReader.file(file, faults);
        if (drill == null) {
            throw new IOException(faults.list().toString());
        }
        return drill;
    }

    private static void play(Figures figures, Drill drill) throws Exception {
        String at = drill.name() + ", seed " + drill.seed() + ": ";
        try (DrillRun run = new DrillRun(drill, null)) {
            DrillRun.Outcome outcome = run.play();
            var all = outcome.figures().between(0, Integer.MAX_VALUE);
            figures.put(at + "requests", outcome.verdict().requests(), "");
            figures.put(at + "worth served in time", all.worthServed() / all.worthOffered(), "");
            figures.put(at + "no answer, as the node was killed or stood still", outcome.verdict().excused(), "");
            figures.hold(at + "breaches of the rules", outcome.verdict().breaches().size(), "", 0, 0);
        }
    }
}
