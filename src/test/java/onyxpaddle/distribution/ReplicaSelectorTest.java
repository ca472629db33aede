package onyxpaddle.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import onyxpaddle.distribution.ReplicaSelector.Answered;
import onyxpaddle.distribution.ReplicaSelector.Behind;
import onyxpaddle.distribution.ReplicaSelector.Busy;
import onyxpaddle.distribution.ReplicaSelector.Call;
import onyxpaddle.distribution.ReplicaSelector.Failed;
import onyxpaddle.distribution.ReplicaSelector.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The choice of the replica to call, the delay of the call, and whether it waits for changes. */
class ReplicaSelectorTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final List<String> FOUR = List.of("10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80");
    private static final Answered FRESH = new Answered(0, false);
    private static final Answered STALE = new Answered(60_000, false);

    /** Starts shortly before the clock overflows, so that it wraps around within the test. */
    private long now = Long.MAX_VALUE - 5 * SECOND;
    private final ReplicaSelector selector = new ReplicaSelector("node-1", FOUR, new SplittableRandom(7));

    private Call after(Call call, Outcome outcome) {
        now += call.delay() + SECOND / 100;
        return selector.nextCall(now, outcome);
    }

    @Test
    void staysWithAnAnsweringReplicaAndWaitsThere() {
        Call first = selector.firstCall();
        assertEquals(0, first.waitMs());
        Call second = after(first, FRESH);
        assertEquals(new Call(first.replica(), 0, 2000, false), second);
        assertEquals(2800, second.responseTimeoutMs());
        assertEquals(second, after(second, FRESH));
    }

    @Test
    void requestsFurtherPagesFromTheSameReplicaImmediately() {
        Call first = selector.firstCall();
        assertEquals(new Call(first.replica(), 0, 0, false), after(first, new Answered(0, true)));
    }

    @Test
    void failsOverToAnotherReplicaAndStaysThere() {
        Call first = selector.firstCall();
        Call second = after(first, new Failed());
        assertNotEquals(first.replica(), second.replica());
        assertEquals(0, second.waitMs());
        assertTrue(second.delay() <= SECOND / 4);
        assertEquals(1, selector.failures());
        assertEquals(second.replica(), after(second, FRESH).replica());
        assertEquals(0, selector.failures());
    }

    @Test
    void callsEveryReplicaBeforeCallingOneAgain() {
        Call call = selector.firstCall();
        boolean[] tried = new boolean[FOUR.size()];
        for (int i = 0; i < FOUR.size(); i++) {
            assertFalse(tried[call.replica()]);
            tried[call.replica()] = true;
            call = after(call, new Failed());
        }
    }

    @Test
    void singleReplicaIsCalledAgainWithBackoff() {
        ReplicaSelector single = new ReplicaSelector("node-1", List.of("10.0.0.1:80"), new SplittableRandom(7));
        Call call = single.firstCall();
        long all = 0;
        for (int i = 0; i < 40; i++) {
            call = single.nextCall(now, new Failed());
            all += call.delay();
            now += call.delay();
        }
        assertEquals(0, call.replica());
        assertTrue(all > 40 * SECOND, "in all " + all);
    }

    /** A replica that sent a Retry-After is not called before that time while there are others. */
    @Test
    void retryAfterIsRespected() {
        ReplicaSelector two = new ReplicaSelector("node-1", FOUR.subList(0, 2), new SplittableRandom(7));
        int busy = two.firstCall().replica();
        Call call = two.nextCall(now, new Busy(8));
        long until = now + 8 * SECOND;
        int calls = 0;
        while (until - now - call.delay() > 0) {
            assertNotEquals(busy, call.replica());
            now += call.delay();
            call = two.nextCall(now, new Failed());
            calls++;
        }
        assertTrue(calls >= 3, calls + " calls at the other one");
    }

    @Test
    void ifAllAreBusyTheEarliestRetryAfterIsFollowed() {
        Call call = selector.firstCall();
        long least = now;
        int earliest = -1;
        for (int seconds : new int[] {9, 4, 7, 8}) {
            if (seconds == 4) {
                earliest = call.replica();
            }
            call = after(call, new Busy(seconds));
            least = seconds == 4 ? now + 4 * SECOND : least;
        }
        assertEquals(earliest, call.replica());
        long after = now + call.delay() - least;
        assertTrue(after >= 0 && after <= 4 * SECOND, "called " + after + " after its time");
    }

    @ParameterizedTest
    @ValueSource(longs = {Long.MIN_VALUE, -1, 0, 31_536_000, Long.MAX_VALUE})
    void invalidRetryAfterIsBounded(long seconds) {
        ReplicaSelector single = new ReplicaSelector("node-1", List.of("10.0.0.1:80"), new SplittableRandom(7));
        single.firstCall();
        long longest = 0;
        long sum = 0;
        for (int i = 0; i < 100; i++) {
            Call call = single.nextCall(now, new Busy(seconds));
            now += call.delay();
            longest = Math.max(longest, call.delay());
            sum += call.delay();
        }
        assertTrue(longest <= 11 * SECOND, "waited " + longest);
        assertTrue(sum >= 100 * SECOND, "called 100 times within " + sum);
    }

    @Test
    void failsOverFromAReplicaThatIsBehind() {
        Call first = after(selector.firstCall(), FRESH);
        Call second = after(first, new Behind());
        assertNotEquals(first.replica(), second.replica());
        assertEquals(1, selector.failures());
    }

    @Test
    void probesForAFresherReplicaAndMovesThere() {
        Call probe = after(selector.firstCall(), STALE);
        assertTrue(probe.probe());
        assertEquals(0, probe.waitMs());
        Call next = after(probe, FRESH);
        assertEquals(new Call(probe.replica(), 0, 2000, false), next);
    }

    @Test
    void staysIfNoOtherReplicaIsFresher() {
        Call first = selector.firstCall();
        Call probe = after(first, STALE);
        assertEquals(new Call(first.replica(), 0, 2000, false), after(probe, new Answered(-1, false)));
    }

    @Test
    void failedProbeHasNoOtherEffect() {
        Call first = selector.firstCall();
        Call probe = after(first, STALE);
        assertEquals(new Call(first.replica(), 0, 2000, false), after(probe, new Failed()));
        assertEquals(0, selector.failures());
    }

    @Test
    void replicaWithoutPublisherContactIsStale() {
        assertTrue(after(selector.firstCall(), new Answered(-1, false)).probe());
    }

    @Test
    void staleReplicasAreProbedInTurnAtALowRate() {
        Call call = selector.firstCall();
        long start = now;
        int probes = 0;
        boolean[] probed = new boolean[FOUR.size()];
        int current = call.replica();
        while (now - start < 100 * SECOND) {
            now += call.probe() ? 0 : 2 * SECOND;
            call = after(call, STALE);
            probes += call.probe() ? 1 : 0;
            probed[call.replica()] = true;
            assertTrue(call.probe() || call.replica() == current);
        }
        assertTrue(probes >= 10 && probes <= 16, probes + " probes in 100 s");
        assertTrue(probed[0] && probed[1] && probed[2] && probed[3]);
    }

    @Test
    void returnsToItsPreferredReplicaAfterAWhile() {
        Call first = selector.firstCall();
        Call call = after(after(first, new Failed()), FRESH);
        assertNotEquals(first.replica(), call.replica());
        long start = now;
        while (!call.probe()) {
            now += 2 * SECOND;
            call = after(call, FRESH);
        }
        assertTrue(now - start >= 58 * SECOND && now - start <= 125 * SECOND, "after " + (now - start));
        assertEquals(first.replica(), call.replica());
        assertEquals(new Call(first.replica(), 0, 2000, false), after(call, FRESH));
    }

    @Test
    void preferenceDoesNotDependOnTheOrderOfTheList() {
        for (int i = 0; i < 100; i++) {
            Call one = new ReplicaSelector("node-" + i, FOUR, new SplittableRandom(1)).firstCall();
            List<String> other = List.of(FOUR.get(2), FOUR.get(0), FOUR.get(3), FOUR.get(1));
            Call two = new ReplicaSelector("node-" + i, other, new SplittableRandom(2)).firstCall();
            assertEquals(FOUR.get(one.replica()), other.get(two.replica()));
        }
    }

    /**
     * For any sequence of outcomes: each call goes to an existing replica within a bounded time, at most one probe is made in
     * 2 s and no two in a row, and once all replicas answer with fresh data the client settles on one and waits there.
     */
    @Property(tries = 300)
    void boundsHoldForAnySequenceOfOutcomes(@ForAll long seed, @ForAll @IntRange(min = 1, max = 9) int replicas,
            @ForAll @LongRange(min = 1, max = 3_000_000_000L) long longestCall) {
        Random outcomes = new Random(seed);
        List<String> addresses = java.util.stream.IntStream.range(0, replicas).mapToObj(i -> "10.0.0." + i + ":80").toList();
        ReplicaSelector any = new ReplicaSelector("n" + seed, addresses, new SplittableRandom(seed));
        long time = outcomes.nextLong();
        long lastProbe = time - 100 * SECOND;
        Call call = any.firstCall();
        for (int i = 0; i < 500; i++) {
            time += call.delay() + outcomes.nextLong(longestCall);
            boolean probed = call.probe();
            call = any.nextCall(time, outcome(outcomes));
            assertTrue(call.replica() >= 0 && call.replica() < replicas);
            assertTrue(call.delay() >= 0 && call.delay() <= 11 * SECOND, "delay " + call.delay());
            assertTrue(call.waitMs() == 0 || call.waitMs() == 2000);
            if (call.probe() && !probed) {
                assertTrue(time - lastProbe >= 2 * SECOND, "probe after " + (time - lastProbe));
                lastProbe = time;
            }
        }
        time += call.delay();
        for (int i = 0; i < 3; i++) {
            call = any.nextCall(time, FRESH);
        }
        assertEquals(2000, call.waitMs());
        assertEquals(0, any.failures());
    }

    private static Outcome outcome(Random random) {
        return switch (random.nextInt(6)) {
            case 0 -> new Failed();
            case 1 -> new Behind();
            case 2 -> new Busy(random.nextInt(5) == 0 ? random.nextLong() : random.nextInt(20));
            case 3 -> STALE;
            case 4 -> new Answered(random.nextLong(), random.nextInt(3) == 0);
            default -> FRESH;
        };
    }
}
