package onyxpaddle.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import onyxpaddle.drill.ServeProcess;
import onyxpaddle.measure.Measure.Measurement;
import onyxpaddle.standin.StandInServer;

/**
 * The process of a platform node is replaced again and again under load: a second one starts beside it, and once that is
 * ready the first gets SIGTERM, and SIGKILL 3.7 s later. Counts what clients were turned back unheard, what was lost, what
 * ran twice, and how much of the load met a slow server just after, with and without what the first process knew.
 */
final class UpgradeMeasurement implements Measurement {
    private static final int CLIENTS = 24;
    private static final int REPLACEMENTS = 10;
    private static final long KILL_MS = 3_700;
    private static final int SLOW_MS = 200;
    private static final int FAST_MS = 10;
    private static final long LOOK_MS = 1_000;

    @Override
    public void run(Figures figures, double part) throws Exception {
        try (PlatformRig rig = new PlatformRig(4)) {
            for (StandInServer server : rig.servers) {
                server.delay(FAST_MS, 2 * FAST_MS);
            }
            rig.servers.get(0).delay(SLOW_MS, SLOW_MS);
            ServeProcess first = rig.start(true);
            NamedLoad load = new NamedLoad(rig, CLIENTS);
            TimeUnit.MILLISECONDS.sleep(3 * LOOK_MS);
            double usual = slowShare(rig);
            List<Double> starts = new ArrayList<>();
            List<Double> known = new ArrayList<>();
            List<Double> anew = new ArrayList<>();
            int count = (int) (REPLACEMENTS * part);
            for (int i = 0; i < count; i++) {
                // Now and then one that is told nothing, for comparison; the one after it finds nobody to ask.
                boolean told = i % 5 != 4;
                ServeProcess next = rig.start(told);
                starts.add(next.startMs());
                first.process().destroy();
                (told && i % 5 != 0 ? known : anew).add(slowShare(rig));
                if (!first.process().waitFor(KILL_MS - LOOK_MS, TimeUnit.MILLISECONDS)) {
                    first.process().destroyForcibly().waitFor();
                }
                first = next;
            }
            NamedLoad.Audit audit = load.end();
            figures.put("replacements", count, "");
            figures.put("requests served", audit.served(), "");
            figures.put("refused", audit.refused(), "");
            figures.hold("failed", audit.failed(), "", 0, 0);
            figures.hold("turned back unheard", audit.turnedBack(), "", 0, Math.max(1, count / 50.0));
            figures.hold("lost: ran, and no answer", audit.lost(), "", 0, 0);
            figures.hold("bookings that ran twice", audit.twice(), "", 0, 0);
            figures.hold("start to ready, median", Figures.median(starts), "ms", 0, 6_000);
            figures.hold("start to ready, longest", starts.stream().mapToDouble(d -> d).max().orElse(0), "ms", 0, 6_000);
            figures.put("share of the slow server, usual", usual, "");
            figures.put("share in the first second, told, median", Figures.median(known), "");
            figures.put("share in the first second, not told, median", Figures.median(anew), "");
        }
    }

    /** The slow server's part of what runs in a second from now. */
    private static double slowShare(PlatformRig rig) throws InterruptedException {
        long slow = rig.servers.get(0).served();
        long all = rig.servers.stream().mapToLong(StandInServer::served).sum();
        TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        return (double) (rig.servers.get(0).served() - slow)
            / Math.max(1, rig.servers.stream().mapToLong(StandInServer::served).sum() - all);
    }
}
