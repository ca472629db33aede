package onyxpaddle.budget;

import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.IntConsumer;

/**
 * A single-threaded simulation of a chain of tiers with virtual time. Each tier has a node in front of and beside its application.
 * Applications call the next tier one to three times per request; the boxes of the innermost tier stall, and answers are lost, duplicated
 * and delayed; and every node makes further attempts. Counts the attempts that reach the innermost boxes per request at the edge.
 */
final class TierChain {
    private static final long MS = 1_000_000L;
    /** The attempts that a node makes at most, even where the budget allows more. */
    private static final int MAX_ATTEMPTS = 3;
    private static final long REQUEST_TIMEOUT = 1_000 * MS;

    private record Event(long at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final Random random;
    private final int tiers;
    private final boolean budgets;
    private final double stallShare;
    private final BudgetTracker[] nodes;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    final Map<Integer, Integer> innermostAttempts = new HashMap<>();
    private long now;
    private long order;
    int answered;
    int served;

    TierChain(long seed, int tiers, int budget, boolean budgets, double stallShare) {
        this.random = new Random(seed);
        this.tiers = tiers;
        this.budgets = budgets;
        this.stallShare = stallShare;
        nodes = new BudgetTracker[tiers];
        for (int i = 0; i < tiers; i++) {
            nodes[i] = new BudgetTracker("tier" + i, "t" + i, new BudgetTracker.Bounds(budget, 1000, 100_000),
                new LoopDetector("none", 1000, 1000, 100_000));
        }
    }

    private void schedule(long nanos, Runnable action) {
        events.add(new Event(now + nanos, order++, action));
    }

    /** Sends requests at the edge, one each millisecond, and runs until no events are left. */
    void run(int requests) {
        for (int i = 0; i < requests; i++) {
            int request = i;
            schedule(i * MS, () -> node(0, request, null, used -> {
                answered++;
                served += used >= 0 ? 1 : 0;
            }));
        }
        for (Event next = events.poll(); next != null; next = events.poll()) {
            now = next.at();
            next.action().run();
        }
    }

    /** A request arrives at a tier's node; {@code answer} receives the attempts used, or a value below 0 for a failure. */
    private void node(int tier, int request, BudgetHeader header, IntConsumer answer) {
        BudgetTracker.TrackedRequest tracked = nodes[tier].arrived(budgets ? header : null, 1, now + REQUEST_TIMEOUT, tier == tiers - 1);
        if (tracked == null) {
            answer.accept(-1);
        } else {
            attempt(tier, request, tracked, 0, answer);
        }
    }

    private void attempt(int tier, int request, BudgetTracker.TrackedRequest tracked, int number, IntConsumer answer) {
        BudgetTracker.OutgoingAttempt outgoing = number >= MAX_ATTEMPTS || now >= tracked.deadline() ? null
            : budgets ? tracked.attempt(tier == tiers - 1) : new BudgetTracker("free", "f", new BudgetTracker.Bounds(1000, 1000, 10),
                new LoopDetector("none", 9, 9, 9)).arrived(null, 1, tracked.deadline(), false).attempt(false);
        if (outgoing == null) {
            int used = tracked.end();
            answer.accept(-1 - used);
            return;
        }
        boolean[] finished = new boolean[1];
        IntConsumer ended = reported -> {
            // As in a real node, answers that are late or duplicated still reach the tracker.
            if (reported == Integer.MIN_VALUE) {
                outgoing.neverSent();
            } else {
                outgoing.ended(reported >= 0 ? reported : reported == -1 ? -1 : -1 - reported);
            }
            if (!finished[0]) {
                finished[0] = true;
                if (reported >= 0) {
                    answer.accept(tracked.end());
                } else {
                    attempt(tier, request, tracked, number + 1, answer);
                }
            }
        };
        schedule(attemptTimeout(tier), () -> ended.accept(-1));
        if (random.nextDouble() < 0.05) {
            schedule(MS, () -> ended.accept(Integer.MIN_VALUE));
            return;
        }
        application(tier, request, outgoing.header(), reported -> {
            double fate = random.nextDouble();
            if (fate < 0.05) {
                return;
            }
            schedule(random.nextInt(5) * MS, () -> ended.accept(reported));
            if (fate < 0.1) {
                schedule(random.nextInt(800) * MS, () -> ended.accept(reported));
            }
        });
    }

    private static long attemptTimeout(int tier) {
        return (300 - 80L * tier) * MS;
    }

    /** The application of a tier: the innermost one answers or stalls, the others call the next tier one to three times. */
    private void application(int tier, int request, BudgetHeader header, IntConsumer answer) {
        if (tier == tiers - 1) {
            innermostAttempts.merge(request, 1, Integer::sum);
            if (random.nextDouble() >= stallShare) {
                schedule((1 + random.nextInt(10)) * MS, () -> answer.accept(random.nextDouble() < 0.05 ? -1 : 1));
            }
            return;
        }
        // Applications do not report the attempts used, so their nodes know only the calls that pass through them.
        calls(tier, request, header, 1 + random.nextInt(3), answer);
    }

    private void calls(int tier, int request, BudgetHeader header, int left, IntConsumer answer) {
        // The call goes through the node beside the application, which recognises the attempt by its name.
        schedule(random.nextInt(3) * MS, () -> outbound(tier, request, header, used -> {
            if (used < 0) {
                answer.accept(-1);
            } else if (left > 1) {
                calls(tier, request, header, left - 1, answer);
            } else {
                answer.accept(1);
            }
        }));
    }

    private void outbound(int tier, int request, BudgetHeader header, IntConsumer answer) {
        BudgetTracker.TrackedRequest tracked = nodes[tier].arrived(budgets ? header : null, 1, now + REQUEST_TIMEOUT, false);
        if (tracked == null) {
            answer.accept(-1);
            return;
        }
        BudgetTracker.OutgoingAttempt outgoing = tracked.attempt(false);
        if (outgoing == null) {
            tracked.end();
            answer.accept(-1);
            return;
        }
        node(tier + 1, request, outgoing.header(), reported -> {
            outgoing.ended(reported >= 0 ? reported : reported == -1 ? -1 : -1 - reported);
            tracked.end();
            answer.accept(reported >= 0 ? reported : -1);
        });
    }

    int maxAttempts() {
        return innermostAttempts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    double meanAttempts(int requests) {
        return innermostAttempts.values().stream().mapToInt(Integer::intValue).sum() / (double) requests;
    }
}
