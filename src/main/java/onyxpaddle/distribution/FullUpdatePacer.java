package onyxpaddle.distribution;

import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Spreads whole answers over time, so that a fleet that needs them all at once does not fill the machine's link: a bucket of
 * bytes that refills at a stated rate. Who is turned away is told when its turn comes and has it reserved until then and for
 * {@link #GRACE_NANOS} longer, so that callers are served in the order in which they first came and no one tries for nothing.
 *
 * <p>Over any time t at most rate × (t + burst + grace) bytes and one answer are admitted, as turns that were not used in time
 * are used together at worst. Not for several threads.
 */
public final class FullUpdatePacer {
    /** How late a caller may come to its turn: Retry-After has whole seconds, and callers draw up to one more on top of it. */
    public static final long GRACE_NANOS = 3_000_000_000L;
    /** The bucket's depth, as time at the rate. */
    public static final long BURST_NANOS = 250_000_000L;
    /** The most reserved turns. Who comes beyond is told a time without a turn. */
    public static final int MOST_RESERVED = 8_192;

    private static final double NANOS = 1e9;

    /** Whether an answer goes now. */
    public sealed interface Decision permits Admitted, Deferred {
    }

    /** It goes now. */
    public record Admitted() implements Decision {
    }

    /** It is to be asked for again after this time. */
    public record Deferred(long waitNanos) implements Decision {
    }

    private record Turn(String caller, long at) {
    }

    private final double bytesPerSecond;
    private final Map<String, Turn> turns = new HashMap<>();
    private final PriorityQueue<Turn> byTime = new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
    /** When all that was admitted or reserved has passed, at the rate. */
    private long busyUntil;
    private boolean begun;

    /** @param bytesPerSecond above 0 */
    public FullUpdatePacer(long bytesPerSecond) {
        if (bytesPerSecond <= 0) {
            throw new IllegalArgumentException("a rate of " + bytesPerSecond + " bytes/s");
        }
        this.bytesPerSecond = bytesPerSecond;
    }

    /**
     * Whether a whole answer may go.
     *
     * @param caller who asks: has one turn at a time
     * @param now in nanoseconds, of a clock that does not go back
     */
    public Decision request(String caller, long bytes, long now) {
        forgetMissed(now);
        if (!begun) {
            begun = true;
            busyUntil = now;
        }
        Turn turn = turns.get(caller);
        if (turn != null) {
            if (turn.at() > now) {
                return new Deferred(turn.at() - now);
            }
            remove(turn);
            return new Admitted();
        }
        long from = Math.max(busyUntil, now);
        long until = from + (long) Math.ceil(bytes / bytesPerSecond * NANOS);
        if (from - now <= BURST_NANOS) {
            busyUntil = until;
            return new Admitted();
        }
        if (turns.size() < MOST_RESERVED) {
            busyUntil = until;
            Turn reserved = new Turn(caller, from - BURST_NANOS);
            turns.put(caller, reserved);
            byTime.add(reserved);
        }
        return new Deferred(from - BURST_NANOS - now);
    }

    /** How many turns are reserved. */
    public int reserved() {
        return turns.size();
    }

    private void forgetMissed(long now) {
        for (Turn next = byTime.peek(); next != null && next.at() + GRACE_NANOS < now; next = byTime.peek()) {
            remove(next);
        }
    }

    private void remove(Turn turn) {
        turns.remove(turn.caller());
        byTime.remove(turn);
    }
}
