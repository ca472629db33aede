package onyxpaddle.bridge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Guards against keys that change, or that become equal, on their way from one protocol to the other. */
class KeyFormsTest {
    private static final int TRIES = 5_000;

    @Provide
    Arbitrary<String> texts() {
        Arbitrary<String> plain = Arbitraries.strings().withCharRange(' ', '~').ofMinLength(1).ofMaxLength(40);
        Arbitrary<String> special = Arbitraries.strings().withChars(' ', '\t', '%', '2', '0', '\n', '\u007f', 'a', '\u00e9', '\u0416', '\ufeff')
            .ofMinLength(1).ofMaxLength(6);
        return Arbitraries.oneOf(plain, special, Arbitraries.strings().all().ofMinLength(1).ofMaxLength(60));
    }

    /** Values as an HTTP front reads them: a char for each byte, without control characters, and without blanks at the edges. */
    @Provide
    Arbitrary<String> headerValues() {
        return Arbitraries.oneOf(Arbitraries.strings().withCharRange(' ', '\u00ff').ofMinLength(1).ofMaxLength(300),
                texts().map(text -> new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1)))
            .filter(value -> value.chars().noneMatch(c -> c < ' ' && c != '\t' || c == 0x7f) && isTrimmed(value));
    }

    private static boolean isTrimmed(String value) {
        return !value.isEmpty() && " \t".indexOf(value.charAt(0)) < 0 && " \t".indexOf(value.charAt(value.length() - 1)) < 0;
    }

    @Property(tries = TRIES, seed = "1")
    void textComesBackFromItsHeaderValue(@ForAll("texts") String text) {
        String value = KeyForms.headerValue(text);
        if (value != null) {
            assertTrue(value.chars().allMatch(c -> c == '\t' || c >= ' ' && c != 0x7f && c <= 0xff), value);
            assertTrue(isTrimmed(value), value);
            if (text.getBytes(StandardCharsets.UTF_8).length <= 256) {
                assertEquals(text, KeyForms.text(value));
            }
        }
    }

    @Property(tries = TRIES, seed = "1")
    void headerValueComesBackFromItsText(@ForAll("headerValues") String value) {
        String text = KeyForms.text(value);
        if (text != null) {
            assertEquals(value, KeyForms.headerValue(text));
        }
    }

    @Property(tries = TRIES, seed = "1")
    void visibleAsciiStaysAsItIs(@ForAll("texts") String text) {
        if (text.chars().allMatch(c -> c > ' ' && c < 0x7f)) {
            assertEquals(text, KeyForms.headerValue(text));
            assertEquals(text, KeyForms.text(text));
        }
    }

    @Example
    void keysThatTheOtherProtocolCannotCarryHaveNoForm() {
        for (String text : new String[] {"", " a", "a ", "\ta", "a\n", "a\u0000b", "\u007f", "\ud800"}) {
            assertNull(KeyForms.headerValue(text), text);
        }
        assertNull(KeyForms.text(""));
        assertNull(KeyForms.text("cl\u00e9"));
        assertNull(KeyForms.text("k".repeat(257)));
        assertEquals("cl\u00c3\u00a9", KeyForms.headerValue("cl\u00e9"));
        assertEquals("cl\u00e9", KeyForms.text("cl\u00c3\u00a9"));
        assertEquals("k".repeat(256), KeyForms.text("k".repeat(256)));
    }
}
