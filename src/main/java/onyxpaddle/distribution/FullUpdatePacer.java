package onyxpaddle.distribution;

import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Rate-limits full updates, so that a fleet that needs them all at once does not saturate the machine's link: a token bucket of
 * bytes. A caller that is deferred is told when to come back and has a reservation for that time and {@link #GRACE_NANOS}
 * longer, so that callers are served in the order of their first request and none comes back in vain.
 *
 * <p>Over any time t, at most rate × (t + burst + grace) bytes plus one answer are admitted: in the worst case, reservations
 * not used on time are used together. Not thread-safe.
 */
public final class FullUpdatePacer {
    /**
     * How late a caller may use its reservation: Retry-After has whole seconds, and callers add a random delay of up to one
     * more.
     */
    public static final long GRACE_NANOS = 3_000_000_000L;
    /** The bucket size, as time at the rate. */
    public static final long BURST_NANOS = 250_000_000L;
    /** Maximum number of reservations; further callers are deferred without one. */
    public static final int MAX_RESERVATIONS = 8_192;

    private static final double NANOS = 1e9;

    /** Whether an answer may be sent now. */
    public sealed interface Decision permits Admitted, Deferred {
    }

    /** The answer may be sent now. */
    public record Admitted() implements Decision {
    }

    /** The answer is to be requested again after this time. */
    public record Deferred(long waitNanos) implements Decision {
    }

    private record Reservation(String caller, long at) {
    }

    private final double bytesPerSecond;
    private final Map<String, Reservation> reservations = new HashMap<>();
    private final PriorityQueue<Reservation> byTime = new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
    /** When everything admitted or reserved will have been sent at the rate. */
    private long busyUntil;
    private boolean started;

    /** @param bytesPerSecond greater than 0 */
    public FullUpdatePacer(long bytesPerSecond) {
        if (bytesPerSecond <= 0) {
            throw new IllegalArgumentException("invalid rate: " + bytesPerSecond + " bytes/s");
        }
        this.bytesPerSecond = bytesPerSecond;
    }

    /**
     * Decides whether a full update may be sent.
     *
     * @param caller who requests it; has at most one reservation at a time
     * @param now nanoseconds of a monotonic clock
     */
    public Decision request(String caller, long bytes, long now) {
        expireMissed(now);
        if (!started) {
            started = true;
            busyUntil = now;
        }
        Reservation reservation = reservations.get(caller);
        if (reservation != null) {
            if (reservation.at() > now) {
                return new Deferred(reservation.at() - now);
            }
            remove(reservation);
            return new Admitted();
        }
        long from = Math.max(busyUntil, now);
        long until = from + (long) Math.ceil(bytes / bytesPerSecond * NANOS);
        if (from - now <= BURST_NANOS) {
            busyUntil = until;
            return new Admitted();
        }
        if (reservations.size() < MAX_RESERVATIONS) {
            busyUntil = until;
            Reservation reserved = new Reservation(caller, from - BURST_NANOS);
            reservations.put(caller, reserved);
            byTime.add(reserved);
        }
        return new Deferred(from - BURST_NANOS - now);
    }

    public int reservationCount() {
        return reservations.size();
    }

    private void expireMissed(long now) {
        for (Reservation next = byTime.peek(); next != null && next.at() + GRACE_NANOS < now; next = byTime.peek()) {
            remove(next);
        }
    }

    private void remove(Reservation reservation) {
        reservations.remove(reservation.caller());
        byTime.remove(reservation);
    }
}
