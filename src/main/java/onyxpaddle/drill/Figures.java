package onyxpaddle.drill;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import onyxpaddle.drill.Drill.LoadClass;

/** What clients got, by seconds of the load; a request counts in the second in which its first try came. */
public final class Figures {
    /** One second. Round trips in milliseconds, of what was served, sorted. */
    public record Second(int offered, int served, int inAim, int refused, int failed, int turnedAway, double worthOffered, double worthServed,
            double[] trips) {
        /** In milliseconds; not a number where nothing was served. */
        public double quantile(double q) {
            return trips.length == 0 ? Double.NaN : trips[(int) Math.min(trips.length - 1, q * trips.length)];
        }
    }

    /** Of one class. {@code refused}: tries, so that a client that comes again counts again. */
    public record OfClass(int offered, int inAim, int refused) {
    }

    private static final class Counts {
        final Map<String, int[]> byClass = new HashMap<>();
        int offered;
        int served;
        int inAim;
        int refused;
        int failed;
        int turnedAway;
        double worthOffered;
        double worthServed;
        double[] trips = new double[64];

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
            if (then.served == then.trips.length) {
                then.trips = Arrays.copyOf(then.trips, 2 * then.served);
            }
            then.trips[then.served++] = ms;
            if (ms <= of.aimMs()) {
                then.inAim++;
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
    public synchronized OfClass ofClass(String name, int from, int to) {
        int[] sum = new int[3];
        for (Counts c : seconds.subList(Math.min(from, seconds.size()), Math.min(to, seconds.size()))) {
            int[] of = c.byClass.getOrDefault(name, new int[3]);
            for (int i = 0; i < sum.length; i++) {
                sum[i] += of[i];
            }
        }
        return new OfClass(sum[0], sum[1], sum[2]);
    }

    /** The seconds from {@code from} on, up to {@code to}, as one. */
    public synchronized Second between(int from, int to) {
        Counts all = new Counts();
        double[] trips = {};
        for (Counts c : seconds.subList(Math.min(from, seconds.size()), Math.min(to, seconds.size()))) {
            all.offered += c.offered;
            all.inAim += c.inAim;
            all.refused += c.refused;
            all.failed += c.failed;
            all.turnedAway += c.turnedAway;
            all.worthOffered += c.worthOffered;
            all.worthServed += c.worthServed;
            int before = trips.length;
            trips = Arrays.copyOf(trips, before + c.served);
            System.arraycopy(c.trips, 0, trips, before, c.served);
        }
        Arrays.sort(trips);
        return new Second(all.offered, trips.length, all.inAim, all.refused, all.failed, all.turnedAway, all.worthOffered, all.worthServed, trips);
    }

    /** A table, a line a second. */
    String table() {
        StringBuilder text = new StringBuilder("   s offered  served  in aim refused  failed  turned   p50 ms   p99 ms   worth\n");
        int count;
        synchronized (this) {
            count = seconds.size();
        }
        for (int i = 0; i <= count; i++) {
            Second s = i < count ? between(i, i + 1) : between(0, count);
            text.append(String.format(Locale.ROOT, "%4s %7d %7d %7d %7d %7d %7d %8.1f %8.1f %6.1f%%%n", i < count ? Integer.toString(i) : "all",
                s.offered(), s.served(), s.inAim(), s.refused(), s.failed(), s.turnedAway(), s.quantile(0.5), s.quantile(0.99),
                100 * s.worthServed() / Math.max(1e-9, s.worthOffered())));
        }
        return text.toString();
    }
}
