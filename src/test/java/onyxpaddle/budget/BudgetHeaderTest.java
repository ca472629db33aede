package onyxpaddle.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import onyxpaddle.budget.BudgetHeader.MalformedHeaderException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Parsing of the budget header: round trips, conservative merging of duplicates, and rejection of malformed values. */
class BudgetHeaderTest {
    @Provide
    Arbitrary<BudgetHeader> headers() {
        Arbitrary<String> name = Arbitraries.strings().withChars("abcXYZ019._-").ofMinLength(1).ofMaxLength(20);
        return Combinators.combine(name, name, Arbitraries.integers().between(0, 1000),
            Arbitraries.integers().between(0, 100_000).map(n -> n / 8.0), name.list().ofMaxSize(16),
            Arbitraries.integers().between(0, 20)).as((id, from, a, w, path, dropped) -> new BudgetHeader(id, from, a, w,
                path.size() + dropped, path));
    }

    @Property(tries = 500, seed = "51")
    void parsesWhatItFormats(@ForAll("headers") BudgetHeader header) throws Exception {
        assertEquals(header, BudgetHeader.parse(List.of(header.text())));
        assertEquals(header, BudgetHeader.parse(List.of(header.text(), header.text())), "two equal lines");
        assertEquals(header, BudgetHeader.parse(List.of(header.text() + ", " + header.text())), "two equal lines joined by a comma");
        assertTrue(header.text().length() <= 1024);
    }

    @Test
    void noLinesGiveNull() throws Exception {
        assertNull(BudgetHeader.parse(List.of()));
    }

    @Test
    void mergesTwoHeadersToTheMostConservativeValues() throws Exception {
        BudgetHeader merged = BudgetHeader.parse(List.of("id=\"r\", from=\"a-1\", a=4, w=9, d=2, path=\"front mid\"",
            "id=\"r\", from=\"a-2\", a=3, d=1, path=\"front other\""));
        assertEquals(new BudgetHeader("r", "", 3, 9, 2, List.of("front", "mid", "other")), merged);
    }

    @Test
    void depthIsAtLeastTheLengthOfThePath() throws Exception {
        assertEquals(2, BudgetHeader.parse(List.of("id=\"r\", a=1, d=0, path=\"a b\"")).depth());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", " ", "a=1", "id=\"r\"", "id=\"r\", a=-1", "id=\"r\", a=1.5", "id=\"r\", a=\"1\"", "id=\"r\", a=1e3",
        "id=\"r\", a=99999999999999", "id=\"r\", a=1000001", "id=\"r\", a=NaN", "id=\"r\", a=1, w=-1", "id=\"r\", a=1, w=1e9",
        "id=\"r\", a=1, w=\"9\"", "id=\"r\", a=1,", "id=\"r\" a=1", "id=r, a=1", "id=\"\", a=1", "id=\"r s\", a=1",
        "id=\"r\", a=1, path=\"a  b\"", "id=\"r\", a=1, path=7", "id=\"r\", a=1, d=0x1", "id=\"r\", a=1, d=-2",
        "id=\"r, a=1", "id=\"r\\\"\", a=1", "a=1, id=\"r\", a=\"\u00e9\"", "id=\"r\", a=1, id=\"s\", a=1", ", id=\"r\", a=1",
        "id=\"0123456789012345678901234567890123456789012345678901234567890123456789\", a=1"})
    void rejectsMalformedHeaders(String line) {
        assertThrows(MalformedHeaderException.class, () -> BudgetHeader.parse(List.of(line)));
    }

    @Test
    void rejectsLinesThatAreTooLong() {
        String line = "id=\"r\", a=1, x=\"" + "y".repeat(2000) + "\"";
        assertThrows(MalformedHeaderException.class, () -> BudgetHeader.parse(List.of(line)));
    }

    @Test
    void ignoresUnknownMembers() throws Exception {
        assertEquals(new BudgetHeader("r", "", 2, Double.NaN, 0, List.of()),
            BudgetHeader.parse(List.of("later=\"x y\", id=\"r\", a=2, more=-1.25")));
    }

    @Test
    void forAttemptAppendsTheNodeAndKeepsTheNewestOfALongPath() {
        BudgetHeader header = new BudgetHeader("r", "", 5, 9, 0, List.of());
        for (int i = 0; i < 20; i++) {
            header = header.forAttempt("n" + i, "n" + i + "-0", 3, 9);
        }
        assertEquals(20, header.depth());
        assertEquals(BudgetHeader.MAX_PATH_LENGTH, header.path().size());
        assertEquals("n19", header.path().get(15));
        assertEquals(3, header.attempts());
    }
}
