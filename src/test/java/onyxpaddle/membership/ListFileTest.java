package onyxpaddle.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import onyxpaddle.node.ServerList;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A list file is taken when it has stood still for two looks, once, and only if its reader finds it whole. */
class ListFileTest {
    @TempDir
    Path folder;
    private Path file;
    private ListFile watched;
    private final List<Long> taken = new ArrayList<>();
    private Runnable whileReading = () -> { };

    /** Its lists are versions in digits; all else is at fault. */
    private Optional<ServerList> read(Path path) {
        try {
            String text = Files.readString(path);
            whileReading.run();
            return text.matches("[0-9]+\n") ? Optional.of(new ServerList(Long.parseLong(text.trim()), true, List.of()))
                : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    @BeforeEach
    void watch() throws IOException {
        file = Files.writeString(folder.resolve("list"), "1\n");
        watched = new ListFile(file, this::read, roster -> taken.add(roster.seq()));
        watched.readNow();
    }

    @Test
    void aChangeIsTakenAtTheSecondLookAndNotAgain() throws IOException {
        Files.writeString(file, "22\n");
        watched.look();
        assertEquals(List.of(1L), taken);
        watched.look();
        watched.look();
        assertEquals(List.of(1L, 22L), taken);
    }

    @Test
    void aFileThatGrowsFromLookToLookIsLeftUntilItIsDone() throws IOException {
        String text = "";
        for (int i = 0; i < 5; i++) {
            text += "3";
            Files.writeString(file, text);
            watched.look();
        }
        Files.writeString(file, text + "\n");
        watched.look();
        assertEquals(List.of(1L), taken);
        watched.look();
        assertEquals(List.of(1L, 33333L), taken);
    }

    @Test
    void whatIsAtFaultOrGoneLeavesTheListAndABetterOneIsTaken() throws IOException {
        Files.writeString(file, "half");
        watched.look();
        watched.look();
        Files.delete(file);
        watched.look();
        watched.look();
        assertEquals(List.of(1L), taken);
        Files.writeString(file, "4444\n");
        watched.look();
        watched.look();
        assertEquals(List.of(1L, 4444L), taken);
    }

    @Test
    void aFileThatChangesWhileItIsReadIsReadAgain() throws IOException {
        Files.writeString(file, "half");
        watched.look();
        whileReading = () -> {
            try {
                Files.writeString(file, "55555\n");
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
            whileReading = () -> { };
        };
        watched.look();
        assertEquals(List.of(1L), taken);
        watched.look();
        watched.look();
        assertEquals(List.of(1L, 55555L), taken);
    }
}
