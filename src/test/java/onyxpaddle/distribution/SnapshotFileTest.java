package onyxpaddle.distribution;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import onyxpaddle.distribution.SnapshotFile.Fallback;
import onyxpaddle.distribution.SnapshotFile.ReadResult;
import onyxpaddle.distribution.SnapshotFile.Missing;
import onyxpaddle.distribution.SnapshotFile.Intact;
import onyxpaddle.distribution.SnapshotFile.Corrupt;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SnapshotFileTest {
    @TempDir
    private Path folder;
    private Path state;
    private SnapshotFile file;

    @BeforeEach
    void start() {
        state = folder.resolve("a/state");
        file = new SnapshotFile(state, "table");
    }

    private ReadResult readAnew() {
        return new SnapshotFile(state, "table").read();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static void assertSound(String text, ReadResult found) {
        assertArrayEquals(bytes(text), assertInstanceOf(Intact.class, found).bytes());
    }

    @Test
    void theNewestStateIsRead() throws IOException {
        assertInstanceOf(Missing.class, readAnew());
        for (int i = 0; i < 5; i++) {
            file.write(bytes("state " + i));
            assertSound("state " + i, readAnew());
        }
        SnapshotFile next = new SnapshotFile(state, "table");
        next.read();
        next.write(bytes("state 5"));
        assertSound("state 5", readAnew());
    }

    @Test
    void aTornNewestFileFallsBackToTheOtherAtEveryLengthAndByte() throws IOException {
        file.write(bytes("first"));
        file.write(bytes("second"));
        Path newest = state.resolve("table.1");
        byte[] sound = Files.readAllBytes(newest);
        for (int length = 0; length < sound.length; length++) {
            Files.write(newest, Arrays.copyOf(sound, length));
            Fallback found = assertInstanceOf(Fallback.class, readAnew(), "cut to " + length);
            assertArrayEquals(bytes("first"), found.bytes());
            assertTrue(found.damage().contains("table.1"), found.damage());
        }
        for (int at = 0; at < sound.length; at++) {
            byte[] changed = sound.clone();
            changed[at] ^= 0x10;
            Files.write(newest, changed);
            assertArrayEquals(bytes("first"), assertInstanceOf(Fallback.class, readAnew(), "byte " + at).bytes());
        }
        Files.delete(newest);
        assertInstanceOf(Fallback.class, readAnew());
    }

    @Test
    void afterTheFirstWriteEitherFileAloneHasItsState() throws IOException {
        file.write(bytes("only"));
        Files.delete(state.resolve("table.0"));
        assertSound("only", readAnew());
    }

    @Test
    void whatIsWrittenAfterAFallBackIsTheNewest() throws IOException {
        file.write(bytes("first"));
        file.write(bytes("second"));
        Files.write(state.resolve("table.1"), bytes("noise"));
        SnapshotFile next = new SnapshotFile(state, "table");
        next.read();
        next.write(bytes("third"));
        assertSound("third", readAnew());
        next.write(bytes("fourth"));
        assertSound("fourth", readAnew());
    }

    @Test
    void bothTornIsSaid() throws IOException {
        file.write(bytes("first"));
        file.write(bytes("second"));
        Files.write(state.resolve("table.0"), bytes("noise"));
        Files.write(state.resolve("table.1"), bytes("noise"));
        Corrupt torn = assertInstanceOf(Corrupt.class, readAnew());
        assertTrue(torn.damage().contains("table.0") && torn.damage().contains("table.1"), torn.damage());
    }

    @Test
    void aFullDiskLeavesTheStateBeforeAndTheNextWriteGoes() throws IOException {
        Path full = Path.of("/dev/full");
        assumeTrue(Files.exists(full), "no /dev/full on this system");
        file.write(bytes("first"));
        Files.createSymbolicLink(state.resolve("table.tmp"), full);
        assertThrows(IOException.class, () -> file.write(bytes("second")));
        assertSound("first", readAnew());
        file.write(bytes("third"));
        assertSound("third", readAnew());
    }

    @Test
    void aTemporaryFileLeftByACrashIsNoState() throws IOException {
        file.write(bytes("first"));
        Files.write(state.resolve("table.tmp"), bytes("noise"));
        assertSound("first", readAnew());
        file.write(bytes("second"));
        assertSound("second", readAnew());
    }

    @Test
    void aStateTooLargeIsRefused() {
        assertThrows(IOException.class, () -> file.write(new byte[SnapshotFile.MAX_BYTES + 1]));
        assertEquals(new Missing(), readAnew());
    }
}
