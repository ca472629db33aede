package onyxpaddle.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class UnitsAndAddressesTest {
    @ParameterizedTest
    @CsvSource({"300 ms, 300000000", "300ms, 300000000", "1.5 s, 1500000000", "2 min, 120000000000", "1 h, 3600000000000",
        "7 us, 7000", "0 ms, 0", "300, -1", "ms, -1", "-3 s, -1", "3 S, -1", "1e3 ms, -1", "1  s, -1", "1 KiB, -1"})
    void parsesSpans(String text, long nanos) {
        assertEquals(nanos, Units.parseSpan(text));
    }

    @ParameterizedTest
    @CsvSource({"64 KiB, 65536", "1 MiB, 1048576", "0.5 GiB, 536870912", "7 B, 7", "64, -1", "64 KB, -1", "1 s, -1"})
    void parsesSizes(String text, long bytes) {
        assertEquals(bytes, Units.parseSize(text));
    }

    @Property(tries = 500, seed = "20261201")
    void formattedUnitsParseToTheSameValue(@ForAll @LongRange(min = 0, max = 86_400_000_000L) long micros,
            @ForAll @LongRange(min = 0, max = 999_999_999L) long bytes) {
        assertEquals(micros * 1000, parseFormattedSpan(Units.formatSpan(micros * 1000)));
        assertEquals(bytes, Units.parseSize(Units.formatSize(bytes)));
    }

    /** Spans that are not whole in any larger unit can have more digits than the parser accepts, so only the number is compared. */
    private static long parseFormattedSpan(String text) {
        long read = Units.parseSpan(text);
        return read >= 0 ? read : Long.parseLong(text.replace(" us", "")) * 1000;
    }

    @ParameterizedTest
    @ValueSource(strings = {"127.0.0.1:80", "0.0.0.0:65535", "[::]:1", "[::1]:80", "[fe80:0:0:0:1:2:3:4]:80", "[2001:db8::1]:0"})
    void numericAddressesAreParsed(String text) {
        assertNotNull(HostPort.parse(text));
        assertEquals(text, HostPort.parse(text).toString());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "80", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:x", "127.0.0.256:1",
        "127.0.1:80", "127.0.0.01:80", "localhost:80", "::1:80", "[::1]", "[:::]:1", "[1::2::3]:1", "[1:2:3:4:5:6:7]:1",
        "[1:2:3:4:5:6:7:8:9]:1", "[12345::]:1", "[:1:2:3:4:5:6:7:8]:1", "127.0.0.1:80 "})
    void invalidAddressesAreRefused(String text) {
        assertNull(HostPort.parse(text));
    }

    @ParameterizedTest
    @CsvSource({"127.0.0.1:80, 127.0.0.1:80, true", "127.0.0.1:80, 0.0.0.0:80, true", "[::]:80, 10.0.0.1:80, true",
        "127.0.0.1:80, 127.0.0.2:80, false", "127.0.0.1:80, 127.0.0.1:81, false", "127.0.0.1:0, 127.0.0.1:0, false"})
    void addressesConflict(String one, String other, boolean conflict) {
        assertEquals(conflict, HostPort.parse(one).conflictsWith(HostPort.parse(other)));
        assertEquals(conflict, HostPort.parse(other).conflictsWith(HostPort.parse(one)));
    }
}
