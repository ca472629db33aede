package onyxpaddle.rpc;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The calls on one connection to a server, by the node's own msgids. Each id is given once in the connection's life, so
 * that a reply that comes late, twice or for nothing can never be taken for another call's. Calls that were given up
 * hold their place until their reply has come, as the server may still be at work on them. Time in nanoseconds.
 */
final class CallTable<C> {
    /** What a reply is, besides the answer to a call that waits. */
    enum Stray { LATE, UNKNOWN }

    private record Open<C>(C call, long since) {
    }

    private final int most;
    private final long lastId;
    /** In the order in which they were opened. */
    private final Map<Long, Open<C>> open = new LinkedHashMap<>();
    /** And since when, in the same order. */
    private final Map<Long, Long> givenUp = new LinkedHashMap<>();
    private long nextId;

    /** {@code most}: calls at once, given up or not; {@code lastId}: after which no id is left. */
    CallTable(int most, long lastId) {
        this.most = most;
        this.lastId = lastId;
    }

    /** Whether there is no place, or no id, for a further call. */
    boolean full() {
        return inFlight() >= most || spent();
    }

    /** Whether all ids have been given. */
    boolean spent() {
        return nextId > lastId;
    }

    /** Takes a call in; its id. */
    long open(C call, long now) {
        if (full()) {
            throw new IllegalStateException("no place for a further call");
        }
        open.put(nextId, new Open<>(call, now));
        return nextId++;
    }

    /** The call that waits for this reply; null where none does: see {@link #stray}. */
    C answered(long id) {
        Open<C> call = open.remove(id);
        return call == null ? null : call.call();
    }

    /** What a reply is that no call waits for. A late one frees its call's place. */
    Stray stray(long id) {
        return givenUp.remove(id) != null ? Stray.LATE : Stray.UNKNOWN;
    }

    /** The call is given up, and its reply may still come. */
    void giveUp(long id) {
        Open<C> call = open.remove(id);
        if (call != null) {
            givenUp.put(id, call.since());
        }
    }

    /** The call will never reach the server: no reply to it can come. */
    void withdraw(long id) {
        open.remove(id);
    }

    /** Calls that wait. */
    int waiting() {
        return open.size();
    }

    /** Calls that the server may be at work on. */
    int inFlight() {
        return open.size() + givenUp.size();
    }

    /** When the call was opened that has been without a reply for longest, given up or not; {@link Long#MAX_VALUE} for none. */
    long oldest() {
        long waits = open.isEmpty() ? Long.MAX_VALUE : open.values().iterator().next().since();
        return givenUp.isEmpty() ? waits : Math.min(waits, givenUp.values().iterator().next());
    }

    /** All that wait, in the order in which they were opened; the table is empty after. */
    List<C> end() {
        List<C> all = open.values().stream().map(Open::call).toList();
        open.clear();
        givenUp.clear();
        return all;
    }
}
