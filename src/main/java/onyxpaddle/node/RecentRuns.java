package onyxpaddle.node;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The ids of requests that must run once at most and that may have run lately. A client whose connection ended before it had its answer
 * may come again with the same id. The oldest ids are forgotten first.
 */
final class RecentRuns {
    /** How long an id is kept, in nanoseconds: longer than clients try again. */
    private static final long RETENTION = 60_000_000_000L;
    private static final int MAX_IDS = 8_192;

    /** When each ended, in that order. */
    private final Map<String, Long> endedAt = new LinkedHashMap<>();

    /** Records that a request may have run. */
    void add(String id, long now) {
        endedAt.remove(id);
        endedAt.put(id, now);
        Iterator<Long> oldest = endedAt.values().iterator();
        while (now - oldest.next() > RETENTION || endedAt.size() > MAX_IDS) {
            oldest.remove();
        }
    }

    /** It is known now that no request with this id has run. */
    void remove(String id) {
        endedAt.remove(id);
    }

    /** All ids that may have run lately, the oldest first. */
    Set<String> ids() {
        return endedAt.keySet();
    }

    /** Whether a request with this id may have run lately. */
    boolean contains(String id, long now) {
        Long ended = endedAt.get(id);
        return ended != null && now - ended <= RETENTION;
    }
}
