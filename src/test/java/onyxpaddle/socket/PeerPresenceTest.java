package onyxpaddle.socket;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** A peer counts as present only at times that the reads prove. */
class PeerPresenceTest {
    private static final int FULL_READ = 16 * 1024;
    private static final long MS = 1_000_000;

    private final PeerPresence presence = new PeerPresence(0);

    @Test
    void emptySocketProvesPresenceAndShortReadOnlyUpToItsArrival() {
        presence.read(10 * MS, 10 * MS, 0, true);
        assertEquals(10 * MS, presence.presentAt());
        presence.read(30 * MS, 25 * MS, 100, true);
        assertEquals(25 * MS, presence.presentAt(), "a close may lie right behind the bytes");
        presence.read(31 * MS, 31 * MS, 0, true);
        assertEquals(31 * MS, presence.presentAt());
    }

    /** Guards against a client that counts as there because some of its bytes have just been read. */
    @Test
    void bytesThatLayUnreadProveNothingOfTheTimeSince() {
        presence.read(10 * MS, 5 * MS, FULL_READ, false);
        for (int i = 1; i < 100; i++) {
            presence.read((10 + i) * MS, (10 + i) * MS, FULL_READ, false);
            assertEquals(5 * MS, presence.presentAt());
        }
    }

    /** Guards against a close that waits in the client's socket behind what did not fit into the node's. */
    @Test
    void emptySocketProvesNothingRightAfterMoreThanFitsIntoIt() {
        for (int i = 0; i < 4; i++) {
            presence.read((10 + i) * MS, 5 * MS, FULL_READ, false);
        }
        presence.read(14 * MS, 14 * MS, 0, true);
        presence.read(15 * MS, 15 * MS, 0, true);
        assertEquals(5 * MS, presence.presentAt());
        long quiet = 14 * MS + PeerPresence.QUIET;
        presence.read(quiet, quiet, 0, true);
        assertEquals(quiet, presence.presentAt());
    }
}
