package onyxpaddle.rpc;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The calls in flight on one connection to a server, keyed by the msgids that this node assigns. A msgid is never
 * reused within a connection, so a late, duplicate or unsolicited reply can never be matched to another call. A call
 * that was given up keeps its slot until its reply arrives, because the server may still be executing it. Times are
 * in nanoseconds.
 */
final class CallTable<C> {
    /** Kinds of replies that match no waiting call. */
    enum UnmatchedReply { LATE, UNKNOWN }

    private record Pending<C>(C call, long openedAt) {
    }

    private final int maxInFlight;
    private final long lastId;
    /** In the order of opening. */
    private final Map<Long, Pending<C>> waiting = new LinkedHashMap<>();
    /** Opening times of calls that were given up, in the order in which they were given up. */
    private final Map<Long, Long> givenUp = new LinkedHashMap<>();
    private long nextId;

    /**
     * @param maxInFlight the limit of calls in flight, including those given up
     * @param lastId the last msgid that may be assigned
     */
    CallTable(int maxInFlight, long lastId) {
        this.maxInFlight = maxInFlight;
        this.lastId = lastId;
    }

    /** Whether no slot or no msgid is left for another call. */
    boolean isFull() {
        return inFlight() >= maxInFlight || idsExhausted();
    }

    boolean idsExhausted() {
        return nextId > lastId;
    }

    /** Adds a call and returns its msgid. */
    long open(C call, long now) {
        if (isFull()) {
            throw new IllegalStateException("call table is full");
        }
        waiting.put(nextId, new Pending<>(call, now));
        return nextId++;
    }

    /** Removes and returns the call that waits for this reply; null if there is none, see {@link #classifyUnmatched}. */
    C complete(long id) {
        Pending<C> call = waiting.remove(id);
        return call == null ? null : call.call();
    }

    /** Classifies a reply that no call waits for. A late reply frees the slot of its call. */
    UnmatchedReply classifyUnmatched(long id) {
        return givenUp.remove(id) != null ? UnmatchedReply.LATE : UnmatchedReply.UNKNOWN;
    }

    /** Stops waiting for the reply of a call; the call keeps its slot, as the reply may still arrive. */
    void giveUp(long id) {
        Pending<C> call = waiting.remove(id);
        if (call != null) {
            givenUp.put(id, call.openedAt());
        }
    }

    /** Removes a call that will never reach the server, so that no reply can arrive. */
    void discard(long id) {
        waiting.remove(id);
    }

    /** The number of calls that wait for a reply. */
    int waiting() {
        return waiting.size();
    }

    /** The number of calls that the server may be executing, including those given up. */
    int inFlight() {
        return waiting.size() + givenUp.size();
    }

    /**
     * The opening time of the oldest waiting call or of the call that was given up first, whichever is earlier;
     * {@link Long#MAX_VALUE} if there is neither.
     */
    long oldestOpenedAt() {
        long oldestWaiting = waiting.isEmpty() ? Long.MAX_VALUE : waiting.values().iterator().next().openedAt();
        return givenUp.isEmpty() ? oldestWaiting : Math.min(oldestWaiting, givenUp.values().iterator().next());
    }

    /** Empties the table and returns the waiting calls in the order of opening. */
    List<C> removeAll() {
        List<C> all = waiting.values().stream().map(Pending::call).toList();
        waiting.clear();
        givenUp.clear();
        return all;
    }
}
