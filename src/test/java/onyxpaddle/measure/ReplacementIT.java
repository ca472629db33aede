package onyxpaddle.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import onyxpaddle.drill.ServeProcess;
import onyxpaddle.measure.NamedLoad.Audit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * One process takes another's place under load, and either is killed or stands still for two seconds at each step in turn.
 * Whatever happens no booking runs twice, and what is killed takes no more with it than what it had itself.
 */
class ReplacementIT {
    private static final int CLIENTS = 8;
    private static final long STALL_MS = 2_000;
    private static final String TOLD = "handover: told to a further process";
    private PlatformRig rig;
    private ServeProcess first;
    private NamedLoad load;

    private interface Condition {
        boolean holds() throws Exception;
    }

    private static void await(String what, Condition condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.holds()) {
            assertTrue(System.nanoTime() < end, what);
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    /** That so many more are served from now on: the node is in service. */
    private void awaitServed(int more) throws Exception {
        long goal = load.served() + more;
        await("no further requests are served", () -> load.served() >= goal);
    }

    @BeforeEach
    void begin() throws Exception {
        rig = new PlatformRig(3);
        rig.servers.forEach(s -> s.delay(2, 6));
        first = rig.start(true);
        load = new NamedLoad(rig, CLIENTS);
        awaitServed(200);
    }

    @AfterEach
    void end() throws Exception {
        rig.close();
    }

    private static void kill(ServeProcess process) throws Exception {
        process.process().destroyForcibly().waitFor();
    }

    private static void term(ServeProcess process) throws Exception {
        process.process().destroy();
        assertTrue(process.process().waitFor(6, TimeUnit.SECONDS), "a replaced process ends by itself");
    }

    /** What a killed process had taken may have run unanswered: one for each client at the most. */
    private void assertKept(int mostLost) throws Exception {
        Audit audit = load.end();
        assertEquals(0, audit.twice(), audit.toString());
        assertTrue(audit.lost() <= mostLost, audit.toString());
        assertEquals(0, audit.failed(), audit.toString());
        if (mostLost == 0) {
            assertTrue(audit.turnedBack() <= 1, audit.toString());
        }
    }

    @Test
    void theNewOneIsKilledBeforeItHasAskedAndTheNextTakesOver() throws Exception {
        kill(rig.launch(true));
        awaitServed(100);
        ServeProcess third = rig.start(true);
        term(first);
        assertTrue(first.log().contains("ending, as another process serves"), first.log());
        assertTrue(third.process().isAlive());
        awaitServed(100);
        assertKept(0);
    }

    @Test
    void theNewOneIsKilledOnceItIsToldAndTheFirstServesOn() throws Exception {
        ServeProcess next = rig.launch(true);
        await("the new one asks", () -> first.log().contains(TOLD));
        kill(next);
        awaitServed(200);
        // It may have listened for a moment, and had taken connections by then.
        term(first);
        assertTrue(first.log().contains("ending\n"), "as none lives beside it: " + first.log());
        Audit audit = load.end();
        assertEquals(0, audit.twice(), audit.toString());
        assertTrue(audit.lost() <= CLIENTS, audit.toString());
    }

    @Test
    void theNewOneIsKilledAfterItsYes() throws Exception {
        kill(rig.start(true));
        awaitServed(200);
        ServeProcess third = rig.start(true);
        term(first);
        awaitServed(100);
        assertTrue(third.process().isAlive());
        assertKept(CLIENTS);
    }

    @Test
    void theFirstIsKilledWhileTheNewOneStarts() throws Exception {
        ServeProcess next = rig.launch(true);
        await("the new one asks", () -> first.log().contains(TOLD));
        kill(first);
        next.awaitReady();
        awaitServed(200);
        assertKept(CLIENTS);
    }

    @Test
    void theFirstIsKilledInTheMiddleOfItsEnd() throws Exception {
        rig.start(true);
        first.process().destroy();
        await("the first ends", () -> first.log().contains("ending, as another process serves"));
        kill(first);
        awaitServed(200);
        assertKept(CLIENTS);
    }

    @Test
    void theFirstStandsStillAsItIsAsked() throws Exception {
        first.signal("STOP");
        ServeProcess next = rig.launch(true);
        TimeUnit.MILLISECONDS.sleep(STALL_MS);
        first.signal("CONT");
        next.awaitReady();
        assertTrue(next.log().contains("said nothing whole in"), next.log());
        await("the first hears all the same that there is another", () -> first.log().contains(TOLD));
        term(first);
        awaitServed(100);
        assertKept(0);
    }

    @Test
    void theNewOneStandsStillBeforeItsYes() throws Exception {
        ServeProcess next = rig.launch(true);
        await("the new one asks", () -> first.log().contains(TOLD));
        next.signal("STOP");
        TimeUnit.MILLISECONDS.sleep(STALL_MS);
        next.signal("CONT");
        next.awaitReady();
        term(first);
        awaitServed(100);
        assertKept(0);
    }

    @Test
    void aDrainedProcessIsReplacedAndTheNewOneServes() throws Exception {
        assertTrue(first.call("POST /drain").startsWith("HTTP/1.1 200"));
        ServeProcess next = rig.start(true);
        assertTrue(first.call("GET /ready").startsWith("HTTP/1.1 503"));
        term(first);
        awaitServed(200);
        assertTrue(next.process().isAlive());
        assertKept(0);
    }

    @Test
    void replacedThreeTimesInARow() throws Exception {
        ServeProcess last = first;
        for (int i = 0; i < 3; i++) {
            ServeProcess next = rig.start(true);
            term(last);
            awaitServed(100);
            last = next;
        }
        assertKept(0);
    }
}
