package onyxpaddle.membership;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A watch that falls silent after any time of sound answers: when the calls after it go out, by the times that the node would wait. */
class SilentWatchTest {
    private static final int SEEDS = 200;
    /** Sound answers come within the wait of a call; so many of them make 13 s and more. */
    private static final int MOST_SOUND = 26;

    /**
     * {@code silent}: calls after the watch that are silent, too; {@code longest}: the next goes out by then, in milliseconds after the
     * watch fell silent at the earliest, as {@link ListWatch#patienceMs} says, so that its answer comes within 6 s.
     */
    @ParameterizedTest
    @CsvSource({"false, 0, 2900", "false, 1, 3900", "false, 2, 5100", "true, 0, 2900", "true, 1, 4600"})
    void callsAfterASilentWatchGoOutInTimeHoweverLongItWasSound(boolean asked, int silent, int longest) {
        for (int seed = 0; seed < SEEDS; seed++) {
            ListWatch watch = new ListWatch(asked, 1, true, new SplittableRandom(seed));
            for (int answer = 0; answer <= seed % MOST_SOUND; answer++) {
                assertNull(watch.judge(answer == 0, 1 + answer, false));
            }
            int took = 0;
            for (int call = 0; call <= silent; call++) {
                took += watch.patienceMs() + watch.failed(false);
            }
            assertTrue(took <= longest, "the next call goes out after " + took + " ms, seed " + seed);
        }
    }
}
