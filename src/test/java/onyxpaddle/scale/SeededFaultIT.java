package onyxpaddle.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** At a few dozen hollow nodes, over real sockets and processes: without a fault all checks hold, and each seeded fault changes the verdict. */
class SeededFaultIT {
    private static final ScaleSize SIZE = ScaleSize.trial();

    private final ExecutorService runs = Executors.newCachedThreadPool();

    @AfterEach
    void end() {
        runs.shutdownNow();
    }

    private static ScaleResult slopes(SeededFault fault) throws Exception {
        ScaleResult result = new ScaleResult();
        try (ScaleFleet fleet = new ScaleFleet(new FleetLayout(SIZE.eventNodes()), SIZE.largest(), SIZE.listCapacity(), fault)) {
            new ListServiceSlopes(fleet, SIZE).run(result);
        }
        return result;
    }

    private static ScaleResult outage(SeededFault fault) throws Exception {
        ScaleResult result = new ScaleResult();
        try (ScaleFleet fleet = new ScaleFleet(new FleetLayout(SIZE.eventNodes()), SIZE.largest(), SIZE.listCapacity(), fault)) {
            FleetEvents events = new FleetEvents(fleet, SIZE, result);
            events.coldStart();
            events.outage();
        }
        return result;
    }

    private static List<String> rowsShort(ScaleResult result) {
        return result.checks().stream().filter(check -> !check.holds()).map(ScaleResult.Check::row).toList();
    }

    /** Plays a scenario with each fault, side by side, and returns the rows that fall short. */
    private Map<SeededFault, List<String>> play(Scenario scenario, SeededFault... faults) throws Exception {
        Map<SeededFault, Future<ScaleResult>> started = new EnumMap<>(SeededFault.class);
        for (SeededFault fault : faults) {
            started.put(fault, runs.submit(() -> scenario.play(fault)));
        }
        Map<SeededFault, List<String>> rows = new EnumMap<>(SeededFault.class);
        for (Map.Entry<SeededFault, Future<ScaleResult>> run : started.entrySet()) {
            rows.put(run.getKey(), rowsShort(run.getValue().get()));
        }
        return rows;
    }

    private interface Scenario {
        ScaleResult play(SeededFault fault) throws Exception;
    }

    @Test
    void wholeListsAndWatchesThatNeverWaitAreFound() throws Exception {
        Map<SeededFault, List<String>> rows = play(SeededFaultIT::slopes, SeededFault.NONE, SeededFault.WHOLE_LISTS, SeededFault.NO_WAIT);
        assertEquals(List.of(), rows.get(SeededFault.NONE));
        assertTrue(rows.get(SeededFault.WHOLE_LISTS).contains("change.bytesADelivery"), rows.toString());
        assertTrue(rows.get(SeededFault.NO_WAIT).contains("calm.callsAWatch"), rows.toString());
    }

    @Test
    void aHerdIsFound() throws Exception {
        Map<SeededFault, List<String>> rows = play(SeededFaultIT::outage, SeededFault.NONE, SeededFault.HERD);
        assertEquals(List.of(), rows.get(SeededFault.NONE));
        assertEquals(List.of("outage.callsInATenth of all watches"), rows.get(SeededFault.HERD));
    }

    @Test
    void faultsAreNamedAsOperatorsWordThem() {
        assertEquals(SeededFault.WHOLE_LISTS, SeededFault.of("whole-lists"));
        assertEquals(SeededFault.NO_WAIT, SeededFault.of("no-wait"));
        assertEquals(SeededFault.HERD, SeededFault.of("herd"));
        assertEquals("no fault `flood`; there are none, whole-lists, no-wait, herd",
            assertThrows(IllegalArgumentException.class, () -> SeededFault.of("flood")).getMessage());
    }
}
