package onyxpaddle.http;

import java.util.ArrayList;
import java.util.List;

/** Describes servers that drain or are gone by a list, with the time since the last attempt at each: some by name, the rest by number. */
final class DepartureLog {
    private static final int MAX_NAMES = 6;

    private record Departure(String server, long lastAttemptAt) {
    }

    private final List<Departure> named = new ArrayList<>(MAX_NAMES);
    private int unnamed;

    /** A server leaves; {@code lastAttemptAt}: when the last attempt at it began, 0 for none. */
    void leaving(String server, long lastAttemptAt) {
        if (named.size() < MAX_NAMES) {
            named.add(new Departure(server, lastAttemptAt));
        } else {
            unnamed++;
        }
    }

    /** A log line on the servers that have left since the last call; empty if there are none. */
    String nextLine(long version, long now) {
        if (named.isEmpty()) {
            return "";
        }
        StringBuilder line = new StringBuilder("servers leave by version ").append(version).append(", last attempt ms ago:");
        for (Departure departure : named) {
            line.append(' ').append(departure.server).append('=')
                .append(departure.lastAttemptAt == 0 ? "none" : Long.toString((now - departure.lastAttemptAt) / 1_000_000));
        }
        if (unnamed > 0) {
            line.append(" and ").append(unnamed).append(" more");
        }
        named.clear();
        unnamed = 0;
        return line.toString();
    }
}
