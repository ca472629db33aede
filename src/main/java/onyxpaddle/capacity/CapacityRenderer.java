package onyxpaddle.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import onyxpaddle.config.Faults;

/** Makes the page from files of figures. */
public final class CapacityRenderer {
    private CapacityRenderer() {
    }

    /**
     * The page of these files; null where one has faults, which are then among {@code faults}.
     *
     * @param machine the state that the machine was in, empty for unsaid
     */
    public static String page(List<Path> files, String machine, Faults faults) {
        List<MeasuredRun> runs = new ArrayList<>();
        for (Path file : files) {
            MeasuredRun run = MeasuredRunReader.file(file, faults);
            if (run != null) {
                runs.add(run);
            }
        }
        return faults.any() ? null : CapacityPage.text(new MeasuredRuns(runs), machine);
    }

    /** Writes a page, whole or not at all. */
    public static void write(Path to, String page) throws IOException {
        Path beside = to.resolveSibling(to.getFileName() + ".new");
        Files.writeString(beside, page);
        Files.move(beside, to, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }
}
