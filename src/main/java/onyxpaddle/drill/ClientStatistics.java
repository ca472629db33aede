package onyxpaddle.drill;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import onyxpaddle.drill.Drill.LoadClass;

/** What clients got, by seconds of the load; a request counts in the second in which its first try came. */
public final class ClientStatistics {
    /** One second. Round latenciesMs in milliseconds, of what was served, sorted. */
    public record Interval(int offered, int served, int withinAim, int refused, int failed, int turnedAway, double worthOffered, double worthServed,
            double[] latenciesMs) {
        /** In milliseconds; not a number where nothing was served. */
        public double quantile(double q) {
            return latenciesMs.length == 0 ? Double.NaN : latenciesMs[(int) Math.min(latenciesMs.length - 1, q * latenciesMs.length)];
        }
    }

    /** Of one class. {@code refused}: tries, so that a client that comes again counts again. */
    public record ClassTotals(int offered, int withinAim, int refused) {
    }

    private static final class Counts {
        final Map<String, int[]> byClass = new HashMap<>();
        int offered;
        int served;
        int withinAim;
        int refused;
        int failed;
        int turnedAway;
        double worthOffered;
        double worthServed;
        double[] latenciesMs = new double[64];

        int[] of(LoadClass c) {
            return byClass.computeIfAbsent(c.name(), name -> new int[3]);
        }
    }

    private final List<Counts> seconds = new ArrayList<>();
    private long begun;

    synchronized void begin(long now) {
        begun = now;
    }

    private Counts at(long when) {
        int second = (int) Math.max(0, (when - begun) / 1_000_000_000L);
        while (seconds.size() <= second) {
            seconds.add(new Counts());
        }
        return seconds.get(second);
    }

    synchronized void offered(LoadClass of) {
        Counts now = at(System.nanoTime());
        now.offered++;
        now.worthOffered += of.worth();
        now.of(of)[0]++;
    }

    synchronized void turnedAway() {
        at(System.nanoTime()).turnedAway++;
    }

    /** A try ended; {@code status}: 0 where it had no answer. */
    synchronized void ended(LoadClass of, long firstAt, int status) {
        Counts then = at(firstAt);
        if (status == 200) {
            double ms = (System.nanoTime() - firstAt) / 1e6;
            if (then.served == then.latenciesMs.length) {
                then.latenciesMs = Arrays.copyOf(then.latenciesMs, 2 * then.served);
            }
            then.latenciesMs[then.served++] = ms;
            if (ms <= of.aimMs()) {
                then.withinAim++;
                then.worthServed += of.worth();
                then.of(of)[1]++;
            }
        } else if (status == 503 || status == 429) {
            then.refused++;
            then.of(of)[2]++;
        } else {
            then.failed++;
        }
    }

    /** A class in the seconds from {@code from} on, up to {@code to}. */
    public synchronized ClassTotals classTotals(String name, int from, int to) {
        int[] sum = new int[3];
        for (Counts c : seconds.subList(Math.min(from, seconds.size()), Math.min(to, seconds.size()))) {
            int[] of = c.byClass.getOrDefault(name, new int[3]);
            for (int i = 0; i < sum.length; i++) {
                sum[i] += of[i];
            }
        }
        return new ClassTotals(sum[0], sum[1], sum[2]);
    }

    /** The seconds from {@code from} on, up to {@code to}, as one. */
    public synchronized Interval between(int from, int to) {
        Counts all = new Counts();
        double[] latenciesMs = {};
        for (Counts c : seconds.subList(Math.min(from, seconds.size()), Math.min(to, seconds.size()))) {
            all.offered += c.offered;
            all.withinAim += c.withinAim;
            all.refused += c.refused;
            all.failed += c.failed;
            all.turnedAway += c.turnedAway;
            all.worthOffered += c.worthOffered;
            all.worthServed += c.worthServed;
            int before = latenciesMs.length;
            latenciesMs = Arrays.copyOf(latenciesMs, before + c.served);
            System.arraycopy(c.latenciesMs, 0, latenciesMs, before, c.served);
        }
        Arrays.sort(latenciesMs);
        return new Interval(all.offered, latenciesMs.length, all.withinAim, all.refused, all.failed, all.turnedAway, all.worthOffered, all.worthServed, latenciesMs);
    }

    /** A table, a line a second. */
    String table() {
        StringBuilder text = new StringBuilder("   s offered  served  in aim refused  failed  turned   p50 ms   p99 ms   worth\n");
        int count;
        synchronized (this) {
            count = seconds.size();
        }
        for (int i = 0; i <= count; i++) {
            Interval s = i < count ? between(i, i + 1) : between(0, count);
            text.append(String.format(Locale.ROOT, "%4s %7d %7d %7d %7d %7d %7d %8.1f %8.1f %6.1f%%%n", i < count ? Integer.toString(i) : "all",
                s.offered(), s.served(), s.withinAim(), s.refused(), s.failed(), s.turnedAway(), s.quantile(0.5), s.quantile(0.99),
                100 * s.worthServed() / Math.max(1e-9, s.worthOffered())));
        }
        return text.toString();
    }
}
