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

/** A list file is applied once, after it was unchanged between two polls, and only if it is valid. */
class ListFileTest {
    @TempDir
    Path folder;
    private Path file;
    private ListFile listFile;
    private final List<Long> applied = new ArrayList<>();
    private Runnable whileReading = () -> { };

    /** A valid list is a version number in digits. */
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
    void readFirstList() throws IOException {
        file = Files.writeString(folder.resolve("list"), "1\n");
        listFile = new ListFile(file, this::read, roster -> applied.add(roster.seq()));
        listFile.readNow();
    }

    @Test
    void changeIsAppliedOnceAtTheSecondPoll() throws IOException {
        Files.writeString(file, "22\n");
        listFile.poll();
        assertEquals(List.of(1L), applied);
        listFile.poll();
        listFile.poll();
        assertEquals(List.of(1L, 22L), applied);
    }

    @Test
    void fileThatGrowsBetweenPollsIsNotAppliedUntilItIsComplete() throws IOException {
        String text = "";
        for (int i = 0; i < 5; i++) {
            text += "3";
            Files.writeString(file, text);
            listFile.poll();
        }
        Files.writeString(file, text + "\n");
        listFile.poll();
        assertEquals(List.of(1L), applied);
        listFile.poll();
        assertEquals(List.of(1L, 33333L), applied);
    }

    @Test
    void invalidOrDeletedFileKeepsTheListAndALaterValidOneIsApplied() throws IOException {
        Files.writeString(file, "half");
        listFile.poll();
        listFile.poll();
        Files.delete(file);
        listFile.poll();
        listFile.poll();
        assertEquals(List.of(1L), applied);
        Files.writeString(file, "4444\n");
        listFile.poll();
        listFile.poll();
        assertEquals(List.of(1L, 4444L), applied);
    }

    @Test
    void fileThatChangesWhileItIsReadIsReadAgain() throws IOException {
        Files.writeString(file, "half");
        listFile.poll();
        whileReading = () -> {
            try {
                Files.writeString(file, "55555\n");
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
            whileReading = () -> { };
        };
        listFile.poll();
        assertEquals(List.of(1L), applied);
        listFile.poll();
        listFile.poll();
        assertEquals(List.of(1L, 55555L), applied);
    }
}
