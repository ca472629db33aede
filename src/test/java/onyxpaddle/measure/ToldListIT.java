package onyxpaddle.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import onyxpaddle.measure.ToldNews.Left;
import onyxpaddle.measure.ToldRig.Mode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** A real node sends nothing to a server later than 2 s after discovery wrote that it drains or is gone, whatever else it wrote. */
class ToldListIT {
    /** Requests that were sent before the grace was over have ended by then. */
    private static final long SETTLING = TimeUnit.SECONDS.toNanos(1);
    private static final int CALLS_PER_SECOND = 100;
    private static final int LIMIT_OF_DISCOVERY_CALLS = 5;
    private static final long WARM_UP_MS = 1_000;
    private static final long OBSERVED_S = 9;
    private static final int SIDE_BY_SIDE = 6;
    /** Servers that come back get traffic at once. */
    private static final long RETURN_LIMIT = TimeUnit.MILLISECONDS.toNanos(200);

    /**
     * What came of one row.
     *
     * @param served requests served once the grace was over, as are {@code unserved}
     * @param sinceTold from the last news to the first attempt after it
     */
    private record Outcome(long forbidden, int discoveryCalls, long served, long unserved, long broken, long sinceTold, String log) {
    }

    private record Case(ToldNews news, Mode mode) {
    }

    private static final ExecutorService PLAYS = Executors.newFixedThreadPool(SIDE_BY_SIDE);
    private static final Map<ToldNews, Map<Mode, Future<Outcome>>> OUTCOMES = new EnumMap<>(ToldNews.class);
    @TempDir
    private static Path folder;

    @BeforeAll
    static void playAllRows() {
        cases().forEach(c -> OUTCOMES.computeIfAbsent(c.news, n -> new EnumMap<>(Mode.class))
            .put(c.mode, PLAYS.submit(() -> play(c.news, c.mode))));
    }

    @AfterAll
    static void end() {
        PLAYS.shutdownNow();
    }

    private static Stream<Case> cases() {
        return Stream.of(ToldNews.values()).flatMap(news -> Stream.of(Mode.values()).map(mode -> new Case(news, mode)));
    }

    static Stream<Arguments> rows() {
        return cases().map(c -> Arguments.of(c.news, c.mode));
    }

    @ParameterizedTest(name = "{0}, {1}")
    @MethodSource("rows")
    void serverThatDrainsOrIsGoneGetsNothingNew(ToldNews news, Mode mode) throws Exception {
        Outcome outcome = OUTCOMES.get(news).get(mode).get();
        System.out.println("told " + news + " " + mode + ": " + outcome);
        assertEquals(0, outcome.forbidden, outcome.toString());
        assertTrue(outcome.discoveryCalls < LIMIT_OF_DISCOVERY_CALLS, outcome.toString());
        assertEquals(0, outcome.broken, outcome.toString());
        if (news.left() == Left.NONE) {
            assertEquals(0, outcome.served, outcome.toString());
            assertTrue(outcome.unserved > 0, outcome.toString());
        } else {
            assertEquals(0, outcome.unserved, outcome.toString());
            assertTrue(outcome.served > 0, outcome.toString());
        }
        if (news.left() == Left.ALL) {
            assertTrue(outcome.sinceTold < RETURN_LIMIT, outcome.toString());
        }
    }

    private static Outcome play(ToldNews news, Mode mode) throws Exception {
        try (ToldRig rig = new ToldRig(folder.resolve(news + "-" + mode), mode, ToldNews::allReady)) {
            if (news.fromTheStart()) {
                publish(rig.endpoints, news.steps(rig.dials));
            }
            rig.start();
            return observe(news, rig);
        }
    }

    private static Outcome observe(ToldNews news, ToldRig rig) throws Exception {
        ScriptedEndpoints endpoints = rig.endpoints;
        try (SteadyLoad load = new SteadyLoad(rig.listen, CALLS_PER_SECOND)) {
            TimeUnit.MILLISECONDS.sleep(WARM_UP_MS);
            long observedFrom = System.nanoTime();
            if (!news.fromTheStart()) {
                publish(endpoints, news.steps(rig.dials));
            }
            while (endpoints.toldAt() + ToldRig.GRACE + SETTLING - System.nanoTime() > 0) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
            SteadyLoad.Counts before = load.counts();
            TimeUnit.NANOSECONDS.sleep(observedFrom + TimeUnit.SECONDS.toNanos(OBSERVED_S) - System.nanoTime());
            SteadyLoad.Counts after = load.counts();
            long toldAt = endpoints.toldAt();
            long firstAttempt = rig.attempts().stream().mapToLong(a -> a.at() - toldAt).filter(since -> since > 0).min()
                .orElse(Long.MAX_VALUE);
            return new Outcome(rig.forbidden().size(), endpoints.mostCallsInASecond(), after.served() - before.served(),
                after.unserved() - before.unserved(), after.broken(), firstAttempt, rig.log());
        }
    }

    private static void publish(ScriptedEndpoints endpoints, List<ToldNews.Step> steps) throws InterruptedException {
        for (ToldNews.Step step : steps) {
            TimeUnit.MILLISECONDS.sleep(step.afterMs());
            endpoints.publish(step.script(), step.forbidden());
        }
    }
}
