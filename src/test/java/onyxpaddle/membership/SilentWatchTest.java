package onyxpaddle.membership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import onyxpaddle.membership.ListWatch.News;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against the calls after an unanswered watch being made too late for a change to be delivered within 6 s, however many answers
 * came before. Adds up the time-outs and pauses of the node.
 */
class SilentWatchTest {
    private static final int SEEDS = 200;
    /** Answers come within the wait of their call; this many cover 13 s and more. */
    private static final int MAX_ANSWERS = 26;

    /**
     * {@code unanswered}: number of further calls without an answer; {@code latestMs}: latest time of the next call in milliseconds after
     * the earliest time at which the watch may have lost contact, so that its answer comes within 6 s, see
     * {@link ListWatch#firstByteTimeoutMs}.
     */
    @ParameterizedTest
    @CsvSource({"false, 0, 2900", "false, 1, 3900", "false, 2, 5100", "true, 0, 2900", "true, 1, 4600"})
    void callsAfterAnUnansweredWatchAreMadeInTime(boolean central, int unanswered, int latestMs) {
        for (int seed = 0; seed < SEEDS; seed++) {
            ListWatch watch = new ListWatch(central, new SplittableRandom(seed));
            for (int answer = 0; answer <= seed % MAX_ANSWERS; answer++) {
                watch.accepted(News.CHANGE, 2_000);
            }
            int elapsedMs = 0;
            for (int call = 0; call <= unanswered; call++) {
                elapsedMs += watch.firstByteTimeoutMs() + watch.backoffAfterFailure(false);
            }
            assertTrue(elapsedMs <= latestMs, "the next call is made after " + elapsedMs + " ms, seed " + seed);
        }
    }
}
