package onyxpaddle.distribution;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

/**
 * Which replica a client of the control processes calls next, after what delay, and whether that call may wait for news. It does no
 * I/O and reads no clock: times are nanoseconds of the caller's monotonic clock, randomness is handed in. Not safe for several threads.
 *
 * <p>A client stays with the replica that answered last. After a failure it goes to the next one of an order that is drawn from its own
 * name, so that a fleet spreads over the replicas, and over the survivors when one dies. Delays double from failure to failure and are
 * drawn from the whole of their span ("full jitter"), since clients often fail in one moment.
 *
 * <p>While a usable replica is held, at most one call at a time goes to another one as a <em>probe</em>: where what is held is stale, to
 * look for a fresher one, and where it is not the preferred one, to go back there after a while. A probe that brings nothing better
 * leaves the client where it is.
 */
public final class ReplicaSelector {
    /** How long a call may wait for news at the replica. */
    public static final int WAIT_MS = 2000;
    /** How long after its wait an answer may begin; a call that has heard nothing until then counts as silent. */
    public static final int LATE_MS = 800;
    /** The span of the first delay after a failure: the clients of a replica that died come to the others within this time. */
    private static final long FIRST_SPAN = millis(250);
    /**
     * The longest span. With it a fleet whose replicas are all down calls as often as a calm one, which is once in {@link #WAIT_MS} a
     * client, and has all its answers within this time once they are back.
     */
    private static final long LONGEST_SPAN = 2 * millis(WAIT_MS);
    private static final int MOST_DOUBLINGS = 4;
    /** The longest time that a replica's Retry-After is believed; beyond it is a mistake or a lie, and the client calls again. */
    private static final long LONGEST_RETRY_AFTER = TimeUnit.SECONDS.toNanos(10);
    /** Drawn on top of a Retry-After, which is in whole seconds and so the same for many. */
    private static final long RETRY_AFTER_SPREAD = TimeUnit.SECONDS.toNanos(1);
    /** How long a replica that was behind, or failed a probe, is left out where there are others. */
    private static final long LEFT_OUT = millis(WAIT_MS);
    /** Beyond this a replica may be cut off: followers hear from the publisher every {@link #WAIT_MS}, over one replica in between. */
    private static final long STALE_MS = 5000;
    /** The least time from one probe for a fresher replica to the next, which doubles as long as they find none. */
    private static final long FIRST_HUNT_PAUSE = TimeUnit.SECONDS.toNanos(2);
    private static final long LONGEST_HUNT_PAUSE = TimeUnit.SECONDS.toNanos(8);
    /** A client that had to leave its preferred replica looks for it again after this time and a drawn part of the same. */
    private static final long RETURN_AFTER = TimeUnit.SECONDS.toNanos(60);

    /**
     * A call to make.
     *
     * @param replica its index in the list of replicas
     * @param delay nanoseconds from now until it is made
     * @param waitMs how long the replica may wait for news before it answers; 0 for an answer at once
     * @param probe it only asks whether that replica is a better one; the connection to the one held is to be kept
     */
    public record Call(int replica, long delay, int waitMs, boolean probe) {
        /** How long after the request was written the first byte of its answer may come, in milliseconds. */
        public int patienceMs() {
            return waitMs + LATE_MS;
        }
    }

    /** How a call ended. */
    public sealed interface Outcome {
    }

    /**
     * An answer that counts.
     *
     * @param staleMs how long ago the replica heard from the publisher, at the most; negative: never
     * @param more further pages follow, to be asked for at the same replica at once
     */
    public record Answered(long staleMs, boolean more) implements Outcome {
    }

    /** An answer that is older than what the client holds. */
    public record Behind() implements Outcome {
    }

    /** The replica turned the call away; {@code retryAfterSeconds}: as it said, 0 or less where it said nothing of use. */
    public record Busy(long retryAfterSeconds) implements Outcome {
    }

    /** Refused, reset, silent, stalled, broken off, or an answer that can't be read. */
    public record Failed() implements Outcome {
    }

    private final RandomGenerator random;
    /** The replicas' indices as this client prefers them. */
    private final int[] order;
    /** By replica, the time before which it is not to be called where another one may be; meaningless while {@link #leftOut} is false. */
    private final long[] notBefore;
    private final boolean[] leftOut;
    /** Positions in {@link #order}: the replica held, and the one that was called last. */
    private int held;
    private int called;
    private boolean probing;
    private int failures;
    private long heldStaleMs;
    private long nextHunt = Long.MIN_VALUE;
    private long huntPause = FIRST_HUNT_PAUSE;
    private int lastHunted;
    /** When to look for the preferred replica again; meaningless while the preferred one is held. */
    private long returnAt;

    /**
     * {@code client}: a name that differs from client to client; {@code replicas}: their addresses, at least one, each once. The order of
     * that list does not matter to which one is preferred.
     */
    public ReplicaSelector(String client, List<String> replicas, RandomGenerator random) {
        if (replicas.isEmpty()) {
            throw new IllegalArgumentException("no replica is named");
        }
        this.random = random;
        order = IntStream.range(0, replicas.size()).boxed()
            .sorted(Comparator.<Integer>comparingLong(i -> weight(client, replicas.get(i))).thenComparing(replicas::get))
            .mapToInt(Integer::intValue).toArray();
        notBefore = new long[order.length];
        leftOut = new boolean[order.length];
    }

    /** The first call after a start. It does not wait: until it is answered the client does not know whether what it holds is old. */
    public Call firstCall() {
        return call(0, 0, 0, false);
    }

    /** The call that follows one that ended in this way at this time. */
    public Call nextCall(long now, Outcome outcome) {
        if (outcome instanceof Answered answered) {
            return answered(now, answered);
        }
        leaveOut(now, outcome);
        if (probing) {
            return call(held, 0, WAIT_MS, false);
        }
        failures++;
        return anotherOne(now);
    }

    /** Failed calls in a row since the last answer that counted. */
    public int failures() {
        return failures;
    }

    // ---- answers ----

    private Call answered(long now, Answered answer) {
        failures = 0;
        leftOut[order[called]] = false;
        if (answer.more()) {
            return call(called, 0, 0, probing);
        }
        long staleMs = answer.staleMs() < 0 ? Long.MAX_VALUE : answer.staleMs();
        if (!probing || better(staleMs)) {
            hold(now, called);
            heldStaleMs = staleMs;
        }
        if (heldStaleMs <= STALE_MS) {
            huntPause = FIRST_HUNT_PAUSE;
        }
        int probe = probing ? -1 : probe(now);
        return probe >= 0 ? call(probe, 0, 0, true) : call(held, 0, WAIT_MS, false);
    }

    /** Whether a probe's answer makes its replica the one to hold. */
    private boolean better(long staleMs) {
        boolean fresh = staleMs <= STALE_MS;
        boolean preferred = called == 0;
        return fresh && (preferred || heldStaleMs > STALE_MS) || staleMs < heldStaleMs / 2;
    }

    private void hold(long now, int position) {
        if (position != held) {
            returnAt = now + drawnReturn();
        }
        held = position;
    }

    private long drawnReturn() {
        return RETURN_AFTER + random.nextLong(RETURN_AFTER);
    }

    // ---- probes ----

    /** The position to probe now; -1 for none. */
    private int probe(long now) {
        if (heldStaleMs > STALE_MS && (nextHunt == Long.MIN_VALUE || now - nextHunt >= 0)) {
            int target = following(now, lastHunted);
            if (target >= 0) {
                nextHunt = now + huntPause;
                huntPause = Math.min(LONGEST_HUNT_PAUSE, 2 * huntPause);
                lastHunted = target;
            }
            return target;
        }
        if (held != 0 && now - returnAt >= 0) {
            returnAt = now + drawnReturn();
            return usable(now, 0) ? 0 : -1;
        }
        return -1;
    }

    /** The next position after this one that may be called now and is not the one held; -1 for none. */
    private int following(long now, int position) {
        for (int step = 1; step <= order.length; step++) {
            int candidate = (position + step) % order.length;
            if (candidate != held && usable(now, candidate)) {
                return candidate;
            }
        }
        return -1;
    }

    private boolean usable(long now, int position) {
        int replica = order[position];
        return !leftOut[replica] || now - notBefore[replica] >= 0;
    }

    // ---- failures ----

    private void leaveOut(long now, Outcome outcome) {
        int replica = order[called];
        long retryAfter = outcome instanceof Busy busy ? believed(busy.retryAfterSeconds()) : 0;
        long out = retryAfter > 0 ? retryAfter : outcome instanceof Behind || probing ? LEFT_OUT : 0;
        leftOut[replica] = out > 0;
        notBefore[replica] = now + out;
    }

    /** Nanoseconds of a Retry-After, within bounds; 0 where it says nothing of use. */
    private static long believed(long seconds) {
        return seconds <= 0 ? 0 : Math.min(LONGEST_RETRY_AFTER, TimeUnit.SECONDS.toNanos(seconds));
    }

    /** A call to the replica after the one that failed; where all are left out, to the one that may be called first. */
    private Call anotherOne(long now) {
        long span = Math.min(LONGEST_SPAN, FIRST_SPAN << Math.min(MOST_DOUBLINGS, failures - 1));
        long delay = random.nextLong(span + 1);
        for (int step = 1; step <= order.length; step++) {
            int candidate = (called + step) % order.length;
            if (usable(now, candidate)) {
                return call(candidate, delay, 0, false);
            }
        }
        int earliest = 0;
        for (int candidate = 1; candidate < order.length; candidate++) {
            earliest = notBefore[order[candidate]] - notBefore[order[earliest]] < 0 ? candidate : earliest;
        }
        long left = notBefore[order[earliest]] - now + random.nextLong(RETRY_AFTER_SPREAD);
        return call(earliest, Math.max(delay, left), 0, false);
    }

    private Call call(int position, long delay, int waitMs, boolean probe) {
        called = position;
        probing = probe;
        return new Call(order[position], delay, waitMs, probe);
    }

    // ---- order ----

    /** Highest-random-weight (rendezvous) hashing: each client has an order of its own, whatever the order of the list. */
    private static long weight(String client, String replica) {
        return mixed(hash(client) + mixed(hash(replica)));
    }

    /** FNV-1a over the characters. */
    private static long hash(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }

    /** The finalizer of SplitMix64, by which texts that differ little get weights that differ. */
    private static long mixed(long value) {
        long z = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
