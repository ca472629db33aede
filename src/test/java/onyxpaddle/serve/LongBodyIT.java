package onyxpaddle.serve;

import static onyxpaddle.serve.UploadCase.ALL;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import onyxpaddle.BalancerApi.Effect;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests whose bodies are passed on while they arrive: each goes out whole or not at all, and has its answer in its client's time. */
class LongBodyIT {
    private static final int MB = 1_000_000;
    private static final int SERVERS = 3;
    private static final int PARALLEL = 3;

    private static void assertNoFault(UploadCase upload, int servers, int requests) throws Exception {
        UploadTrial.Result result = new UploadTrial(upload, servers).run(requests, PARALLEL);
        assertEquals(List.of(), result.all(), upload + ": answers " + result.answers() + ", " + result.attempts() + " attempts");
    }

    /** The first requests of a process wait for its classes, which a packaged node has in an archive. */
    @BeforeAll
    static void loadClasses() throws Exception {
        UploadTrial.warmUp();
    }

    /** Guards against a further attempt with the rest of a body, or none of it, after the first part has gone to another server. */
    @ParameterizedTest
    @EnumSource(names = {"RESETS", "CLOSES", "FAILS", "CUTS_ANSWER", "TURNS_AWAY", "RESETS_MIDWAY", "RESETS_AT_HEAD"})
    void keyedRequestIsNotSentAgainWithoutItsBody(UploadConduct conduct) throws Exception {
        for (boolean chunked : new boolean[] {false, true}) {
            assertNoFault(new UploadCase(Effect.KEYED, 2_200_000, chunked, false, 0, conduct, 1, 2_000), SERVERS, 6);
        }
    }

    /** Guards against a second copy that takes the rest of a body away from the first attempt. */
    @ParameterizedTest
    @ValueSource(ints = {0, 400})
    void secondCopyDoesNotTakeTheBodyFromTheFirstAttempt(int spreadMs) throws Exception {
        for (boolean chunked : new boolean[] {false, true}) {
            assertNoFault(new UploadCase(Effect.KEYED, 3 * MB, chunked, true, spreadMs, UploadConduct.SERVES_LATE, ALL, 3_000), SERVERS, 6);
        }
    }

    /** Guards against a time that begins only when a server has the last byte: a server that hangs never takes it. */
    @ParameterizedTest
    @EnumSource(names = {"READS_NOTHING", "STOPS_MIDWAY", "NEVER_ANSWERS", "READS_SLOWLY"})
    void requestForAHangingServerIsAnsweredInItsClientsTime(UploadConduct conduct) throws Exception {
        for (boolean chunked : new boolean[] {false, true}) {
            assertNoFault(new UploadCase(Effect.UNSAFE, 4 * MB, chunked, false, 0, conduct, 1, 700), SERVERS, 3);
        }
    }

    /** Guards against a client that can't write on and waits without a word while no server takes its body. */
    @Test
    void clientThatCannotWriteOnIsRefusedWhenNoServerReads() throws Exception {
        for (boolean chunked : new boolean[] {false, true}) {
            assertNoFault(new UploadCase(Effect.UNSAFE, 20 * MB, chunked, false, 0, UploadConduct.READS_NOTHING, ALL, 700), SERVERS, 3);
        }
    }

    /** Guards against a long request that waits for a server for minutes. */
    @Test
    void requestWithoutAServerIsRefusedInItsClientsTime() throws Exception {
        for (boolean chunked : new boolean[] {false, true}) {
            assertNoFault(new UploadCase(Effect.UNSAFE, 3 * MB, chunked, false, 0, UploadConduct.SERVES, 0, 700), 0, 3);
        }
    }
}
