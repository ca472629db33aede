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

    private ReadResult readWithNewInstance() {
        return new SnapshotFile(state, "table").read();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static void assertIntact(String text, ReadResult found) {
        assertArrayEquals(bytes(text), assertInstanceOf(Intact.class, found).bytes());
    }

    @Test
    void newestStateIsRead() throws IOException {
        assertInstanceOf(Missing.class, readWithNewInstance());
        for (int i = 0; i < 5; i++) {
            file.write(bytes("state " + i));
            assertIntact("state " + i, readWithNewInstance());
        }
        SnapshotFile next = new SnapshotFile(state, "table");
        next.read();
        next.write(bytes("state 5"));
        assertIntact("state 5", readWithNewInstance());
    }

    @Test
    void truncatedOrCorruptNewestFileFallsBackToTheOther() throws IOException {
        file.write(bytes("first"));
        file.write(bytes("second"));
        Path newest = state.resolve("table.1");
        byte[] intact = Files.readAllBytes(newest);
        for (int length = 0; length < intact.length; length++) {
            Files.write(newest, Arrays.copyOf(intact, length));
            Fallback found = assertInstanceOf(Fallback.class, readWithNewInstance(), "cut to " + length);
            assertArrayEquals(bytes("first"), found.bytes());
            assertTrue(found.damage().contains("table.1"), found.damage());
        }
        for (int at = 0; at < intact.length; at++) {
            byte[] changed = intact.clone();
            changed[at] ^= 0x10;
            Files.write(newest, changed);
            assertArrayEquals(bytes("first"), assertInstanceOf(Fallback.class, readWithNewInstance(), "byte " + at).bytes());
        }
        Files.delete(newest);
        assertInstanceOf(Fallback.class, readWithNewInstance());
    }

    @Test
    void eitherFileAloneHoldsTheFirstState() throws IOException {
        file.write(bytes("only"));
        Files.delete(state.resolve("table.0"));
        assertIntact("only", readWithNewInstance());
    }

    @Test
    void writeAfterAFallbackIsTheNewest() throws IOException {
        file.write(bytes("first"));
        file.write(bytes("second"));
        Files.write(state.resolve("table.1"), bytes("noise"));
        SnapshotFile next = new SnapshotFile(state, "table");
        next.read();
        next.write(bytes("third"));
        assertIntact("third", readWithNewInstance());
        next.write(bytes("fourth"));
        assertIntact("fourth", readWithNewInstance());
    }

    @Test
    void damageOfBothFilesIsReported() throws IOException {
        file.write(bytes("first"));
        file.write(bytes("second"));
        Files.write(state.resolve("table.0"), bytes("noise"));
        Files.write(state.resolve("table.1"), bytes("noise"));
        Corrupt corrupt = assertInstanceOf(Corrupt.class, readWithNewInstance());
        assertTrue(corrupt.damage().contains("table.0") && corrupt.damage().contains("table.1"), corrupt.damage());
    }

    @Test
    void fullDiskKeepsThePreviousStateAndALaterWriteSucceeds() throws IOException {
        Path full = Path.of("/dev/full");
        assumeTrue(Files.exists(full), "no /dev/full on this system");
        file.write(bytes("first"));
        Files.createSymbolicLink(state.resolve("table.tmp"), full);
        assertThrows(IOException.class, () -> file.write(bytes("second")));
        assertIntact("first", readWithNewInstance());
        file.write(bytes("third"));
        assertIntact("third", readWithNewInstance());
    }

    @Test
    void leftoverTemporaryFileIsIgnored() throws IOException {
        file.write(bytes("first"));
        Files.write(state.resolve("table.tmp"), bytes("noise"));
        assertIntact("first", readWithNewInstance());
        file.write(bytes("second"));
        assertIntact("second", readWithNewInstance());
    }

    @Test
    void tooLargeStateIsRejected() {
        assertThrows(IOException.class, () -> file.write(new byte[SnapshotFile.MAX_BYTES + 1]));
        assertEquals(new Missing(), readWithNewInstance());
    }
}
