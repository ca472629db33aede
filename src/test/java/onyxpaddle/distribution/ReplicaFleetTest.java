package onyxpaddle.distribution;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import onyxpaddle.distribution.ReplicaSelector.Answered;
import onyxpaddle.distribution.ReplicaSelector.Call;
import onyxpaddle.distribution.ReplicaSelector.Failed;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A thousand clients of four replicas by one clock of the test's own: one dies, all are away for a while, they come back. */
class ReplicaFleetTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final List<String> REPLICAS = List.of("10.1.0.1:8200", "10.1.0.2:8200", "10.2.0.1:8200", "10.2.0.2:8200");
    private static final int CLIENTS = 1000;
    /** Of the calm: each client once in two seconds, spread over the replicas. */
    private static final int CALM_CALLS_A_SECOND = CLIENTS / 2 / REPLICAS.size();

    /** How a replica that is down treats calls. */
    enum Down { REFUSES, SILENT }

    private record Planned(long at, long number, Runnable what) implements Comparable<Planned> {
        @Override
        public int compareTo(Planned other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Planned> plan = new PriorityQueue<>();
    private final List<Client> clients = new ArrayList<>();
    /** When each call reached each replica, up or down. */
    private final List<List<Long>> calls = new ArrayList<>();
    private final Down[] down = new Down[REPLICAS.size()];
    private long now = 1000 * SECOND;
    private long planned;

    private final class Client {
        private final ReplicaSelector selector;
        private Call call;
        /** Of the call that is out: what was planned for an earlier one does nothing. */
        private long number;
        private boolean reached;
        private long answeredAt;
        private int answeredBy = -1;

        Client(int index) {
            selector = new ReplicaSelector("booking-" + index, REPLICAS, new SplittableRandom(index));
        }

        void send(Call next) {
            call = next;
            reached = false;
            long sent = ++number;
            at(now + next.delay(), () -> reach(sent));
        }

        private void reach(long sent) {
            reached = true;
            calls.get(call.replica()).add(now);
            if (down[call.replica()] == Down.REFUSES) {
                fail(sent);
                return;
            }
            at(now + call.waitMs() * MS + MS, () -> answer(sent));
            at(now + call.patienceMs() * MS, () -> fail(sent));
        }

        private void answer(long sent) {
            if (sent == number && down[call.replica()] == null) {
                answeredAt = now;
                answeredBy = call.replica();
                send(selector.nextCall(now, new Answered(500, false)));
            }
        }

        private void fail(long sent) {
            if (sent == number) {
                send(selector.nextCall(now, new Failed()));
            }
        }

        private void reset(int replica) {
            if (reached && call.replica() == replica) {
                fail(number);
            }
        }
    }

    private void at(long when, Runnable what) {
        plan.add(new Planned(when, planned++, what));
    }

    private void runUntil(long end) {
        while (plan.peek().at() <= end) {
            Planned next = plan.poll();
            now = next.at();
            next.what().run();
        }
        now = end;
    }

    /** A fleet that has run in calm for a while, started over ten seconds. */
    private void calm() {
        Random starts = new Random(3);
        for (int i = 0; i < REPLICAS.size(); i++) {
            calls.add(new ArrayList<>());
        }
        for (int i = 0; i < CLIENTS; i++) {
            Client client = new Client(i);
            clients.add(client);
            at(now + starts.nextLong(10 * SECOND), () -> client.send(client.selector.firstCall()));
        }
        runUntil(now + 30 * SECOND);
    }

    private void goesDown(int replica, Down how) {
        down[replica] = how;
        if (how == Down.REFUSES) {
            List.copyOf(clients).forEach(client -> client.reset(replica));
        }
    }

    /** The most calls that came to a replica within any such span since then. */
    private int most(int replica, long since, long span) {
        List<Long> times = calls.get(replica).stream().filter(t -> t >= since).toList();
        int most = 0;
        int from = 0;
        for (int i = 0; i < times.size(); i++) {
            while (times.get(from) <= times.get(i) - span) {
                from++;
            }
            most = Math.max(most, i - from + 1);
        }
        return most;
    }

    @Test
    void calmFleetSpreadsOverAllReplicas() {
        calm();
        for (int replica = 0; replica < REPLICAS.size(); replica++) {
            int index = replica;
            long held = clients.stream().filter(c -> c.answeredBy == index).count();
            assertTrue(held >= 200 && held <= 300, held + " of 1000 hold replica " + replica);
        }
    }

    /** All have an answer of another replica within 5 s, and no survivor gets more than three times its calm calls in any second. */
    @ParameterizedTest
    @EnumSource
    void oneReplicaDiesAndTheOthersTakeItsClients(Down how) {
        calm();
        long at = now;
        goesDown(1, how);
        // Every client calls once in 2.8 s at the least, so those who were not with the dead one have answers of this time too.
        runUntil(at + 5 * SECOND);
        assertTrue(clients.stream().allMatch(c -> c.answeredAt > at && c.answeredBy != 1), how + ": some are without an answer");
        runUntil(at + 20 * SECOND);
        for (int replica : new int[] {0, 2, 3}) {
            int most = most(replica, at, SECOND);
            assertTrue(most <= 3 * CALM_CALLS_A_SECOND, how + ": " + most + " calls in a second");
        }
    }

    /** A region is cut off: two of four are silent. */
    @Test
    void twoReplicasFallSilentAndTheOthersTakeTheirClients() {
        calm();
        long at = now;
        goesDown(0, Down.SILENT);
        goesDown(1, Down.SILENT);
        runUntil(at + 8 * SECOND);
        assertTrue(clients.stream().allMatch(c -> c.answeredAt > at && c.answeredBy >= 2), "some are without an answer");
        for (int replica : new int[] {2, 3}) {
            int most = most(replica, at, SECOND);
            assertTrue(most <= 4 * CALM_CALLS_A_SECOND, most + " calls in a second");
        }
    }

    /**
     * All are away for 8 s. Meanwhile the fleet calls no more often than 1.5 times as in calm once its delays have grown; when they are
     * back all have an answer within 5 s, and no replica gets a tenth of the fleet within 100 ms.
     */
    @ParameterizedTest
    @EnumSource
    void allReplicasAreAwayForEightSecondsAndComeBackToNoHerd(Down how) {
        calm();
        long at = now;
        for (int replica = 0; replica < REPLICAS.size(); replica++) {
            goesDown(replica, how);
        }
        runUntil(at + 8 * SECOND);
        long back = now;
        for (int replica = 0; replica < REPLICAS.size(); replica++) {
            int most = most(replica, at + 4 * SECOND, SECOND);
            assertTrue(most <= 3 * CALM_CALLS_A_SECOND / 2, how + ": " + most + " calls in a second while it is down");
            down[replica] = null;
        }
        runUntil(back + 5 * SECOND);
        assertTrue(clients.stream().allMatch(c -> c.answeredAt >= back), how + ": some are without an answer");
        runUntil(back + 10 * SECOND);
        for (int replica = 0; replica < REPLICAS.size(); replica++) {
            int herd = most(replica, back, 100 * MS);
            assertTrue(herd <= CLIENTS / 10, how + ": " + herd + " calls within 100 ms");
            int most = most(replica, back, SECOND);
            assertTrue(most <= 3 * CALM_CALLS_A_SECOND, how + ": " + most + " calls in a second");
        }
    }
}
