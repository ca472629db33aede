package onyxpaddle.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Precedence of procedure patterns. */
class ProcedureTableTest {
    private static Procedure of(String pattern) {
        return new Procedure("p", "in", pattern, "pool", "class", null);
    }

    private static String found(String method, String... patterns) {
        Procedure found = new ProcedureTable(List.of(patterns).stream().map(ProcedureTableTest::of).toList()).find(method);
        return found == null ? null : found.pattern();
    }

    @Test
    void fullNameBeforePrefixAndLongerPrefixFirst() {
        assertEquals("a.b", found("a.b", "*", "a.*", "a.b", "a.b*"));
        assertEquals("a.b*", found("a.bc", "*", "a.*", "a.b", "a.b*"));
        assertEquals("a.*", found("a.x", "*", "a.*", "a.b", "a.b*"));
        assertEquals("*", found("b", "*", "a.*", "a.b", "a.b*"));
        assertEquals("a.*", found("a.", "a.*"));
        assertNull(found("a", "a.*", "a.b"));
        assertNull(found("x"));
    }

    /** Prefixes that sort between a call's name and its matching prefix must not hide the latter. */
    @Test
    void prefixesSortedInBetweenHideNothing() {
        assertEquals("pat*", found("patient.zoo", "pat*", "patient.a*", "patient.b*", "patient.y*"));
    }

    @Property(tries = 500, seed = "46")
    void findsTheSameAsALinearScan(@ForAll Random random) {
        Set<String> patterns = new HashSet<>();
        for (int i = random.nextInt(12); i > 0; i--) {
            patterns.add(randomName(random) + (random.nextBoolean() ? "*" : ""));
        }
        patterns.remove("");
        List<Procedure> all = new ArrayList<>(patterns.stream().map(ProcedureTableTest::of).toList());
        ProcedureTable table = new ProcedureTable(all);
        for (int i = 0; i < 20; i++) {
            String method = randomName(random) + "x";
            Procedure best = null;
            for (Procedure p : all) {
                boolean matches = p.isPrefix() ? method.startsWith(p.prefix()) : method.equals(p.pattern());
                if (matches && (best == null || !p.isPrefix() || best.isPrefix() && p.prefix().length() > best.prefix().length())) {
                    best = p;
                }
            }
            assertEquals(best, table.find(method), method + " among " + patterns);
        }
    }

    private static String randomName(Random random) {
        StringBuilder name = new StringBuilder();
        for (int i = random.nextInt(5); i > 0; i--) {
            name.append((char) ('a' + random.nextInt(3)));
        }
        return name.toString();
    }

    @Test
    void mappedPath() {
        assertEquals("/rpc/add", new Procedure("p", "in", "patient.*", "pool", "c", "/rpc").mapped("patient.add"));
        assertEquals("/add", new Procedure("p", "in", "patient.*", "pool", "c", "/").mapped("patient.add"));
        assertEquals("/book", new Procedure("p", "in", "visit.book", "pool", "c", "/book").mapped("visit.book"));
        assertNull(of("visit.book").mapped("visit.book"));
    }

    @Test
    void duplicatesOnOneListener() {
        Procedure first = of("a");
        Procedure second = new Procedure("q", "in", "a", "pool", "class", null);
        Procedure elsewhere = new Procedure("r", "other", "a", "pool", "class", null);
        assertEquals(java.util.Map.of(second, first), ProcedureTable.duplicates(List.of(first, second, elsewhere)));
        assertTrue(ProcedureTable.duplicates(List.of(first, of("a*"))).isEmpty());
    }
}
