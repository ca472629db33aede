package onyxpaddle.drill;

import java.util.Map;

/**
 * An event, which is one line of a history.
 *
 * @param n the line number; events are numbered in the order in which they were observed
 * @param ms milliseconds since the start of the drill, by the clock of the process that runs it
 * @param type see {@link Type}
 * @param more attributes by name
 */
public record Event(long n, long ms, Type type, Map<String, String> more) {
    public enum Type {
        /** The first line: the settings of the drill from which the checks derive their bounds. */
        DRILL,
        /** A client has written a whole request to a connection that a node accepted: {@code id, class, effect, node, deadline}. */
        SENT,
        /** The client has received a complete answer: {@code id, status, by} (the box that the answer names). */
        ANSWERED,
        /** The connection ended without a complete answer: {@code id}. */
        BROKEN,
        /** The client gave up long after the deadline: {@code id}. */
        UNANSWERED,
        /** A connection was refused, or ended before the request was written: {@code id, node}; the node never accepted the request. */
        TURNED_AWAY,
        /** A box has received a complete request: {@code id, box, node}. */
        CAME,
        /** A box executes a request: {@code id, box}. */
        RAN,
        /** A box starts: {@code box, persecond} (capacity when warm), {@code cold} (ms), {@code from} (initial fraction of capacity). */
        BOX_STARTED,
        /** A list sent to a node reports a box: {@code node, box, state}. */
        TOLD,
        /** The process of {@code node} changes to {@code state}: ready, killed, stopped or continued. */
        NODE,
        /** A fault begins or ends: {@code fault, state}. */
        FAULT,
        /** The load and all faults have ended; every node has to be ready from here on. */
        HEALED,
        /** The last line. */
        END
    }

    public Event {
        more = Map.copyOf(more);
    }

    String get(String name) {
        return more.getOrDefault(name, "");
    }

    long number(String name) {
        String text = get(name);
        return text.isEmpty() ? 0 : (long) Double.parseDouble(text);
    }

    @Override
    public String toString() {
        return n + " " + ms + " ms " + type.name().toLowerCase(java.util.Locale.ROOT) + " " + new java.util.TreeMap<>(more);
    }
}
