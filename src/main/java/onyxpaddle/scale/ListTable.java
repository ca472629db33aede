package onyxpaddle.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One service's list with its versions. A difference is computed from the version in which each line last changed, so no log is kept
 * and any older version can be answered. Does no I/O; used by one thread.
 */
final class ListTable {
    /** What an answer carries. */
    record Answer(long version, boolean whole, List<ListedServer> lines) {
    }

    private record Line(ListedServer server, long changedAt) {
    }

    private final Map<String, Line> lines = new LinkedHashMap<>();
    private long version = 1;

    long version() {
        return version;
    }

    /** Takes the lines, all in one new version, and returns it. */
    long put(List<ListedServer> changed) {
        version++;
        for (ListedServer server : changed) {
            lines.put(server.host(), new Line(server, version));
        }
        return version;
    }

    /** Whether there is something newer than that version. */
    boolean hasNewsFor(long after) {
        return version != after;
    }

    /** All servers but those that have gone. */
    Answer whole() {
        return new Answer(version, true, lines.values().stream().map(Line::server)
            .filter(server -> server.health() != ListedServer.Health.GONE).toList());
    }

    /** The lines that changed after that version; the whole list where the version is none of this table's. */
    Answer since(long after) {
        if (after < 1 || after > version) {
            return whole();
        }
        List<ListedServer> changed = new ArrayList<>();
        for (Line line : lines.values()) {
            if (line.changedAt() > after) {
                changed.add(line.server());
            }
        }
        return new Answer(version, false, changed);
    }
}
