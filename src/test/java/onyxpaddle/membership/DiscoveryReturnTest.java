package onyxpaddle.membership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.SplittableRandom;
import onyxpaddle.BalancerApi.*;
import onyxpaddle.RatioBalancer;
import onyxpaddle.membership.ListWatch.News;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Discovery fails in various ways, for any time, and recovers. Guards against nodes that get the list more than 6 s later, and against
 * many nodes calling at the same moment. Simulated time; the decisions are those of the node, and with a central discovery those of the
 * balancer.
 */
class DiscoveryReturnTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1000 * MS;
    /** A change must be delivered within this time after discovery has it and is reachable. */
    private static final long DELIVERY_LIMIT = 6 * SECOND;
    private static final int NODES = 30;
    private static final long CONNECT_MS = 500;

    private enum Fault { REFUSED, UNREACHABLE, SILENT, RESET, TRICKLING, UNREADABLE }

    private record ScheduledEvent(long at, long sequence, Runnable action) implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>();
    private final List<Long> callsAfterRecovery = new ArrayList<>();
    private long now = 1000 * SECOND;
    private long count;
    private long recoveredAt;
    /** Central discovery: until when it is busy, and how long it takes for each call. */
    private long busyUntil;
    private long callDuration;
    private Random faults;

    private void at(long when, Runnable action) {
        events.add(new ScheduledEvent(when, count++, action));
    }

    private final class Caller {
        private final boolean central;
        private final ListWatch watch;
        private final RatioBalancer balancer;
        private boolean calling;
        private long listReceivedAt = -1;

        private Caller(boolean central, double askEvery, int self, long seed) {
            this.central = central;
            watch = new ListWatch(central, new SplittableRandom(seed));
            RequestClass read = new RequestClass("read", Effect.SAFE, KeyGroup.ALL, 0, SECOND, 0, SECOND, 1, 0, false);
            balancer = new RatioBalancer(new Settings("a", List.of("a"), 0, self, NODES, List.of(read), List.of(), 1, false, central,
                Weights.NONE, List.of(), 0, 2 * MS, new Limits(3, false, true, false, true, SECOND, SECOND),
                new Rules(0.3, 5 * SECOND, 3, 2 * SECOND, 2 * SECOND, 0, (long) (askEvery * SECOND))), seed);
            // The node has a list, and its watch is in progress.
            watch.accepted(News.CHANGE, 2_000);
            handle(new Membership(ListKind.CACHED, List.of()));
            handle(new Membership(ListKind.CHANGES, List.of()));
            at(now + faults.nextLong(2 * SECOND), this::call);
        }

        private void handle(Event event) {
            for (Action action : balancer.handle(now, event)) {
                if (action instanceof SetTimer timer) {
                    at(now + timer.after(), () -> handle(new Timer(timer.token())));
                } else if (action instanceof Subscribe && !calling) {
                    call();
                }
            }
        }

        private void call() {
            calling = true;
            if (now >= recoveredAt) {
                callsAfterRecovery.add(now);
                answered();
                return;
            }
            long firstByteTimeout = watch.firstByteTimeoutMs();
            switch (Fault.values()[faults.nextInt(Fault.values().length)]) {
                case REFUSED -> at(now, () -> callFailed(true));
                case UNREACHABLE -> at(now + CONNECT_MS * MS, () -> callFailed(true));
                case SILENT -> at(now + firstByteTimeout * MS, () -> callFailed(false));
                case RESET -> at(now + faults.nextLong(firstByteTimeout * MS), () -> callFailed(false));
                case TRICKLING -> at(now + watch.totalTimeoutMs() * MS, () -> callFailed(false));
                case UNREADABLE -> at(now + faults.nextLong(firstByteTimeout * MS), () -> {
                    calling = true;
                    at(now + watch.backoffAfterDoubt() * MS, this::call);
                });
            }
        }

        private void answered() {
            if (!central) {
                listReceived();
                return;
            }
            long done = Math.max(now, busyUntil) + callDuration;
            if (done - now > 2 * SECOND || done - now > watch.firstByteTimeoutMs() * MS) {
                // Discovery refuses calls that it would answer too late.
                callFailed(true);
            } else {
                busyUntil = done;
                at(done, this::listReceived);
            }
        }

        private void listReceived() {
            listReceivedAt = now;
            watch.accepted(News.CHANGE, 2_000);
        }

        private void callFailed(boolean refused) {
            calling = false;
            int pause = watch.backoffAfterFailure(refused);
            if (pause == ListWatch.BALANCER_DECIDES) {
                handle(new Membership(ListKind.REFUSED, List.of()));
            } else {
                calling = true;
                at(now + pause * MS, this::call);
            }
        }
    }

    /** {@code allCalls}: how long discovery takes for one call of every node, in seconds; 0 with an agent on each node. */
    @ParameterizedTest
    @CsvSource({"false, 10, 0", "true, 0.5, 1", "true, 10, 1", "true, 10, 2", "true, 60, 2"})
    void everyNodeGetsTheListWithinSixSecondsAndCallsAreSpread(boolean central, double askEvery, double allCalls) {
        long latest = 0;
        int mostCalls = 0;
        for (int seed = 0; seed < 200; seed++) {
            events.clear();
            callsAfterRecovery.clear();
            faults = new Random(seed);
            callDuration = (long) (allCalls * SECOND / NODES);
            busyUntil = 0;
            // Recovers at any time: during the first watch, during a row of unanswered calls, during the longest pauses.
            recoveredAt = now + faults.nextLong(1, 40 * SECOND);
            List<Caller> nodes = new ArrayList<>();
            for (int i = 0; i < NODES; i++) {
                nodes.add(new Caller(central, askEvery, i, faults.nextLong()));
            }
            while (!events.isEmpty() && nodes.stream().anyMatch(n -> n.listReceivedAt < 0)) {
                ScheduledEvent next = events.poll();
                now = next.at;
                next.action.run();
            }
            for (Caller node : nodes) {
                assertTrue(node.listReceivedAt >= 0, "a node has stopped calling, seed " + seed);
                latest = Math.max(latest, node.listReceivedAt - recoveredAt);
            }
            mostCalls = Math.max(mostCalls, mostWithin(50 * MS));
            now += 100 * SECOND;
        }
        assertTrue(latest <= DELIVERY_LIMIT, "a node got the list " + latest / 1e9 + " s after discovery had recovered");
        assertTrue(mostCalls <= NODES / 3, mostCalls + " of " + NODES + " nodes called within 50 ms");
    }

    private int mostWithin(long span) {
        int mostCalls = 0;
        int from = 0;
        for (int i = 0; i < callsAfterRecovery.size(); i++) {
            while (callsAfterRecovery.get(from) < callsAfterRecovery.get(i) - span) {
                from++;
            }
            mostCalls = Math.max(mostCalls, i - from + 1);
        }
        return mostCalls;
    }
}
