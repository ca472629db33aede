package onyxpaddle.drill;

import java.util.Map;

/**
 * One line of a history.
 *
 * @param n the count of lines, which grows by one: what was seen before has the lower one
 * @param ms since the drill's begin, by the clock of the process that plays it
 * @param type see {@link Type}
 * @param more about it, by name
 */
public record Event(long n, long ms, Type type, Map<String, String> more) {
    /** What can happen. */
    public enum Type {
        /** The first line: what the drill promises its processes, from which the checks take their bounds. */
        DRILL,
        /** A client has written a request's last byte to a connection that a node accepted: {@code id, class, effect, node, deadline}. */
        SENT,
        /** It has a whole answer: {@code id, status, by} (the box that the answer names). */
        ANSWERED,
        /** Its connection ended with no whole answer: {@code id}. */
        BROKEN,
        /** The client has waited long past the deadline, and leaves: {@code id}. */
        UNANSWERED,
        /** A connection was refused, or ended before the request was written: {@code id, node}; the request was never taken. */
        TURNED_AWAY,
        /** A request has come to a box whole: {@code id, box, node}. */
        CAME,
        /** A box runs it: {@code id, box}. */
        RAN,
        /** A box starts: {@code box, persecond} when warm, {@code cold} ms, {@code from} its part at first. */
        BOX_STARTED,
        /** A list has been written to a node: {@code node, box, state}. */
        TOLD,
        /** A node's process: {@code node}, and what became of it in {@code state}: ready, killed, stopped, continued. */
        NODE,
        /** A fault begins or ends: {@code fault, state}. */
        FAULT,
        /** The load has ended and all is healed; what comes after has to be sound. */
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
