package onyxpaddle.budget;

import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.IntConsumer;

/**
 * A chain of tiers in one thread and by a clock that is handed in: before and beside the application of each tier stands a
 * node, applications call the next tier one to three times for each request, boxes of the innermost stall, lose, double
 * and delay answers, and every node tries again. Counts what arrives at the innermost boxes by the edge's request.
 */
final class Chain {
    private static final long MS = 1_000_000L;
    /** Attempts that a node makes at the most, whatever it may. */
    private static final int ATTEMPTS = 3;
    private static final long PATIENCE = 1_000 * MS;

    private record Event(long at, long order, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final Random random;
    private final int tiers;
    private final boolean budgets;
    private final double stalled;
    private final Ledger[] nodes;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    final Map<Integer, Integer> innermost = new HashMap<>();
    private long now;
    private long order;
    int answered;
    int served;

    Chain(long seed, int tiers, int budget, boolean budgets, double stalled) {
        this.random = new Random(seed);
        this.tiers = tiers;
        this.budgets = budgets;
        this.stalled = stalled;
        nodes = new Ledger[tiers];
        for (int i = 0; i < tiers; i++) {
            nodes[i] = new Ledger("tier" + i, "t" + i, new Ledger.Bounds(budget, 1000, 100_000),
                new Loops("none", 1000, 1000, 100_000));
        }
    }

    private void after(long nanos, Runnable what) {
        events.add(new Event(now + nanos, order++, what));
    }

    /** So many requests at the edge, one each millisecond; runs until nothing is left to happen. */
    void run(int requests) {
        for (int i = 0; i < requests; i++) {
            int request = i;
            after(i * MS, () -> node(0, request, null, ok -> {
                answered++;
                served += ok >= 0 ? 1 : 0;
            }));
        }
        for (Event next = events.poll(); next != null; next = events.poll()) {
            now = next.at();
            next.what().run();
        }
    }

    /** A request at a tier's node; {@code answer} hears what was used, or below 0 for a failure. */
    private void node(int tier, int request, Carried carried, IntConsumer answer) {
        Ledger.Held held = nodes[tier].arrived(budgets ? carried : null, 1, now + PATIENCE, tier == tiers - 1);
        if (held == null) {
            answer.accept(-1);
        } else {
            attempt(tier, request, held, 0, answer);
        }
    }

    private void attempt(int tier, int request, Ledger.Held held, int number, IntConsumer answer) {
        Ledger.Sent sent = number >= ATTEMPTS || now >= held.deadline() ? null
            : budgets ? held.attempt(tier == tiers - 1) : new Ledger("free", "f", new Ledger.Bounds(1000, 1000, 10),
                new Loops("none", 9, 9, 9)).arrived(null, 1, held.deadline(), false).attempt(false);
        if (sent == null) {
            int used = held.end();
            answer.accept(-1 - used);
            return;
        }
        boolean[] over = new boolean[1];
        IntConsumer ended = said -> {
            // What comes after the node gave the attempt up, or twice, still reaches the ledger, as it would a real one.
            if (said == Integer.MIN_VALUE) {
                sent.neverBegan();
            } else {
                sent.ended(said >= 0 ? said : said == -1 ? -1 : -1 - said);
            }
            if (!over[0]) {
                over[0] = true;
                if (said >= 0) {
                    answer.accept(held.end());
                } else {
                    attempt(tier, request, held, number + 1, answer);
                }
            }
        };
        after(patience(tier), () -> ended.accept(-1));
        if (random.nextDouble() < 0.05) {
            after(MS, () -> ended.accept(Integer.MIN_VALUE));
            return;
        }
        application(tier, request, sent.onward(), said -> {
            double fate = random.nextDouble();
            if (fate < 0.05) {
                return;
            }
            after(random.nextInt(5) * MS, () -> ended.accept(said));
            if (fate < 0.1) {
                after(random.nextInt(800) * MS, () -> ended.accept(said));
            }
        });
    }

    private static long patience(int tier) {
        return (300 - 80L * tier) * MS;
    }

    /** The application of a tier: the innermost one works or stalls, the others call the next tier one to three times. */
    private void application(int tier, int request, Carried carried, IntConsumer answer) {
        if (tier == tiers - 1) {
            innermost.merge(request, 1, Integer::sum);
            if (random.nextDouble() >= stalled) {
                after((1 + random.nextInt(10)) * MS, () -> answer.accept(random.nextDouble() < 0.05 ? -1 : 1));
            }
            return;
        }
        // Some applications copy nothing back, so that their nodes know only what they saw themselves.
        calls(tier, request, carried, 1 + random.nextInt(3), answer);
    }

    private void calls(int tier, int request, Carried carried, int left, IntConsumer answer) {
        // Beside the application stands its node, which knows the attempt by its name and passes the call on.
        after(random.nextInt(3) * MS, () -> outbound(tier, request, carried, ok -> {
            if (ok < 0) {
                answer.accept(-1);
            } else if (left > 1) {
                calls(tier, request, carried, left - 1, answer);
            } else {
                answer.accept(1);
            }
        }));
    }

    private void outbound(int tier, int request, Carried carried, IntConsumer answer) {
        Ledger.Held held = nodes[tier].arrived(budgets ? carried : null, 1, now + PATIENCE, false);
        if (held == null) {
            answer.accept(-1);
            return;
        }
        Ledger.Sent sent = held.attempt(false);
        if (sent == null) {
            held.end();
            answer.accept(-1);
            return;
        }
        node(tier + 1, request, sent.onward(), said -> {
            sent.ended(said >= 0 ? said : said == -1 ? -1 : -1 - said);
            held.end();
            answer.accept(said >= 0 ? said : -1);
        });
    }

    int most() {
        return innermost.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    double mean(int requests) {
        return innermost.values().stream().mapToInt(Integer::intValue).sum() / (double) requests;
    }
}
