package onyxpaddle.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import onyxpaddle.drill.ServeProcess;
import onyxpaddle.measure.DepartingClients.Behaviour;
import onyxpaddle.measure.DepartingClients.Departure;
import onyxpaddle.measure.DepartingClients.Outcome;
import onyxpaddle.measure.Measure.Measurement;
import onyxpaddle.node.NodeDelay;
import onyxpaddle.node.NodeEvent;

/**
 * A platform node that gets little processor time, before clients that leave: how many attempts begin too long after their client
 * has left, what servers are told of the remaining time, and what share of the clients that stay is served.
 */
final class StarvationMeasurement implements Measurement {
    private static final int SERVERS = 8;
    private static final int SERVER_DELAY_MS = 5;
    private static final int STEADY_PER_SECOND = 300;
    private static final int PERIOD_MS = 100;
    private static final long MILLI = 1_000_000L;
    private static final long SPACING = 2_500_000L;
    private static final long SETTLE_MS = 1_500;
    private static final long WARM_UP_MS = 2_000;

    private record Case(String name, int runMs, Behaviour behaviour) {
    }

    private static final List<Case> CASES = List.of(
        starved(10, 400, false, 200, Departure.CLOSE), starved(20, 400, false, 200, Departure.CLOSE),
        starved(20, 400, false, 200, Departure.RESET), starved(25, 400, false, 200, Departure.CLOSE),
        starved(50, 400, false, 200, Departure.CLOSE), starved(10, 400, true, 200, Departure.CLOSE),
        starved(20, 400, true, 200, Departure.CLOSE), starved(25, 400, true, 200, Departure.CLOSE),
        starved(10, 300, false, 600, Departure.CLOSE), starved(10, 300, true, 600, Departure.CLOSE),
        starved(PERIOD_MS, 400, false, 200, Departure.CLOSE));

    private static Case starved(int runMs, int count, boolean kept, long waitMs, Departure departure) {
        String name = String.format(Locale.ROOT, "%d of 100 ms, %s, wait %d ms, %s", runMs, kept ? "kept" : "fresh", waitMs,
            departure.name().toLowerCase(Locale.ROOT));
        return new Case(name, runMs, new Behaviour(count, kept, 0, waitMs * MILLI, waitMs * MILLI, SPACING, departure));
    }

    @Override
    public void run(Figures figures, double part) throws Exception {
        for (Case one : CASES) {
            play(figures, one, (int) Math.max(1, part));
        }
        for (boolean busy : new boolean[] {true, false}) {
            playStop(figures, busy, (int) Math.max(1, part));
        }
    }

    private static void play(Figures figures, Case one, int rounds) throws Exception {
        AttemptRecorder recorder = new AttemptRecorder();
        List<Outcome> outcomes = new ArrayList<>();
        try (PlatformRig rig = rig(recorder)) {
            ServeProcess node = rig.start(false);
            try (SteadyLoad steady = new SteadyLoad(rig.listen, STEADY_PER_SECOND)) {
                TimeUnit.MILLISECONDS.sleep(WARM_UP_MS);
                for (int round = 0; round < rounds; round++) {
                    DepartingClients clients = new DepartingClients(one.behaviour(), "r" + round).connect(rig.listen);
                    long ended = steady.ended();
                    long served = steady.served();
                    double servedShare;
                    StarvedProcess starved = one.runMs() < PERIOD_MS ? new StarvedProcess(node.process().pid(), one.runMs(), PERIOD_MS)
                        : null;
                    try {
                        clients.run(rig.listen);
                        TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
                        servedShare = (double) (steady.served() - served) / Math.max(1, steady.ended() - ended);
                    } finally {
                        if (starved != null) {
                            starved.close();
                        }
                    }
                    figures.put(one.name() + ": served of those that stay", servedShare, "");
                    TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
                    clients.close();
                    outcomes.add(clients.outcome(recorder));
                }
            }
            tellMetrics(figures, one.name(), node.call("GET /metrics"));
        }
        tell(figures, one.name(), outcomes);
    }

    /** The process is stopped once, while clients come and leave. */
    private static void playStop(Figures figures, boolean busy, int rounds) throws Exception {
        for (boolean kept : new boolean[] {false, true}) {
            AttemptRecorder recorder = new AttemptRecorder();
            List<Outcome> outcomes = new ArrayList<>();
            try (PlatformRig rig = rig(recorder)) {
                ServeProcess node = rig.start(false);
                SteadyLoad steady = new SteadyLoad(rig.listen, busy ? STEADY_PER_SECOND : 0);
                try {
                    TimeUnit.MILLISECONDS.sleep(WARM_UP_MS);
                    for (int round = 0; round < rounds; round++) {
                        DepartingClients clients = new DepartingClients(new Behaviour(100, kept, 0, 200 * MILLI, 200 * MILLI, SPACING,
                            Departure.CLOSE),
                            "s" + round).connect(rig.listen);
                        StarvedProcess.stop(node.process().pid());
                        clients.run(rig.listen);
                        StarvedProcess.resume(node.process().pid());
                        TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
                        outcomes.add(clients.outcome(recorder));
                    }
                } finally {
                    steady.close();
                }
            }
            tell(figures, "stopped for 0.45 s, " + (busy ? "busy" : "idle") + (kept ? ", kept" : ", fresh"), outcomes);
        }
    }

    private static PlatformRig rig(AttemptRecorder recorder) throws Exception {
        PlatformRig rig = new PlatformRig(SERVERS);
        rig.servers.forEach(s -> s.delay(SERVER_DELAY_MS, SERVER_DELAY_MS).watcher(recorder));
        return rig;
    }

    /** What the node itself has seen. */
    private static void tellMetrics(Figures figures, String name, String metrics) {
        for (NodeDelay delay : NodeDelay.values()) {
            figures.put(name + ": node's longest " + delay.label(),
                metric(metrics, "svc_longest_delay_microseconds{delay=\"" + delay.label() + "\"}") / 1e3, "ms");
        }
        NodeEvent left = NodeEvent.ATTEMPT_CLIENT_LEFT;
        figures.put(name + ": attempts not begun as the client had left",
            metric(metrics, "svc_events_total{kind=\"" + left.kind().label() + "\",reason=\"" + left.label() + "\"}"), "");
    }

    /** A metric's value; NaN for a node that does not have it. */
    private static double metric(String metrics, String series) {
        return metrics.lines().filter(line -> line.startsWith(series + " "))
            .mapToDouble(line -> Double.parseDouble(line.substring(series.length() + 1))).findFirst().orElse(Double.NaN);
    }

    private static void tell(Figures figures, String name, List<Outcome> outcomes) {
        figures.put(name + ": sent on", outcomes.stream().mapToInt(Outcome::sentOn).sum(), "");
        figures.hold(name + ": late", outcomes.stream().mapToInt(Outcome::late).sum(), "", 0, 0);
        figures.put(name + ": latest after departure", outcomes.stream().filter(o -> o.sentOn() > 0).mapToLong(Outcome::latestNanos).max()
            .orElse(0) / 1e6, "ms");
        figures.hold(name + ": told too much", outcomes.stream().mapToInt(Outcome::overstated).sum(), "", 0, 0);
        figures.put(name + ": most told over what was left", outcomes.stream().filter(o -> o.sentOn() > 0)
            .mapToLong(Outcome::worstExcessNanos).max().orElse(0) / 1e6, "ms");
    }
}
