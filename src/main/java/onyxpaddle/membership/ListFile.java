package onyxpaddle.membership;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import onyxpaddle.node.Log;
import onyxpaddle.node.ServerList;

/**
 * A list of servers in a file that is watched for change. Guards against a list that is read while it is written: it
 * is taken only once the file has stood still from one look to the next, and only if it can be read whole; whatever is
 * wrong with it, the list taken last stays, and the reason is said once. It would do harm where a file changes at
 * every look, for ever: then no list of it is ever taken. Everything here but the list's taking is off the event loop,
 * by one thread.
 */
public final class ListFile {
    private final Path file;
    private final Function<Path, Optional<ServerList>> reader;
    private final Consumer<ServerList> onList;
    private String seen = "";
    private String taken = "";

    /** {@code reader}: the list in the file, or nothing, with the reason said, where it is at fault. */
    public ListFile(Path file, Function<Path, Optional<ServerList>> reader, Consumer<ServerList> onList) {
        this.file = file;
        this.reader = reader;
        this.onList = onList;
    }

    /** Looks once whether there is something new; to be called again and again. */
    public void look() {
        String state = state();
        boolean still = state.equals(seen);
        seen = state;
        if (!still || state.equals(taken)) {
            return;
        }
        taken = state;
        Optional<ServerList> roster = reader.apply(file);
        if (!state.equals(state())) {
            // It changed under the reader's eyes.
            taken = "";
            return;
        }
        roster.ifPresentOrElse(onList, () -> Log.line("list file " + file + ": the list taken before stays"));
    }

    /** Reads it now, whether or not it stands still: for a start, where there is no list before. */
    public void readNow() {
        seen = state();
        taken = seen;
        reader.apply(file).ifPresent(onList);
    }

    private String state() {
        try {
            BasicFileAttributes a = Files.readAttributes(file, BasicFileAttributes.class);
            return a.lastModifiedTime() + "/" + a.size() + "/" + a.fileKey();
        } catch (IOException e) {
            return "unreadable: " + e.getClass().getSimpleName();
        }
    }
}
