package onyxpaddle.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class DepartureLogTest {
    private static final long MS = 1_000_000L;

    private final DepartureLog departures = new DepartureLog();

    @Test
    void lineNamesTheVersionAndTheLastAttemptAtEachServer() {
        departures.leaving("s1", 40 * MS);
        departures.leaving("s2", 0);
        assertEquals("servers leave by version 7, last attempt ms ago: s1=60 s2=none", departures.nextLine(7, 100 * MS));
        assertEquals("", departures.nextLine(8, 200 * MS));
    }

    @Test
    void furtherServersAreCounted() {
        for (int server = 1; server <= 20; server++) {
            departures.leaving("s" + server, 0);
        }
        assertEquals("servers leave by version 7, last attempt ms ago: s1=none s2=none s3=none s4=none s5=none s6=none and 14 more",
            departures.nextLine(7, 0));
    }
}
