package onyxpaddle.drill;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import onyxpaddle.drill.Drill.LoadClass;

/** Results as clients saw them, per second of the load; a request counts in the second of its first attempt. */
public final class ClientStatistics {
    /** Counts of an interval; {@code latenciesMs} are those of served requests, sorted. */
    public record Interval(int offered, int served, int withinAim, int refused, int failed, int turnedAway,
            double worthOffered, double worthServed, double[] latenciesMs) {
        /** A latency quantile in milliseconds; NaN if nothing was served. */
        public double quantile(double q) {
            return latenciesMs.length == 0 ? Double.NaN : latenciesMs[(int) Math.min(latenciesMs.length - 1, q * latenciesMs.length)];
        }
    }

    /** Totals of one class; {@code refused} counts attempts, so that each retry of a client counts. */
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
    private long startedAt;

    synchronized void begin(long now) {
        startedAt = now;
    }

    private Counts at(long when) {
        int second = (int) Math.max(0, (when - startedAt) / 1_000_000_000L);
        while (seconds.size() <= second) {
            seconds.add(new Counts());
        }
        return seconds.get(second);
    }

    synchronized void offered(LoadClass loadClass) {
        Counts now = at(System.nanoTime());
        now.offered++;
        now.worthOffered += loadClass.worth();
        now.of(loadClass)[0]++;
    }

    synchronized void turnedAway() {
        at(System.nanoTime()).turnedAway++;
    }

    /** Records the end of an attempt; {@code status} is 0 if there was no answer. */
    synchronized void ended(LoadClass loadClass, long firstSentAt, int status) {
        Counts counts = at(firstSentAt);
        if (status == 200) {
            double ms = (System.nanoTime() - firstSentAt) / 1e6;
            if (counts.served == counts.latenciesMs.length) {
                counts.latenciesMs = Arrays.copyOf(counts.latenciesMs, 2 * counts.served);
            }
            counts.latenciesMs[counts.served++] = ms;
            if (ms <= loadClass.aimMs()) {
                counts.withinAim++;
                counts.worthServed += loadClass.worth();
                counts.of(loadClass)[1]++;
            }
        } else if (status == 503 || status == 429) {
            counts.refused++;
            counts.of(loadClass)[2]++;
        } else {
            counts.failed++;
        }
    }

    /** Totals of a class for the seconds from {@code from} up to, but not including, {@code to}. */
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

    /** The seconds from {@code from} up to, but not including, {@code to}, as one interval. */
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
        return new Interval(all.offered, latenciesMs.length, all.withinAim, all.refused, all.failed, all.turnedAway,
            all.worthOffered, all.worthServed, latenciesMs);
    }

    /** A table with one line per second and a last line for all of them. */
    String table() {
        StringBuilder text = new StringBuilder("   s offered  served  in aim refused  failed  turned   p50 ms   p99 ms   worth\n");
        int count;
        synchronized (this) {
            count = seconds.size();
        }
        for (int i = 0; i <= count; i++) {
            Interval s = i < count ? between(i, i + 1) : between(0, count);
            text.append(String.format(Locale.ROOT, "%4s %7d %7d %7d %7d %7d %7d %8.1f %8.1f %6.1f%%%n",
                i < count ? Integer.toString(i) : "all",
                s.offered(), s.served(), s.withinAim(), s.refused(), s.failed(), s.turnedAway(), s.quantile(0.5), s.quantile(0.99),
                100 * s.worthServed() / Math.max(1e-9, s.worthOffered())));
        }
        return text.toString();
    }
}
