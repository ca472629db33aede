package onyxpaddle.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import onyxpaddle.membership.ListWatch.News;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ListWatchTest {
    private static ListWatch at(long seed) {
        return new ListWatch(false, new SplittableRandom(seed));
    }

    /** All calls fail at the same moment, and later ones immediately, as when discovery is down and refuses connections. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void callsAfterACommonFailureAreSpreadAndBackOff(long seed) {
        int nodes = 200;
        Random seeds = new Random(seed);
        int[] perTenth = new int[100];
        int[] per20ms = new int[500];
        for (int i = 0; i < nodes; i++) {
            ListWatch watch = new ListWatch(false, new SplittableRandom(seeds.nextLong()));
            int now = watch.backoffAfterFailure(false);
            for (int before = 0; now < 10_000; now += watch.backoffAfterFailure(false)) {
                assertTrue(now - before <= 1000, "the next call is made after " + (now - before) + " ms");
                before = now;
                perTenth[now / 100]++;
                per20ms[now / 20]++;
            }
        }
        for (int window = 0; window < per20ms.length; window++) {
            assertTrue(per20ms[window] <= nodes * 0.4, per20ms[window] + " calls in 20 ms at " + window * 20);
        }
        int early = perTenth[0] + perTenth[1];
        int late = perTenth[98] + perTenth[99];
        assertTrue(late < 0.5 * early, early + " calls in the first 0.2 s, " + late + " in the last");
    }

    @Test
    void backoffIsResetByAnAcceptedList() {
        ListWatch watch = at(4);
        for (int i = 0; i < 20; i++) {
            watch.backoffAfterFailure(false);
        }
        watch.accepted(News.CHANGE, 2_000);
        assertEquals(0, watch.failures());
        assertTrue(watch.backoffAfterFailure(false) <= 100);
    }

    /** Discovery may answer at once, and nothing else bounds how often the node asks. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void doubtedAnswersAreAskedForAgainSoonAndFewerThanFiveTimesASecond(long seed) {
        ListWatch watch = at(seed);
        List<Integer> calls = new ArrayList<>();
        int now = watch.backoffAfterDoubt();
        assertTrue(now <= 300, "the first pause is " + now + " ms");
        for (; now < 10_000; now += watch.backoffAfterDoubt()) {
            calls.add(now);
        }
        for (int first = 0; first + 4 < calls.size(); first++) {
            int span = calls.get(first + 4) - calls.get(first);
            assertTrue(span > 1000, "five calls within " + span + " ms");
        }
        assertTrue(calls.size() >= 10, calls.size() + " calls in 10 s");
    }

    /** A discovery that does not wait, and writes the same list again and again, whatever its version. */
    @Test
    void answersAtOnceWithNothingNewAreAskedForFewerThanFiveTimesASecond() {
        ListWatch watch = at(1);
        assertEquals(0, watch.accepted(News.NONE, 1), "the first call does not ask for a wait");
        List<Integer> pauses = new ArrayList<>();
        for (int answer = 0; answer < 6; answer++) {
            pauses.add(watch.accepted(News.NONE, 1));
        }
        assertEquals(List.of(180, 360, 500, 500, 500, 500), pauses);
        assertEquals(0, watch.accepted(News.CHANGE, 2_000), "a watch that told a change is renewed at once");
        assertEquals(180, watch.accepted(News.NONE, 1));
        assertEquals(0, watch.accepted(News.NONE, 2_000), "a watch that ended without a change is renewed at once");
    }

    /** The watch is renewed within 200 ms, so that what changes meanwhile is not told to nobody. */
    @Test
    void newVersionsThatChangeNothingAreAskedForSixTimesASecondAtMost() {
        ListWatch watch = at(1);
        watch.accepted(News.CHANGE, 1);
        for (int answer = 0; answer < 6; answer++) {
            assertEquals(180, watch.accepted(News.VERSION_ONLY, 1));
        }
    }

    @Test
    void changesThatAreToldAtOnceAreAskedForAtMostFiftyTimesASecond() {
        ListWatch watch = at(1);
        watch.accepted(News.CHANGE, 1);
        assertEquals(19, watch.accepted(News.CHANGE, 1));
        assertEquals(0, watch.accepted(News.CHANGE, 20));
    }
}
