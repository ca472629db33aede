package onyxpaddle.bgp;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import onyxpaddle.bgp.BgpMessage.Update;
import onyxpaddle.bgp.ServiceHealth.Status;

/**
 * What is said to which peer of one service address. It does no I/O and is handed the time.
 *
 * <ul>
 * <li><b>Up</b>: announced, once the hold-down is over. <b>Degraded</b>: announced with the degraded MED and communities, or withdrawn, as
 * configured; not withdrawn where the node is told to be the last announcer.
 * <li><b>Draining</b>: announced still, as one to use only where there is no other (GRACEFUL_SHUTDOWN, RFC 8326; local preference 0 or a
 * longer path), until the last request taken is answered; then withdrawn, at once.
 * <li><b>Down</b>: withdrawn, at once, drained or not.
 * </ul>
 *
 * <p>Invariants: nothing is announced while the address is down or emptied; a drain withdraws nothing before it is empty; and
 * in any minute a peer that stays gets at most 2 x {@code perMinute} + 2 updates: announcements and changes take from a
 * bucket, a withdrawal is free but needs an announcement before it. After each withdrawal the next announcement waits for a
 * hold-down that doubles while withdrawals follow each other (own flap damping), and halves with each quiet period of that length.
 */
public final class AnnouncePolicy {
    /** How an address stands with the node: what its pools allow, whether operators drain it, and whether it is empty. */
    public record AddressStatus(Status status, boolean draining, boolean empty) {
    }

    /**
     * How an address is announced.
     *
     * @param prefixes of either family
     * @param withdrawDegraded whether one that is degraded is withdrawn, {@code last} whether never for that alone
     * @param med in health, {@code degradedMed} otherwise; null for none
     * @param communities on each route, {@code degradedCommunities} besides where degraded
     * @param prepend how often the own number stands in the path while draining, towards other AS
     * @param holdDown after a withdrawal at first, in nanoseconds, {@code mostHoldDown} at last
     * @param perMinute announcements and changes a minute
     */
    public record Settings(List<Prefix> prefixes, boolean withdrawDegraded, boolean last, Long med, Long degradedMed,
            List<Integer> communities, List<Integer> degradedCommunities, int prepend, long holdDown, long mostHoldDown,
            int perMinute) {
        public Settings {
            prefixes = List.copyOf(prefixes);
            communities = List.copyOf(communities);
            degradedCommunities = List.copyOf(degradedCommunities);
        }
    }

    /**
     * A peer whose session stands.
     *
     * @param as the own number, {@code internal}: the peer has the same
     * @param nextHop4 for IPv4 routes, null where none are sent; {@code nextHop6} for IPv6
     */
    public record Peer(String name, long as, boolean internal, byte[] nextHop4, byte[] nextHop6) {
    }

    /** An UPDATE for a peer. */
    public record Order(String peer, Update update) {
    }

    /** The manner in which an address is announced, from best to none. */
    private enum Manner { USUAL, DEGRADED, DRAINING, WITHDRAWN }

    private static final long MINUTE = 60_000_000_000L;
    /** Preference of a route that should be used only where there is no other, and of any other (RFC 8326; RFC 4271, 5.1.5). */
    private static final long LAST_PREFERENCE = 0;
    private static final long USUAL_PREFERENCE = 100;

    private final Settings terms;
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    /** What each peer was told last; absent for nothing. */
    private final Map<String, Manner> told = new HashMap<>();
    private Manner manner = Manner.WITHDRAWN;
    private AddressStatus standing = new AddressStatus(Status.DOWN, false, true);
    private double bucket;
    private long bucketAt;
    private long holdDown;
    private long holdUntil = Long.MIN_VALUE;
    private long withdrawnAt = Long.MIN_VALUE;
    private long updates;
    private final List<Order> orders = new ArrayList<>();

    public AnnouncePolicy(Settings terms, long now) {
        this.terms = terms;
        bucket = terms.perMinute();
        bucketAt = now;
        holdDown = terms.holdDown();
    }

    /** Whether peers are told to send traffic here, in whatever manner. */
    public boolean announced() {
        return manner != Manner.WITHDRAWN;
    }

    /** How it is announced, for people. */
    public String modeName() {
        return manner.name().toLowerCase(java.util.Locale.ROOT);
    }

    /** What it announces where it does. */
    public List<Prefix> prefixes() {
        return terms.prefixes();
    }

    /** UPDATEs sent so far, to all peers. */
    public long updates() {
        return updates;
    }

    /** What is left of the hold-down at this time, in nanoseconds; handed on over a restart, so that a crash loop is damped. */
    public long holdDown() {
        return holdDown;
    }

    /** Goes on from the damping of the process before. */
    public void recall(long earlierHoldDown, long holdDownRemaining, long now) {
        holdDown = Math.max(terms.holdDown(), Math.min(terms.mostHoldDown(), earlierHoldDown));
        holdUntil = now + Math.max(0, Math.min(terms.mostHoldDown(), holdDownRemaining));
    }

    /** How much longer it is not announced, whatever comes. */
    public long holdDownRemaining(long now) {
        return holdUntil <= now ? 0 : holdUntil - now;
    }

    /** All of its state at a time, in hundredths of a second and of an update, for tests that explore it. */
    String state(long now) {
        long quiet = withdrawnAt == Long.MIN_VALUE ? -1 : (now - withdrawnAt) / 10_000_000L;
        return manner + " " + told + " " + Math.round(100 * bucket) + " " + (now - bucketAt) / 10_000_000L + " "
            + holdDown / 10_000_000L + " " + holdDownRemaining(now) / 10_000_000L + " " + quiet;
    }

    // ---- what happens ----

    public List<Order> stands(AddressStatus now, long nowNanos) {
        standing = now;
        return settle(nowNanos);
    }

    /** A session has come to stand: the peer is told what holds. */
    public List<Order> up(Peer peer, long now) {
        peers.put(peer.name(), peer);
        told.remove(peer.name());
        settle(now);
        if (manner != Manner.WITHDRAWN && !told.containsKey(peer.name())) {
            tell(peer);
        }
        return List.copyOf(orders);
    }

    /** A session has ended: the peer has forgotten what it was told. */
    public void down(String peer) {
        peers.remove(peer);
        told.remove(peer);
    }

    /** The peer asks for all again (RFC 2918). */
    public List<Order> refresh(String peer) {
        orders.clear();
        if (peers.containsKey(peer) && told.containsKey(peer)) {
            tell(peers.get(peer));
        }
        return List.copyOf(orders);
    }

    /** Looks again, as time may allow what it did not. */
    public List<Order> timers(long now) {
        return settle(now);
    }

    // ---- what is said ----

    private Manner wanted() {
        if (standing.status() == Status.DOWN) {
            return Manner.WITHDRAWN;
        } else if (standing.draining()) {
            // Nothing new is announced by a node that is being emptied.
            return standing.empty() || manner == Manner.WITHDRAWN ? Manner.WITHDRAWN : Manner.DRAINING;
        } else if (standing.status() == Status.DEGRADED) {
            return terms.withdrawDegraded() && !terms.last() ? Manner.WITHDRAWN : Manner.DEGRADED;
        }
        return Manner.USUAL;
    }

    private List<Order> settle(long now) {
        orders.clear();
        fill(now);
        Manner wanted = wanted();
        if (wanted == manner) {
            return List.of();
        }
        if (wanted == Manner.WITHDRAWN) {
            withdraw(now);
        } else if (manner == Manner.WITHDRAWN) {
            if (now >= holdUntil && take()) {
                change(wanted);
            }
        } else if (wanted == Manner.DRAINING || take()) {
            // A drain that has begun is said whatever the bucket holds: it ends in a withdrawal, so it has one of its own.
            change(wanted);
        }
        return List.copyOf(orders);
    }

    private void fill(long now) {
        bucket = Math.min(terms.perMinute(), bucket + (double) (now - bucketAt) * terms.perMinute() / MINUTE);
        bucketAt = now;
    }

    private boolean take() {
        if (bucket < 1) {
            return false;
        }
        bucket--;
        return true;
    }

    private void change(Manner to) {
        manner = to;
        peers.values().forEach(this::tell);
    }

    private void withdraw(long now) {
        calm(now);
        manner = Manner.WITHDRAWN;
        for (Peer peer : peers.values()) {
            if (told.remove(peer.name()) != null) {
                for (boolean six : new boolean[] {false, true}) {
                    List<Prefix> gone = of(six);
                    if (!gone.isEmpty() && nextHop(peer, six) != null) {
                        send(peer, new Update(gone, List.of(), null));
                    }
                }
            }
        }
        holdUntil = now + holdDown;
        withdrawnAt = now;
        holdDown = Math.min(terms.mostHoldDown(), 2 * holdDown);
    }

    /** Quiet since the last withdrawal lets the hold-down shrink again. */
    private void calm(long now) {
        if (withdrawnAt != Long.MIN_VALUE) {
            for (long quiet = now - withdrawnAt; quiet >= 2 * holdDown && holdDown > terms.holdDown(); quiet -= 2 * holdDown) {
                holdDown = Math.max(terms.holdDown(), holdDown / 2);
            }
        }
    }

    private void tell(Peer peer) {
        told.put(peer.name(), manner);
        for (boolean six : new boolean[] {false, true}) {
            List<Prefix> come = of(six);
            if (!come.isEmpty() && nextHop(peer, six) != null) {
                send(peer, new Update(List.of(), come, attributes(peer, six)));
            }
        }
    }

    private void send(Peer peer, Update update) {
        updates++;
        orders.add(new Order(peer.name(), update));
    }

    private List<Prefix> of(boolean six) {
        return terms.prefixes().stream().filter(p -> p.six() == six).toList();
    }

    private static byte[] nextHop(Peer peer, boolean six) {
        return six ? peer.nextHop6() : peer.nextHop4();
    }

    private PathAttributes attributes(Peer peer, boolean six) {
        boolean draining = manner == Manner.DRAINING;
        boolean degraded = manner == Manner.DEGRADED;
        List<Long> path = new ArrayList<>();
        if (!peer.internal()) {
            path.add(peer.as());
            for (int i = 0; i < terms.prepend() && draining; i++) {
                path.add(peer.as());
            }
        }
        List<Integer> communities = new ArrayList<>(terms.communities());
        if (degraded) {
            communities.addAll(terms.degradedCommunities());
        }
        if (draining) {
            communities.add(PathAttributes.GRACEFUL_SHUTDOWN);
        }
        return new PathAttributes(path, Objects.requireNonNull(nextHop(peer, six)),
            peer.internal() ? draining ? LAST_PREFERENCE : USUAL_PREFERENCE : null, degraded ? terms.degradedMed() : terms.med(), communities);
    }
}
