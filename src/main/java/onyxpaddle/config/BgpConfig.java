package onyxpaddle.config;

import java.util.List;
import java.util.Map;

/**
 * What a node says of its services by BGP, sound. Spans in nanoseconds but for hold times, which are in seconds.
 *
 * @param as the own number, {@code identifier} four octets
 * @param listen where peers may connect; null where none does
 */
public record BgpConfig(long as, long identifier, HostPort listen, Map<String, Peer> peers, Map<String, Service> addresses) {
    /**
     * A router.
     *
     * @param local the address to dial from; null for whatever the system takes
     * @param nextHop4 what IPv4 routes to it name, {@code nextHop6} IPv6 ones; null for none
     * @param maxPrefixes that it may announce
     */
    public record Peer(String name, HostPort address, long as, String local, String nextHop4, String nextHop6, int holdTime,
            boolean passive, int maxPrefixes, long connectRetry) {
    }

    /**
     * A service address and what it stands for.
     *
     * @param anyPool whether one of the pools is enough; else it takes all of them
     * @param withdrawDegraded whether it is withdrawn where merely degraded, {@code lastAnnouncer}: never for that alone
     * @param holdDown after a withdrawal at first, {@code maxHoldDown} at last
     * @param updatesPerMinute announcements and changes a minute
     * @param degradedBelow the share served under which a pool is degraded, {@code downBelow} under which it is down
     */
    public record Service(String name, List<String> prefixes, List<String> pools, boolean anyPool, boolean withdrawDegraded,
            boolean lastAnnouncer, Long med, Long degradedMed, List<Integer> communities, List<Integer> degradedCommunities, int prepend,
            long holdDown, long maxHoldDown, int updatesPerMinute, double degradedBelow, double downBelow, long dwell) {
    }
}
