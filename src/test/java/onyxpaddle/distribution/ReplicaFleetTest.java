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

/**
 * Simulates a thousand clients of four replicas on a virtual clock: one replica dies, two fall silent, or all are down for a
 * while and come back.
 */
class ReplicaFleetTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final List<String> REPLICAS = List.of("10.1.0.1:8200", "10.1.0.2:8200", "10.2.0.1:8200", "10.2.0.2:8200");
    private static final int CLIENTS = 1000;
    /** Calls per replica in normal operation: each client calls once in two seconds, spread over the replicas. */
    private static final int NORMAL_CALLS_PER_SECOND = CLIENTS / 2 / REPLICAS.size();

    /** How a replica that is down treats calls. */
    enum Down { REFUSES, SILENT }

    private record Event(long time, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return time != other.time ? Long.compare(time, other.time) : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Client> clients = new ArrayList<>();
    /** By replica, the time of each call that arrived, whether the replica was up or down. */
    private final List<List<Long>> calls = new ArrayList<>();
    private final Down[] down = new Down[REPLICAS.size()];
    private long now = 1000 * SECOND;
    private long eventCount;

    private final class Client {
        private final ReplicaSelector selector;
        private Call call;
        /** The number of the outstanding call; events scheduled for earlier ones are ignored. */
        private long number;
        private boolean delivered;
        private long answeredAt;
        private int answeredBy = -1;

        Client(int index) {
            selector = new ReplicaSelector("booking-" + index, REPLICAS, new SplittableRandom(index));
        }

        void send(Call next) {
            call = next;
            delivered = false;
            long callNumber = ++number;
            schedule(now + next.delay(), () -> deliver(callNumber));
        }

        private void deliver(long callNumber) {
            delivered = true;
            calls.get(call.replica()).add(now);
            if (down[call.replica()] == Down.REFUSES) {
                fail(callNumber);
                return;
            }
            schedule(now + call.waitMs() * MS + MS, () -> answer(callNumber));
            schedule(now + call.responseTimeoutMs() * MS, () -> fail(callNumber));
        }

        private void answer(long callNumber) {
            if (callNumber == number && down[call.replica()] == null) {
                answeredAt = now;
                answeredBy = call.replica();
                send(selector.nextCall(now, new Answered(500, false)));
            }
        }

        private void fail(long callNumber) {
            if (callNumber == number) {
                send(selector.nextCall(now, new Failed()));
            }
        }

        private void reset(int replica) {
            if (delivered && call.replica() == replica) {
                fail(number);
            }
        }
    }

    private void schedule(long time, Runnable action) {
        events.add(new Event(time, eventCount++, action));
    }

    private void runUntil(long end) {
        while (events.peek().time() <= end) {
            Event next = events.poll();
            now = next.time();
            next.action().run();
        }
        now = end;
    }

    /** Starts the clients over ten seconds and runs them in normal operation for a while. */
    private void startFleet() {
        Random starts = new Random(3);
        for (int i = 0; i < REPLICAS.size(); i++) {
            calls.add(new ArrayList<>());
        }
        for (int i = 0; i < CLIENTS; i++) {
            Client client = new Client(i);
            clients.add(client);
            schedule(now + starts.nextLong(10 * SECOND), () -> client.send(client.selector.firstCall()));
        }
        runUntil(now + 30 * SECOND);
    }

    private void takeDown(int replica, Down how) {
        down[replica] = how;
        if (how == Down.REFUSES) {
            List.copyOf(clients).forEach(client -> client.reset(replica));
        }
    }

    /** Maximum number of calls that a replica got within any window of length {@code span} since then. */
    private int maxCalls(int replica, long since, long span) {
        List<Long> times = calls.get(replica).stream().filter(t -> t >= since).toList();
        int max = 0;
        int from = 0;
        for (int i = 0; i < times.size(); i++) {
            while (times.get(from) <= times.get(i) - span) {
                from++;
            }
            max = Math.max(max, i - from + 1);
        }
        return max;
    }

    @Test
    void fleetSpreadsOverAllReplicas() {
        startFleet();
        for (int replica = 0; replica < REPLICAS.size(); replica++) {
            int index = replica;
            long held = clients.stream().filter(c -> c.answeredBy == index).count();
            assertTrue(held >= 200 && held <= 300, held + " of 1000 hold replica " + replica);
        }
    }

    /**
     * All clients have an answer of another replica within 5 s, and no remaining replica gets more than three times its normal
     * calls in any second.
     */
    @ParameterizedTest
    @EnumSource
    void clientsOfADeadReplicaMoveToTheOthers(Down how) {
        startFleet();
        long outageStart = now;
        takeDown(1, how);
        // Each client calls at least once in 2.8 s, so clients of the other replicas also have answers from this period.
        runUntil(outageStart + 5 * SECOND);
        assertTrue(clients.stream().allMatch(c -> c.answeredAt > outageStart && c.answeredBy != 1), how + ": some are without an answer");
        runUntil(outageStart + 20 * SECOND);
        for (int replica : new int[] {0, 2, 3}) {
            int callsPerSecond = maxCalls(replica, outageStart, SECOND);
            assertTrue(callsPerSecond <= 3 * NORMAL_CALLS_PER_SECOND, how + ": " + callsPerSecond + " calls in a second");
        }
    }

    /** A region is partitioned: two of four replicas are silent. */
    @Test
    void clientsOfTwoSilentReplicasMoveToTheOthers() {
        startFleet();
        long outageStart = now;
        takeDown(0, Down.SILENT);
        takeDown(1, Down.SILENT);
        runUntil(outageStart + 8 * SECOND);
        assertTrue(clients.stream().allMatch(c -> c.answeredAt > outageStart && c.answeredBy >= 2), "some are without an answer");
        for (int replica : new int[] {2, 3}) {
            int callsPerSecond = maxCalls(replica, outageStart, SECOND);
            assertTrue(callsPerSecond <= 4 * NORMAL_CALLS_PER_SECOND, callsPerSecond + " calls in a second");
        }
    }

    /**
     * All replicas are down for 8 s. Once the backoff delays have grown, the fleet calls at most 1.5 times as often as in
     * normal operation. After the recovery all clients have an answer within 5 s, and no replica gets calls of more than a
     * tenth of the fleet within 100 ms.
     */
    @ParameterizedTest
    @EnumSource
    void recoveryFromAFullOutageCausesNoThunderingHerd(Down how) {
        startFleet();
        long outageStart = now;
        for (int replica = 0; replica < REPLICAS.size(); replica++) {
            takeDown(replica, how);
        }
        runUntil(outageStart + 8 * SECOND);
        long recovery = now;
        for (int replica = 0; replica < REPLICAS.size(); replica++) {
            int callsPerSecond = maxCalls(replica, outageStart + 4 * SECOND, SECOND);
            assertTrue(callsPerSecond <= 3 * NORMAL_CALLS_PER_SECOND / 2, how + ": " + callsPerSecond
                + " calls in a second while it is down");
            down[replica] = null;
        }
        runUntil(recovery + 5 * SECOND);
        assertTrue(clients.stream().allMatch(c -> c.answeredAt >= recovery), how + ": some are without an answer");
        runUntil(recovery + 10 * SECOND);
        for (int replica = 0; replica < REPLICAS.size(); replica++) {
            int burst = maxCalls(replica, recovery, 100 * MS);
            assertTrue(burst <= CLIENTS / 10, how + ": " + burst + " calls within 100 ms");
            int callsPerSecond = maxCalls(replica, recovery, SECOND);
            assertTrue(callsPerSecond <= 3 * NORMAL_CALLS_PER_SECOND, how + ": " + callsPerSecond + " calls in a second");
        }
    }
}
