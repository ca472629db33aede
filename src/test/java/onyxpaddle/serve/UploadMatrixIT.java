package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import onyxpaddle.BalancerApi.Effect;
import onyxpaddle.serve.UploadTrial.Result;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Every size, form and effect of a request with a body against every end of an attempt before, within and after the body: it goes out
 * whole or not at all, runs once, and has its answer in its client's time. A seeded part by default; {@code -Duploads.all=true} plays
 * all combinations, {@code -Duploads.seed=N} another part.
 */
class UploadMatrixIT {
    private static final int KIB = 1024;
    private static final int MIB = 1024 * KIB;
    private static final int MB = 1_000_000;
    private static final List<Integer> SIZES = List.of(0, 1, 64 * KIB - 1, 64 * KIB, 64 * KIB + 1, MIB - 1, MIB, MIB + 1, 3 * MB, 9 * MB,
        32 * MB);
    private static final int SPREAD_MS = 300;
    /** Long enough for the longest bodies to pass, and short enough for a part in a CI run. */
    private static final int TIMEOUT_MS = 1_000;
    private static final int SERVERS = 3;
    private static final int REQUESTS = 2;
    private static final int PARALLEL_REQUESTS = 2;
    private static final int PARALLEL_CASES = 4;
    private static final int CASES_OF_A_PART = 72;
    private static final long DEFAULT_SEED = 1;

    private static final Map<Integer, Integer> ANSWERS = new TreeMap<>();
    private static final List<String> FAULTS = new ArrayList<>();
    private static final List<String> EXCESS_TOLD = new ArrayList<>();

    @BeforeAll
    static void playCases() throws Exception {
        // The first requests of a process wait for its classes, which a packaged node has in an archive.
        UploadTrial.warmUp();
        List<UploadCase> cases = allCases();
        if (!Boolean.getBoolean("uploads.all")) {
            Collections.shuffle(cases, new Random(Long.getLong("uploads.seed", DEFAULT_SEED)));
            cases = cases.subList(0, CASES_OF_A_PART);
        }
        ExecutorService threads = Executors.newFixedThreadPool(PARALLEL_CASES);
        try {
            List<Future<Result>> results = new ArrayList<>();
            for (UploadCase upload : cases) {
                results.add(threads.submit(() -> new UploadTrial(upload, SERVERS).run(REQUESTS, PARALLEL_REQUESTS)));
            }
            for (int i = 0; i < cases.size(); i++) {
                Result result = results.get(i).get();
                result.answers().forEach((status, count) -> ANSWERS.merge(status, count, Integer::sum));
                note(cases.get(i), result.faults(), FAULTS);
                note(cases.get(i), result.excessTold(), EXCESS_TOLD);
            }
        } finally {
            threads.shutdownNow();
        }
        System.out.println(cases.size() + " cases, answers by status " + ANSWERS + ", " + FAULTS.size() + " with faults, in "
            + EXCESS_TOLD.size() + " servers were told too much time");
    }

    private static void note(UploadCase upload, List<String> found, List<String> all) {
        if (!found.isEmpty()) {
            all.add(upload + ": " + found);
        }
    }

    private static List<UploadCase> allCases() {
        List<UploadCase> cases = new ArrayList<>();
        for (UploadConduct conduct : UploadConduct.values()) {
            for (int size : SIZES) {
                for (boolean copies : new boolean[] {false, true}) {
                    cases.addAll(cases(conduct, size, copies));
                }
            }
        }
        return cases;
    }

    private static List<UploadCase> cases(UploadConduct conduct, int size, boolean copies) {
        List<UploadCase> cases = new ArrayList<>();
        if (size == 0) {
            cases.add(new UploadCase(Effect.SAFE, 0, false, copies, 0, conduct, 1, TIMEOUT_MS));
        }
        for (Effect effect : List.of(Effect.KEYED, Effect.UNSAFE)) {
            for (boolean chunked : new boolean[] {false, true}) {
                for (int spreadMs : size < MIB ? new int[] {0} : new int[] {0, SPREAD_MS}) {
                    cases.add(new UploadCase(effect, size, chunked, copies, spreadMs, conduct, 1, TIMEOUT_MS));
                }
            }
        }
        return cases;
    }

    /** Guards against altered, repeated, lost and late requests, by what clients sent and servers read. */
    @Test
    void everyRequestGoesOutWholeRunsOnceAndIsAnsweredInTime() {
        assertEquals("", String.join("\n", FAULTS));
        assertTrue(ANSWERS.getOrDefault(200, 0) > 0, "nothing was served: " + ANSWERS);
    }

    /** Guards against servers that work on for clients that have left. */
    @Test
    void noServerIsToldMoreTimeThanItsClientHasLeft() {
        assertEquals("", String.join("\n", EXCESS_TOLD));
    }
}
