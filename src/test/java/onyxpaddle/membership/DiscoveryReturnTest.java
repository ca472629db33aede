package onyxpaddle.membership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.SplittableRandom;
import onyxpaddle.BalancerApi.*;
import onyxpaddle.RatioBalancer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Discovery fails in every way, for any time, and is back: how soon each of thirty nodes holds its list, and how many call in one
 * moment. By a clock of the test's own; the decisions are those of the node, and of the module where discovery is asked.
 */
class DiscoveryReturnTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1000 * MS;
    /** From when discovery has a change and can be reached, to when it counts as told. */
    private static final long TOLD = 6 * SECOND;
    private static final int NODES = 30;
    private static final long CONNECT_MS = 500;

    private enum Fault { REFUSED, UNREACHABLE, SILENT, RESET, TRICKLING, UNREADABLE }

    private record Planned(long at, long number, Runnable what) implements Comparable<Planned> {
        @Override
        public int compareTo(Planned other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Planned> plan = new PriorityQueue<>();
    private final List<Long> callsAfterReturn = new ArrayList<>();
    private long now = 1000 * SECOND;
    private long count;
    private long back;
    /** Where one discovery works through the calls of all: until when it is busy, and for how long with each. */
    private long busyUntil;
    private long callTakes;
    private Random faults;

    private void at(long when, Runnable what) {
        plan.add(new Planned(when, count++, what));
    }

    private final class Caller {
        private final boolean asked;
        private final ListWatch watch;
        private final RatioBalancer module;
        private boolean calling;
        private long heardAt = -1;

        private Caller(boolean asked, double askEvery, int self, long seed) {
            this.asked = asked;
            watch = new ListWatch(asked, 7, true, new SplittableRandom(seed));
            RequestClass read = new RequestClass("read", Effect.SAFE, KeyGroup.ALL, 0, SECOND, 0, SECOND, 1, 0, false);
            module = new RatioBalancer(new Settings("a", List.of("a"), 0, self, NODES, List.of(read), List.of(), 1, false, asked,
                Weights.NONE, List.of(), 0, 2 * MS, new Limits(3, false, true, false, true, SECOND, SECOND),
                new Rules(0.3, 5 * SECOND, 3, 2 * SECOND, 2 * SECOND, 0, (long) (askEvery * SECOND))), seed);
            // It has watched for a while, and its watch is out.
            watch.judge(true, 7, false);
            tell(new Membership(ListKind.CACHED, List.of()));
            tell(new Membership(ListKind.CHANGES, List.of()));
            at(now + faults.nextLong(2 * SECOND), this::call);
        }

        private void tell(Event event) {
            for (Action action : module.handle(now, event)) {
                if (action instanceof SetTimer timer) {
                    at(now + timer.after(), () -> tell(new Timer(timer.token())));
                } else if (action instanceof Subscribe && !calling) {
                    call();
                }
            }
        }

        private void call() {
            calling = true;
            if (now >= back) {
                callsAfterReturn.add(now);
                answered();
                return;
            }
            long patience = watch.patienceMs();
            switch (Fault.values()[faults.nextInt(Fault.values().length)]) {
                case REFUSED -> at(now, () -> failed(true));
                case UNREACHABLE -> at(now + CONNECT_MS * MS, () -> failed(true));
                case SILENT -> at(now + patience * MS, () -> failed(false));
                case RESET -> at(now + faults.nextLong(patience * MS), () -> failed(false));
                case TRICKLING -> at(now + watch.wholeByMs() * MS, () -> failed(false));
                case UNREADABLE -> at(now + faults.nextLong(patience * MS), () -> {
                    watch.unreadable();
                    failed(false);
                });
            }
        }

        private void answered() {
            if (!asked) {
                heard();
                return;
            }
            long done = Math.max(now, busyUntil) + callTakes;
            if (done - now > 2 * SECOND || done - now > watch.patienceMs() * MS) {
                // It turns away what it would come to too late.
                failed(true);
            } else {
                busyUntil = done;
                at(done, this::heard);
            }
        }

        private void heard() {
            heardAt = now;
            watch.judge(true, 8, false);
        }

        private void failed(boolean turnedAway) {
            calling = false;
            int pause = watch.failed(turnedAway);
            if (pause == ListWatch.MODULE) {
                tell(new Membership(ListKind.REFUSED, List.of()));
            } else {
                calling = true;
                at(now + pause * MS, this::call);
            }
        }
    }

    /** {@code allCalls}: how long discovery takes for a call of each node, in seconds; 0 where each node has an agent of its own. */
    @ParameterizedTest
    @CsvSource({"false, 10, 0", "true, 0.5, 1", "true, 10, 1", "true, 10, 2", "true, 60, 2"})
    void everyNodeHearsWithinSixSecondsAndNotAllCallAtOnce(boolean asked, double askEvery, double allCalls) {
        long latest = 0;
        int most = 0;
        for (int seed = 0; seed < 200; seed++) {
            plan.clear();
            callsAfterReturn.clear();
            faults = new Random(seed);
            callTakes = (long) (allCalls * SECOND / NODES);
            busyUntil = 0;
            // In the middle of anything: the first watch, a row of silent calls, the longest pauses.
            back = now + faults.nextLong(1, 40 * SECOND);
            List<Caller> nodes = new ArrayList<>();
            for (int i = 0; i < NODES; i++) {
                nodes.add(new Caller(asked, askEvery, i, faults.nextLong()));
            }
            while (!plan.isEmpty() && nodes.stream().anyMatch(n -> n.heardAt < 0)) {
                Planned next = plan.poll();
                now = next.at;
                next.what.run();
            }
            for (Caller node : nodes) {
                assertTrue(node.heardAt >= 0, "a node calls no more, seed " + seed);
                latest = Math.max(latest, node.heardAt - back);
            }
            most = Math.max(most, mostWithin(50 * MS));
            now += 100 * SECOND;
        }
        assertTrue(latest <= TOLD, "a node heard " + latest / 1e9 + " s after discovery was back");
        assertTrue(most <= NODES / 3, most + " of " + NODES + " nodes called within 50 ms");
    }

    private int mostWithin(long span) {
        int most = 0;
        int from = 0;
        for (int i = 0; i < callsAfterReturn.size(); i++) {
            while (callsAfterReturn.get(from) < callsAfterReturn.get(i) - span) {
                from++;
            }
            most = Math.max(most, i - from + 1);
        }
        return most;
    }
}
