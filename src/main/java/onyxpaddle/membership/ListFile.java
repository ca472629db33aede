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
 * A file with a list of servers that is polled for changes. Guards against reading a file while it is being written: a list is applied
 * only after the file was unchanged between two polls, and only if it is valid. Otherwise the previous list stays in use, and the
 * reason is logged once per change of the file. Drawback: a file that changes between all polls is never applied. Runs on a single
 * thread other than the event loop.
 */
public final class ListFile {
    private final Path file;
    private final Function<Path, Optional<ServerList>> reader;
    private final Consumer<ServerList> onList;
    private String lastState = "";
    private String appliedState = "";

    /** {@code reader}: returns the list in the file, or nothing if it is invalid, which the reader logs. */
    public ListFile(Path file, Function<Path, Optional<ServerList>> reader, Consumer<ServerList> onList) {
        this.file = file;
        this.reader = reader;
        this.onList = onList;
    }

    /** Checks the file once for a change; to be called periodically. */
    public void poll() {
        String state = state();
        boolean unchanged = state.equals(lastState);
        lastState = state;
        if (!unchanged || state.equals(appliedState)) {
            return;
        }
        appliedState = state;
        Optional<ServerList> roster = reader.apply(file);
        if (!state.equals(state())) {
            // The file changed while it was read.
            appliedState = "";
            return;
        }
        roster.ifPresentOrElse(onList, () -> Log.line("list file " + file + ": the previous list stays in use"));
    }

    /** Reads the file immediately, even if it may be changing; for the start, when there is no previous list. */
    public void readNow() {
        lastState = state();
        appliedState = lastState;
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
