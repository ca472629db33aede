package onyxpaddle.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import onyxpaddle.config.Faults;

/** Renders the capacity page from result files. */
public final class CapacityRenderer {
    private CapacityRenderer() {
    }

    /**
     * Renders the page from these files; returns null if one of them is invalid, with the reasons added to {@code faults}.
     *
     * @param machine description of the machine and its load during the runs; empty if not given
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

    /** Replaces the file atomically. */
    public static void write(Path to, String page) throws IOException {
        Path temporary = to.resolveSibling(to.getFileName() + ".new");
        Files.writeString(temporary, page);
        Files.move(temporary, to, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }
}
