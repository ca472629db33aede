package onyxpaddle.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import onyxpaddle.config.Faults;
import onyxpaddle.drill.Drill.Cut;
import onyxpaddle.drill.Drill.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reading of drill files, and the report of each fault with its place. */
class DrillReaderTest {
    private static final String VALID = """
        version: 1
        name: one
        lasts: 4 s
        sites:
          east: {nodes: 2, boxes: 3, share: 2}
          west: {nodes: 1, boxes: 1}
        boxes: {takes: 10 ms, at-once: 2, cold: 5 s}
        load:
          - {class: book, per-second: 50}
        faults:
          - {stop: east/1, at: 1 s, for: 3 s}
          - {cut: [east, west], how: one-way, after-served: 20, for: 500 ms}
        """;

    @Test
    void readsAValidFile() {
        Faults faults = new Faults();
        Drill drill = DrillReader.text("d.yaml", VALID, faults);
        assertEquals(List.of(), faults.list());
        assertEquals(List.of("east", "west"), drill.siteNames());
        assertEquals(200, drill.boxes().perSecond());
        assertEquals(Kind.STOP, drill.faults().get(0).kind());
        assertEquals(1_000, drill.faults().get(0).atMs());
        assertEquals(Cut.ONE_WAY, drill.faults().get(1).cut());
        assertEquals("cut one_way east - west", drill.faults().get(1).toString());
        assertEquals(20, drill.faults().get(1).afterServed());
        assertEquals(9, drill.withSeed(9).seed());
    }

    @Test
    void aLargeFleetIsValid() {
        Faults faults = new Faults();
        Drill drill = DrillReader.text("d.yaml", VALID.replace("nodes: 2, boxes: 3", "nodes: 1100, boxes: 1100"), faults);
        assertEquals(List.of(), faults.list());
        assertEquals(1100, drill.sites().get("east").boxes());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "stop: east/1 | stop: east/2 | d.yaml:11:12: faults[0].stop: there is no node `east/2`",
        "stop: east/1 | kill: east/s1 | there is no node `east/s1`",
        "stop: east/1 | drain: west/1 | there is no box `west/1`",
        "stop: east/1 | lose: north | there is no site `north`; one of east, west",
        "stop: east/1 | size: 1 | names no fault",
        "stop: east/1 | 'stop: east/1, lose: west' | names more than one fault",
        "stop: east/1 | 'stop: east/1, how: silent' | applies to `cut:` only",
        "'[east, west]' | '[east]' | names 1 sites",
        "one-way | delayed | has no size",
        "one-way | sideways | sideways",
        "per-second: 50 | 'per-second: 50, aim: 3 s' | is longer than the deadline",
        "per-second: 50} | 'per-second: 50}\n  - {class: book, per-second: 1}' | `book` is a duplicate",
        "nodes: 2 | nodes: 10000 | more processes than one machine can run",
        "share: 2} | 'share: 0}' | ",
        "takes: 10 ms | takes: 10 | takes",
        "lasts: | last: | did you mean `lasts`"})
    void eachFaultIsReported(String valid, String invalid, String expected) {
        Faults faults = new Faults();
        Drill drill = DrillReader.text("d.yaml", VALID.replace(valid, invalid.replace("\\n", "\n")), faults);
        if (expected == null) {
            assertEquals(List.of(), faults.list(), "west has a share");
            return;
        }
        assertNull(drill);
        assertTrue(faults.list().stream().anyMatch(f -> f.toString().contains(expected)), faults.list().toString());
    }
}
