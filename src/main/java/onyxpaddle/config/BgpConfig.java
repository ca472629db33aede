package onyxpaddle.config;

import java.util.List;
import java.util.Map;

/**
 * The validated section {@code bgp}: what a node announces and to which peers. Spans are in nanoseconds, hold times in seconds.
 *
 * @param as the local AS number
 * @param identifier the BGP identifier, as an unsigned 32-bit number
 * @param listen where peers may connect; null if the node accepts no BGP connections
 */
public record BgpConfig(long as, long identifier, HostPort listen, Map<String, Peer> peers, Map<String, Service> addresses) {
    /**
     * A router with which the node has a session.
     *
     * @param local the source address of outgoing connections; null to let the system choose
     * @param nextHop4 the next hop of IPv4 routes; null if there is none
     * @param nextHop6 the next hop of IPv6 routes; null if there is none
     * @param maxPrefixes the number of prefixes that the peer may announce
     */
    public record Peer(String name, HostPort address, long as, String local, String nextHop4, String nextHop6, int holdTime,
            boolean passive, int maxPrefixes, long connectRetry) {
    }

    /**
     * A service address and the pools whose state decides whether it is announced.
     *
     * @param anyPool whether one healthy pool is enough; otherwise all of them are needed
     * @param withdrawDegraded whether routes are withdrawn, rather than deprioritised, while the service is degraded
     * @param lastAnnouncer whether routes are kept while the service is only degraded, as no other node announces them
     * @param holdDown the initial delay between a withdrawal and the next announcement
     * @param maxHoldDown the limit to which that delay grows
     * @param updatesPerMinute the limit on announcements and attribute changes; withdrawals do not count
     * @param degradedBelow the share of served requests below which a pool is degraded
     * @param downBelow the share of served requests below which a pool is down
     * @param dwell the minimum time in a state before the service moves to a better one
     */
    public record Service(String name, List<String> prefixes, List<String> pools, boolean anyPool, boolean withdrawDegraded,
            boolean lastAnnouncer, Long med, Long degradedMed, List<Integer> communities, List<Integer> degradedCommunities, int prepend,
            long holdDown, long maxHoldDown, int updatesPerMinute, double degradedBelow, double downBelow, long dwell) {
    }
}
