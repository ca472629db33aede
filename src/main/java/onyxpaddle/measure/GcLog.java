package onyxpaddle.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** How much a process has allocated, by its log of garbage collections: what was used before each, less what was left by the last. */
final class GcLog {
    private static final Pattern PAUSE = Pattern.compile("Pause [^\\n]* (\\d+)M->(\\d+)M\\(");
    private static final double MIB = 1024 * 1024;

    private GcLog() {
    }

    /** In bytes, up to the last collection; to within a MiB for each collection. */
    static double allocated(Path log) throws IOException {
        Matcher pause = PAUSE.matcher(Files.readString(log));
        double sum = 0;
        double left = 0;
        while (pause.find()) {
            sum += Double.parseDouble(pause.group(1)) - left;
            left = Double.parseDouble(pause.group(2));
        }
        return sum * MIB;
    }
}
