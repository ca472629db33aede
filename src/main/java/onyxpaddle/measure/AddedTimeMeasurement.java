package onyxpaddle.measure;

import java.util.List;
import java.util.Locale;
import onyxpaddle.scale.AddedTime;
import onyxpaddle.scale.AddedTime.Plan;
import onyxpaddle.scale.AddedTimeReport;
import onyxpaddle.scale.AddedTimeReport.Verdict;
import onyxpaddle.scale.OpenLoadCores;
import onyxpaddle.scale.OpenLoadServerProcess;

/**
 * What a sidecar node adds to a call under open load, for 99 in 100 calls, at the mean rate of a node and at that of a busy one.
 * {@code -Dmeasure.added-time.delay-us=1000} puts a delay between node and server: a fault that has to be found.
 */
final class AddedTimeMeasurement implements Measure.Measurement {
    /** The most that a node may add to 99 in 100 calls, in milliseconds. */
    private static final double BUDGET_MS = 0.36;
    /** 240,000 calls a second over 920 nodes, and some four times that. */
    private static final double[] RATES = {261, 1_000};
    private static final int ROUNDS = 5;
    private static final long BLOCK_NANOS = 2_000_000_000L;
    private static final Plan WARM_UP = new Plan(1_000, 3, 1_000_000_000L, 1);
    private static final long SEED = 48;

    private static final String CONFIG = """
        version: 1
        name: measured
        listeners:
          in: {address: "127.0.0.1:%d"}
        classes:
          look: {effect: safe, deadline: 2 s}
        pools:
          application: {servers: ["127.0.0.1:%d"], keep-alive: 30 s}
        routes:
          - {name: look, listener: in, path: /, pool: application, class: look}
        """;

    @Override
    public void run(Figures figures, double part) throws Exception {
        long delayMicros = Long.getLong("measure.added-time.delay-us", 0);
        try (OpenLoadServerProcess server = OpenLoadServerProcess.start(delayMicros);
                NodeProcess node = NodeProcess.start(CONFIG, 1, server.delayed().getPort());
                AddedTime calls = new AddedTime(server.prompt(), node.listener(0))) {
            calls.warmUp(WARM_UP);
            OpenLoadCores cores = new OpenLoadCores(List.of(ProcessHandle.current().pid(), server.pid(), node.pid()));
            for (double rate : RATES) {
                AddedTimeReport report = calls.measure(new Plan(rate, (int) (ROUNDS * part), BLOCK_NANOS, SEED));
                tell(figures, report);
            }
            figures.put("added-time cores allowed", cores.count(), "");
            figures.put("added-time cores used by others, mean", cores.usedByOthers(), "");
        }
    }

    private static void tell(Figures figures, AddedTimeReport report) {
        String at = String.format(Locale.ROOT, "added-time %.0f/s ", report.perSecond());
        for (double percent : new double[] {50, 99, 99.9}) {
            String percentile = "p" + (percent == (int) percent ? String.valueOf((int) percent) : String.valueOf(percent));
            figures.put(at + "straight " + percentile, report.straight(percent), "ms");
            figures.put(at + "through " + percentile, report.through(percent), "ms");
            figures.put(at + "added " + percentile, report.added(percent), "ms");
            figures.put(at + "added " + percentile + " lowest round", report.addedLowest(percent), "ms");
            figures.put(at + "added " + percentile + " highest round", report.addedHighest(percent), "ms");
            figures.put(at + "added " + percentile + " all rounds together", report.addedPooled(percent), "ms");
        }
        figures.put(at + "rounds", report.rounds().size(), "");
        figures.put(at + "calls through", report.calls(), "");
        figures.put(at + "sent late p99", report.sendDelay(99), "ms");
        figures.put(at + "noise p50", report.noise(50), "ms");
        judge(figures, at, report);
        System.out.println(report.sentence(BUDGET_MS));
    }

    /** The noise is held to the budget first: above it nothing is said of the node. */
    private static void judge(Figures figures, String at, AddedTimeReport report) {
        double noise = report.noise(AddedTimeReport.JUDGED_PERCENT);
        figures.hold(at + "noise p99", noise, "ms", 0, BUDGET_MS);
        figures.hold(at + "calls failed", report.failures(), "", 0, 0);
        Verdict verdict = report.verdict(BUDGET_MS);
        figures.hold(at + "verdict (0 within, 1 over, 2 can't be judged)", verdict.ordinal(), "", 0, 0);
    }
}
