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
 * Decides which UPDATEs are sent to each peer for one service address. Does no I/O; the caller passes in the time.
 *
 * <ul>
 * <li><b>Up</b>: announced once the hold-down has expired.
 * <li><b>Degraded</b>: announced with the degraded MED and communities, or withdrawn, as configured; never withdrawn for
 * degradation alone when the node is configured as the last announcer.
 * <li><b>Draining</b>: still announced, but as a route of last resort (GRACEFUL_SHUTDOWN, RFC 8326; local preference 0 or a
 * longer AS path), until the last accepted request is answered; then withdrawn at once.
 * <li><b>Down</b>: withdrawn at once, whether drained or not.
 * </ul>
 *
 * <p>Invariants: nothing is announced while the address is down or fully drained; a drain withdraws nothing before all requests
 * are answered; and a peer whose session stays up gets at most 2 x {@code updatesPerMinute} + 2 updates in any minute:
 * announcements and changes take a token from a bucket, while a withdrawal takes none but requires a preceding announcement.
 * After each withdrawal the next announcement waits for a hold-down, which doubles with each successive withdrawal (flap damping
 * on the sending side) and halves for every quiet period of twice its length.
 */
public final class AnnouncePolicy {
    /**
     * Status of an address on this node: health of its pools, whether the node is draining, and whether no request is pending.
     */
    public record AddressStatus(Status health, boolean draining, boolean empty) {
    }

    /**
     * How an address is announced.
     *
     * @param prefixes of either address family
     * @param withdrawDegraded whether a degraded address is withdrawn; {@code lastAnnouncer} overrides this
     * @param med MED while healthy, {@code degradedMed} while degraded; null for none
     * @param communities set on every route; {@code degradedCommunities} are added while degraded
     * @param prepend how many extra times the local AS is prepended to the path while draining, towards external peers
     * @param holdDown initial hold-down after a withdrawal, in nanoseconds; grows up to {@code maxHoldDown}
     * @param updatesPerMinute announcements and changes per minute
     */
    public record Settings(List<Prefix> prefixes, boolean withdrawDegraded, boolean lastAnnouncer, Long med, Long degradedMed,
            List<Integer> communities, List<Integer> degradedCommunities, int prepend, long holdDown, long maxHoldDown,
            int updatesPerMinute) {
        public Settings {
            prefixes = List.copyOf(prefixes);
            communities = List.copyOf(communities);
            degradedCommunities = List.copyOf(degradedCommunities);
        }
    }

    /**
     * A peer with an established session.
     *
     * @param as the local AS number; {@code internal}: the peer is in the same AS
     * @param nextHop4 next hop of IPv4 routes, null if none are sent; {@code nextHop6} for IPv6
     */
    public record Peer(String name, long as, boolean internal, byte[] nextHop4, byte[] nextHop6) {
    }

    public record PeerUpdate(String peer, Update update) {
    }

    /** How an address is currently announced, from most to least preferred. */
    private enum Mode { USUAL, DEGRADED, DRAINING, WITHDRAWN }

    private static final long MINUTE = 60_000_000_000L;
    /**
     * LOCAL_PREF of a draining route, to be used only if there is no other, and of any other route (RFC 8326; RFC 4271, 5.1.5).
     */
    private static final long SHUTDOWN_LOCAL_PREF = 0;
    private static final long DEFAULT_LOCAL_PREF = 100;

    private final Settings settings;
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    /** The mode last advertised to each peer; no entry if nothing is advertised. */
    private final Map<String, Mode> advertisedModes = new HashMap<>();
    private Mode mode = Mode.WITHDRAWN;
    private AddressStatus status = new AddressStatus(Status.DOWN, false, true);
    private double bucket;
    private long bucketRefilledAt;
    private long holdDown;
    private long holdDownUntil = Long.MIN_VALUE;
    private long withdrawnAt = Long.MIN_VALUE;
    private long updatesSent;
    private final List<PeerUpdate> pending = new ArrayList<>();

    public AnnouncePolicy(Settings settings, long now) {
        this.settings = settings;
        bucket = settings.updatesPerMinute();
        bucketRefilledAt = now;
        holdDown = settings.holdDown();
    }

    /** Whether the address is announced to peers, in any mode. */
    public boolean announced() {
        return mode != Mode.WITHDRAWN;
    }

    /** The current mode in lower case, for reports and logs. */
    public String modeName() {
        return mode.name().toLowerCase(java.util.Locale.ROOT);
    }

    /** The prefixes announced for this address. */
    public List<Prefix> prefixes() {
        return settings.prefixes();
    }

    /** Number of UPDATEs sent so far, to all peers. */
    public long updatesSent() {
        return updatesSent;
    }

    /**
     * The hold-down that the next withdrawal starts, in nanoseconds; passed on across a restart so that a crash loop is damped.
     */
    public long holdDown() {
        return holdDown;
    }

    /** Restores the damping state of the previous process. */
    public void restoreDamping(long earlierHoldDown, long holdDownRemaining, long now) {
        holdDown = Math.max(settings.holdDown(), Math.min(settings.maxHoldDown(), earlierHoldDown));
        holdDownUntil = now + Math.max(0, Math.min(settings.maxHoldDown(), holdDownRemaining));
    }

    /** Remaining time during which the address is not announced, whatever its status. */
    public long holdDownRemaining(long now) {
        return holdDownUntil <= now ? 0 : holdDownUntil - now;
    }

    /**
     * The complete state at a given time, with times in 1/100 s and tokens in hundredths, for tests that explore the state
     * space.
     */
    String stateForTest(long now) {
        long quiet = withdrawnAt == Long.MIN_VALUE ? -1 : (now - withdrawnAt) / 10_000_000L;
        return mode + " " + advertisedModes + " " + Math.round(100 * bucket) + " " + (now - bucketRefilledAt) / 10_000_000L + " "
            + holdDown / 10_000_000L + " " + holdDownRemaining(now) / 10_000_000L + " " + quiet;
    }

    // ---- events ----

    public List<PeerUpdate> updateStatus(AddressStatus now, long nowNanos) {
        status = now;
        return reconcile(nowNanos);
    }

    /** Called when a session is established; sends the peer the current announcement. */
    public List<PeerUpdate> sessionUp(Peer peer, long now) {
        peers.put(peer.name(), peer);
        advertisedModes.remove(peer.name());
        reconcile(now);
        if (mode != Mode.WITHDRAWN && !advertisedModes.containsKey(peer.name())) {
            announceTo(peer);
        }
        return List.copyOf(pending);
    }

    /** Called when a session has ended; the peer has dropped all routes of this speaker. */
    public void sessionDown(String peer) {
        peers.remove(peer);
        advertisedModes.remove(peer);
    }

    /** Handles a ROUTE-REFRESH request (RFC 2918). */
    public List<PeerUpdate> refresh(String peer) {
        pending.clear();
        if (peers.containsKey(peer) && advertisedModes.containsKey(peer)) {
            announceTo(peers.get(peer));
        }
        return List.copyOf(pending);
    }

    /** Applies changes that the hold-down or the rate limit had deferred. */
    public List<PeerUpdate> timers(long now) {
        return reconcile(now);
    }

    // ---- decisions ----

    private Mode targetMode() {
        if (status.health() == Status.DOWN) {
            return Mode.WITHDRAWN;
        } else if (status.draining()) {
            // A draining node starts no new announcement.
            return status.empty() || mode == Mode.WITHDRAWN ? Mode.WITHDRAWN : Mode.DRAINING;
        } else if (status.health() == Status.DEGRADED) {
            return settings.withdrawDegraded() && !settings.lastAnnouncer() ? Mode.WITHDRAWN : Mode.DEGRADED;
        }
        return Mode.USUAL;
    }

    private List<PeerUpdate> reconcile(long now) {
        pending.clear();
        refillBucket(now);
        Mode targetMode = targetMode();
        if (targetMode == mode) {
            return List.of();
        }
        if (targetMode == Mode.WITHDRAWN) {
            withdraw(now);
        } else if (mode == Mode.WITHDRAWN) {
            if (now >= holdDownUntil && takeToken()) {
                changeMode(targetMode);
            }
        } else if (targetMode == Mode.DRAINING || takeToken()) {
            // Entering the draining mode is not rate limited: a drain ends in a withdrawal, so each one is preceded by an
            // announcement that took a token.
            changeMode(targetMode);
        }
        return List.copyOf(pending);
    }

    private void refillBucket(long now) {
        bucket = Math.min(settings.updatesPerMinute(), bucket + (double) (now - bucketRefilledAt) * settings.updatesPerMinute() / MINUTE);
        bucketRefilledAt = now;
    }

    private boolean takeToken() {
        if (bucket < 1) {
            return false;
        }
        bucket--;
        return true;
    }

    private void changeMode(Mode to) {
        mode = to;
        peers.values().forEach(this::announceTo);
    }

    private void withdraw(long now) {
        decayHoldDown(now);
        mode = Mode.WITHDRAWN;
        for (Peer peer : peers.values()) {
            if (advertisedModes.remove(peer.name()) != null) {
                for (boolean ipv6 : new boolean[] {false, true}) {
                    List<Prefix> withdrawn = prefixesOf(ipv6);
                    if (!withdrawn.isEmpty() && nextHop(peer, ipv6) != null) {
                        send(peer, new Update(withdrawn, List.of(), null));
                    }
                }
            }
        }
        holdDownUntil = now + holdDown;
        withdrawnAt = now;
        holdDown = Math.min(settings.maxHoldDown(), 2 * holdDown);
    }

    /** Halves the hold-down for each quiet period since the last withdrawal. */
    private void decayHoldDown(long now) {
        if (withdrawnAt != Long.MIN_VALUE) {
            for (long quiet = now - withdrawnAt; quiet >= 2 * holdDown && holdDown > settings.holdDown(); quiet -= 2 * holdDown) {
                holdDown = Math.max(settings.holdDown(), holdDown / 2);
            }
        }
    }

    private void announceTo(Peer peer) {
        advertisedModes.put(peer.name(), mode);
        for (boolean ipv6 : new boolean[] {false, true}) {
            List<Prefix> announced = prefixesOf(ipv6);
            if (!announced.isEmpty() && nextHop(peer, ipv6) != null) {
                send(peer, new Update(List.of(), announced, attributes(peer, ipv6)));
            }
        }
    }

    private void send(Peer peer, Update update) {
        updatesSent++;
        pending.add(new PeerUpdate(peer.name(), update));
    }

    private List<Prefix> prefixesOf(boolean ipv6) {
        return settings.prefixes().stream().filter(p -> p.ipv6() == ipv6).toList();
    }

    private static byte[] nextHop(Peer peer, boolean ipv6) {
        return ipv6 ? peer.nextHop6() : peer.nextHop4();
    }

    private PathAttributes attributes(Peer peer, boolean ipv6) {
        boolean draining = mode == Mode.DRAINING;
        boolean degraded = mode == Mode.DEGRADED;
        List<Long> path = new ArrayList<>();
        if (!peer.internal()) {
            path.add(peer.as());
            for (int i = 0; i < settings.prepend() && draining; i++) {
                path.add(peer.as());
            }
        }
        List<Integer> communities = new ArrayList<>(settings.communities());
        if (degraded) {
            communities.addAll(settings.degradedCommunities());
        }
        if (draining) {
            communities.add(PathAttributes.GRACEFUL_SHUTDOWN);
        }
        return new PathAttributes(path, Objects.requireNonNull(nextHop(peer, ipv6)),
            peer.internal() ? draining ? SHUTDOWN_LOCAL_PREF : DEFAULT_LOCAL_PREF : null,
            degraded ? settings.degradedMed() : settings.med(), communities);
    }
}
