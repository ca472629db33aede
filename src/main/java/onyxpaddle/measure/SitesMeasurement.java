package onyxpaddle.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import onyxpaddle.drill.Drill;
import onyxpaddle.drill.DrillPlan;
import onyxpaddle.drill.DrillRun;
import onyxpaddle.measure.Measure.Measurement;
import onyxpaddle.site.Fleet;
import onyxpaddle.siteplan.Planner;

/** A site lost at the peak, by processes: what is served with a plan in each node and without, in turn, against the best that survivors could do. */
final class SitesMeasurement implements Measurement {
    private static final String LOST = "north";
    private static final double LEAST_OF_OPTIMUM = 0.9;
    private static final double BACK = 0.95;
    /** How many seconds of the drill are looked at after the loss. */
    private static final int SECONDS = 10;

    @Override
    public void run(Figures figures, double part) throws Exception {
        Drill drill = DrillsMeasurement.shipped("peak-loss");
        Fleet fleet = DrillPlan.fleet(drill);
        double optimum = Planner.solve(fleet, Set.of(LOST)).evaluation().worth() / fleet.worth();
        figures.put("the best that survivors could serve, of the worth that comes", optimum, "");
        List<Double> with = new ArrayList<>();
        List<Double> without = new ArrayList<>();
        for (int i = 0; i < part; i++) {
            without.add(play(figures, drill.withSeed(drill.seed() + i).withPlan(false), fleet, optimum));
            with.add(play(figures, drill.withSeed(drill.seed() + i).withPlan(true), fleet, optimum));
        }
        if (part > 1) {
            // Clients that come back as told, once: what they get then is later than their first try's aim, and counts for nothing here.
            play(figures, drill.withRetries(1).withPlan(false), fleet, optimum);
            play(figures, drill.withRetries(1).withPlan(true), fleet, optimum);
        }
        figures.hold("worth in the 10 s after the loss, of the best, with a plan", Figures.median(with), "", LEAST_OF_OPTIMUM, 1.1);
        System.out.println("    plays " + Figures.spread(with) + "; without a plan " + Figures.spread(without));
    }

    private static double play(Figures figures, Drill drill, Fleet fleet, double optimum) throws Exception {
        String at = (drill.nodes().plan() ? "plan" : "no plan") + ", seed " + drill.seed() + (drill.load().get(0).retries() > 0 ? ", clients retry: " : ": ");
        int lost = (int) (drill.faults().get(0).atMs() / 1_000);
        int back = lost + (int) (drill.faults().get(0).forMs() / 1_000);
        int end = (int) (drill.durationMs() / 1_000);
        try (DrillRun run = new DrillRun(drill, null)) {
            DrillRun.Outcome outcome = run.play();
            var seconds = outcome.figures();
            var after = seconds.between(lost, lost + SECONDS);
            double of = after.worthServed() / after.worthOffered() / optimum;
            figures.put(at + "worth in the 10 s after the loss, of the best", of, "");
            figures.put(at + "the same from the third second on", of(seconds, lost + 2, lost + SECONDS) / optimum, "");
            figures.put(at + "seconds until nine tenths of the best are served", until(seconds, lost, end, LEAST_OF_OPTIMUM * optimum), "s");
            for (String name : fleet.refusalOrder()) {
                var c = seconds.classTotals(name, lost + 2, lost + SECONDS);
                figures.put(at + name + " served in time meanwhile", (double) c.withinAim() / Math.max(1, c.offered()), "");
            }
            figures.put(at + "p99 of survivors meanwhile, as clients see it", seconds.between(lost + 2, lost + SECONDS).quantile(0.99), "ms");
            figures.put(at + "seconds from the return until 0.95 of the worth is served", until(seconds, back, end, BACK), "s");
            figures.hold(at + "breaches of the rules", outcome.verdict().breaches().size(), "", 0, 0);
            return of;
        }
    }

    private static double of(onyxpaddle.drill.ClientStatistics seconds, int from, int to) {
        var all = seconds.between(from, to);
        return all.worthServed() / Math.max(1e-9, all.worthOffered());
    }

    /** Seconds from one of them to the end of the first that served this part; all to the end where none did. */
    private static double until(onyxpaddle.drill.ClientStatistics seconds, int from, int end, double part) {
        for (int i = from; i < end; i++) {
            if (of(seconds, i, i + 1) >= part) {
                return i + 1 - from;
            }
        }
        return end - from;
    }
}
