package onyxpaddle.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.BitSet;
import onyxpaddle.scale.AddedTimeReport.Verdict;
import org.junit.jupiter.api.Test;

/** What a path adds, and whether that can be judged. */
class AddedTimeTest {
    private static final long MICRO = 1_000;
    private static final double BUDGET_MS = 0.36;
    private static final AddedTime.Plan PLAN = new AddedTime.Plan(1_000, 5, 1_000_000_000L, 3);

    @Test
    void whatIsAddedIsToldToTheMicrosecondOfTheClock() throws IOException {
        AddedTimeReport report = measured(new VirtualServer(100 * MICRO), new VirtualServer(300 * MICRO));
        assertEquals(0.2, report.added(50), 0.01);
        assertEquals(0.2, report.added(99), 0.02);
        assertEquals(0.2, report.addedPooled(99), 0.02);
        assertEquals(0.1, report.straight(50), 0.01);
        assertTrue(report.noise(99) < 0.02, "noise " + report.noise(99));
        assertEquals(Verdict.WITHIN, report.verdict(BUDGET_MS));
    }

    @Test
    void aDelayOfAMillisecondInThePathChangesTheVerdict() throws IOException {
        AddedTimeReport report = measured(new VirtualServer(100 * MICRO), new VirtualServer(1_300 * MICRO));
        assertEquals(1.2, report.added(99), 0.05);
        assertEquals(Verdict.OVER, report.verdict(BUDGET_MS));
        assertTrue(report.sentence(BUDGET_MS).contains("over the budget"), report.sentence(BUDGET_MS));
    }

    @Test
    void straightCallsThatDifferByMoreThanTheBudgetJudgeNothing() throws IOException {
        VirtualServer noisy = new VirtualServer(100 * MICRO);
        noisy.noise(40_000 * MICRO, 11);
        AddedTimeReport report = measured(noisy, new VirtualServer(200 * MICRO));
        assertTrue(report.noise(99) > BUDGET_MS, "noise " + report.noise(99));
        assertEquals(Verdict.CANNOT_JUDGE, report.verdict(BUDGET_MS));
        assertTrue(report.sentence(BUDGET_MS).contains("can't be judged here"), report.sentence(BUDGET_MS));
    }

    @Test
    void aBudgetThatLiesWithinTheNoiseIsNotJudged() throws IOException {
        VirtualServer noisy = new VirtualServer(100 * MICRO);
        noisy.noise(2_000 * MICRO, 11);
        AddedTimeReport report = measured(noisy, new VirtualServer(5_100 * MICRO));
        double noise = report.noise(99);
        double added = report.added(99);
        assertTrue(noise > 0.01 && added > 2 * noise, "noise " + noise + ", added " + added);
        assertEquals(Verdict.CANNOT_JUDGE, report.verdict(added + noise / 2));
        assertEquals(Verdict.CANNOT_JUDGE, report.verdict(added - noise / 2));
        assertEquals(Verdict.WITHIN, report.verdict(added + noise * 1.01));
        assertEquals(Verdict.OVER, report.verdict(added - noise * 1.01));
    }

    @Test
    void aCallThatFailsKeepsAllFromBeingJudged() throws IOException {
        VirtualServer broken = new VirtualServer(200 * MICRO);
        broken.breakNext(1);
        AddedTimeReport report = measured(new VirtualServer(100 * MICRO), broken);
        assertEquals(1, report.failures());
        assertEquals(Verdict.CANNOT_JUDGE, report.verdict(BUDGET_MS));
    }

    @Test
    void overRealSocketsEachCallThroughADelayedServerTakesThatDelay() throws Exception {
        long delayMicros = 100_000;
        try (OpenLoadServer server = new OpenLoadServer(delayMicros);
                AddedTime calls = new AddedTime(server.prompt(), server.delayed())) {
            AddedTimeReport report = calls.measure(new AddedTime.Plan(100, 2, 200_000_000L, 5));
            assertEquals(0, report.failures(), report.firstFailure());
            for (AddedTimeReport.Round round : report.rounds()) {
                assertTrue(round.through().latencies().getMinValue() >= delayMicros * 999, "none is faster than the delay");
                assertEquals(round.straight().latencies().getTotalCount(), round.through().latencies().getTotalCount(),
                    "the same arrivals");
            }
        }
    }

    @Test
    void coresAreReadAsTheKernelWritesThem() {
        BitSet cores = OpenLoadCores.cores("0-2,5,7-7");
        assertEquals("{0, 1, 2, 5, 7}", cores.toString());
    }

    private static AddedTimeReport measured(VirtualServer straight, VirtualServer through) throws IOException {
        return AddedTime.measure(PLAN, new OpenLoad(straight::connect, 16, straight::now),
            new OpenLoad(through::connect, 16, through::now));
    }
}
