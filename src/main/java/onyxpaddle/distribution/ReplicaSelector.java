package onyxpaddle.distribution;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

/**
 * Chooses which replica a client of the control processes calls next, after which delay, and whether that call may wait for
 * changes. Does no I/O and reads no clock: times are nanoseconds of the caller's monotonic clock, and randomness is passed in.
 * Not thread-safe.
 *
 * <p>A client stays with the replica that answered last. After a failure it fails over to the next one in an order derived from
 * its own name, so that a fleet spreads over the replicas, and over the remaining ones when one dies. Delays use exponential
 * backoff with full jitter, since many clients often fail at the same moment.
 *
 * <p>While the current replica is usable, at most one call at a time goes to another one as a <em>probe</em>: to find a fresher
 * replica if the current one is stale, and to return to the preferred replica after a while. A probe that finds nothing better
 * leaves the client where it is.
 */
public final class ReplicaSelector {
    /** How long a call may wait for changes at the replica. */
    public static final int WAIT_MS = 2000;
    /** How long after the wait an answer may begin; a call without any answer until then has failed. */
    public static final int ANSWER_GRACE_MS = 800;
    /** Upper bound of the first delay after a failure: the clients of a replica that died reach the others within this time. */
    private static final long INITIAL_BACKOFF = millis(250);
    /**
     * Upper bound of any backoff delay. With it, a fleet whose replicas are all down calls on average as often as in normal
     * operation, once per {@link #WAIT_MS} and client, and every client calls within this time once the replicas are back.
     */
    private static final long MAX_BACKOFF = 2 * millis(WAIT_MS);
    private static final int MAX_DOUBLINGS = 4;
    /** A longer Retry-After is taken for an error of the replica and reduced to this. */
    private static final long MAX_RETRY_AFTER = TimeUnit.SECONDS.toNanos(10);
    /** Upper bound of the random delay added to a Retry-After, which is in whole seconds and so the same for many clients. */
    private static final long RETRY_AFTER_JITTER = TimeUnit.SECONDS.toNanos(1);
    /** How long a replica that was behind, or failed a probe, is not called if there are others. */
    private static final long EXCLUSION = millis(WAIT_MS);
    /**
     * A replica that has not heard from the publisher for longer may be partitioned from it: replicas hear from the publisher
     * every {@link #WAIT_MS}, with at most one replica in between.
     */
    private static final long STALE_AFTER_MS = 5000;
    /** Minimum interval between probes for a fresher replica; it doubles while they find none. */
    private static final long MIN_PROBE_INTERVAL = TimeUnit.SECONDS.toNanos(2);
    private static final long MAX_PROBE_INTERVAL = TimeUnit.SECONDS.toNanos(8);
    /**
     * How long a client that failed over waits before it probes its preferred replica again, plus a random time of up to the
     * same.
     */
    private static final long FAILBACK_DELAY = TimeUnit.SECONDS.toNanos(60);

    /**
     * A call to make.
     *
     * @param replica index in the list of replicas
     * @param delay nanoseconds from now until the call is made
     * @param waitMs how long the replica may wait for changes before it answers; 0 for an immediate answer
     * @param probe the call only tests whether that replica is a better one; the connection to the current one is kept
     */
    public record Call(int replica, long delay, int waitMs, boolean probe) {
        /** Time from the written request to the first byte of the answer, in milliseconds. */
        public int responseTimeoutMs() {
            return waitMs + ANSWER_GRACE_MS;
        }
    }

    /** The result of a call. */
    public sealed interface Outcome {
    }

    /**
     * A usable answer.
     *
     * @param staleMs upper bound of the time since the replica last heard from the publisher; negative for never
     * @param more further pages follow, to be requested from the same replica immediately
     */
    public record Answered(long staleMs, boolean more) implements Outcome {
    }

    /** An answer that is older than the client's version. */
    public record Behind() implements Outcome {
    }

    /**
     * The replica refused the call because of load; {@code retryAfterSeconds}: its Retry-After, 0 or less if it gave no usable
     * one.
     */
    public record Busy(long retryAfterSeconds) implements Outcome {
    }

    /** The connection was refused, reset or closed, the answer timed out or stalled, or it was malformed. */
    public record Failed() implements Outcome {
    }

    private final RandomGenerator random;
    /** Indices of the replicas in this client's order of preference. */
    private final int[] order;
    /** By replica, the time until which others are called instead; undefined while {@link #excluded} is false. */
    private final long[] excludedUntil;
    private final boolean[] excluded;
    /** Positions in {@link #order}: the current replica, and the one called last. */
    private int current;
    private int lastCalled;
    private boolean probing;
    private int failures;
    private long currentStaleMs;
    private long nextFreshnessProbe = Long.MIN_VALUE;
    private long freshnessProbeInterval = MIN_PROBE_INTERVAL;
    private int lastFreshnessProbe;
    /** When to probe the preferred replica; undefined while it is the current one. */
    private long failbackAt;

    /**
     * @param client a name unique to this client
     * @param replicas their addresses, at least one, without duplicates; the order of the list does not affect the preference
     */
    public ReplicaSelector(String client, List<String> replicas, RandomGenerator random) {
        if (replicas.isEmpty()) {
            throw new IllegalArgumentException("no replicas given");
        }
        this.random = random;
        order = IntStream.range(0, replicas.size()).boxed()
            .sorted(Comparator.<Integer>comparingLong(i -> weight(client, replicas.get(i))).thenComparing(replicas::get))
            .mapToInt(Integer::intValue).toArray();
        excludedUntil = new long[order.length];
        excluded = new boolean[order.length];
    }

    /** The first call after a start. It does not wait, as the client does not know yet whether its version is outdated. */
    public Call firstCall() {
        return call(0, 0, 0, false);
    }

    /** Returns the call to make after one that ended with this outcome at this time. */
    public Call nextCall(long now, Outcome outcome) {
        if (outcome instanceof Answered answered) {
            return answered(now, answered);
        }
        exclude(now, outcome);
        if (probing) {
            return call(current, 0, WAIT_MS, false);
        }
        failures++;
        return failover(now);
    }

    /** Number of consecutive failed calls since the last usable answer. */
    public int failures() {
        return failures;
    }

    // ---- answers ----

    private Call answered(long now, Answered answer) {
        failures = 0;
        excluded[order[lastCalled]] = false;
        if (answer.more()) {
            return call(lastCalled, 0, 0, probing);
        }
        long staleMs = answer.staleMs() < 0 ? Long.MAX_VALUE : answer.staleMs();
        if (!probing || isBetter(staleMs)) {
            select(now, lastCalled);
            currentStaleMs = staleMs;
        }
        if (currentStaleMs <= STALE_AFTER_MS) {
            freshnessProbeInterval = MIN_PROBE_INTERVAL;
        }
        int probe = probing ? -1 : probeTarget(now);
        return probe >= 0 ? call(probe, 0, 0, true) : call(current, 0, WAIT_MS, false);
    }

    /** Whether the answer to a probe makes its replica the current one. */
    private boolean isBetter(long staleMs) {
        boolean fresh = staleMs <= STALE_AFTER_MS;
        boolean preferred = lastCalled == 0;
        return fresh && (preferred || currentStaleMs > STALE_AFTER_MS) || staleMs < currentStaleMs / 2;
    }

    private void select(long now, int position) {
        if (position != current) {
            failbackAt = now + failbackDelay();
        }
        current = position;
    }

    private long failbackDelay() {
        return FAILBACK_DELAY + random.nextLong(FAILBACK_DELAY);
    }

    // ---- probes ----

    /** The position to probe now; -1 for none. */
    private int probeTarget(long now) {
        if (currentStaleMs > STALE_AFTER_MS && (nextFreshnessProbe == Long.MIN_VALUE || now - nextFreshnessProbe >= 0)) {
            int target = nextUsable(now, lastFreshnessProbe);
            if (target >= 0) {
                nextFreshnessProbe = now + freshnessProbeInterval;
                freshnessProbeInterval = Math.min(MAX_PROBE_INTERVAL, 2 * freshnessProbeInterval);
                lastFreshnessProbe = target;
            }
            return target;
        }
        if (current != 0 && now - failbackAt >= 0) {
            failbackAt = now + failbackDelay();
            return usable(now, 0) ? 0 : -1;
        }
        return -1;
    }

    /** The next usable position after this one that is not the current one; -1 for none. */
    private int nextUsable(long now, int position) {
        for (int step = 1; step <= order.length; step++) {
            int candidate = (position + step) % order.length;
            if (candidate != current && usable(now, candidate)) {
                return candidate;
            }
        }
        return -1;
    }

    private boolean usable(long now, int position) {
        int replica = order[position];
        return !excluded[replica] || now - excludedUntil[replica] >= 0;
    }

    // ---- failures ----

    private void exclude(long now, Outcome outcome) {
        int replica = order[lastCalled];
        long retryAfter = outcome instanceof Busy busy ? boundedRetryAfter(busy.retryAfterSeconds()) : 0;
        long exclusion = retryAfter > 0 ? retryAfter : outcome instanceof Behind || probing ? EXCLUSION : 0;
        excluded[replica] = exclusion > 0;
        excludedUntil[replica] = now + exclusion;
    }

    /** A Retry-After in nanoseconds, bounded; 0 if it is not usable. */
    private static long boundedRetryAfter(long seconds) {
        return seconds <= 0 ? 0 : Math.min(MAX_RETRY_AFTER, TimeUnit.SECONDS.toNanos(seconds));
    }

    /** A call to the next usable replica, or to the one whose exclusion ends first if all are excluded. */
    private Call failover(long now) {
        long backoff = Math.min(MAX_BACKOFF, INITIAL_BACKOFF << Math.min(MAX_DOUBLINGS, failures - 1));
        long delay = random.nextLong(backoff + 1);
        for (int step = 1; step <= order.length; step++) {
            int candidate = (lastCalled + step) % order.length;
            if (usable(now, candidate)) {
                return call(candidate, delay, 0, false);
            }
        }
        int earliest = 0;
        for (int candidate = 1; candidate < order.length; candidate++) {
            earliest = excludedUntil[order[candidate]] - excludedUntil[order[earliest]] < 0 ? candidate : earliest;
        }
        long remaining = excludedUntil[order[earliest]] - now + random.nextLong(RETRY_AFTER_JITTER);
        return call(earliest, Math.max(delay, remaining), 0, false);
    }

    private Call call(int position, long delay, int waitMs, boolean probe) {
        lastCalled = position;
        probing = probe;
        return new Call(order[position], delay, waitMs, probe);
    }

    // ---- order ----

    /** Rendezvous (highest-random-weight) hashing: each client has its own order, independent of the order of the list. */
    private static long weight(String client, String replica) {
        return mix(hash(client) + mix(hash(replica)));
    }

    /** FNV-1a over the characters. */
    private static long hash(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }

    /** The SplitMix64 finalizer, so that similar texts get unrelated weights. */
    private static long mix(long value) {
        long z = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
