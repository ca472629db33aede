package onyxpaddle.bgp;

import java.util.Arrays;
import java.util.List;

/**
 * Path attributes of a route announced by this speaker (RFC 4271, 5; RFC 1997).
 *
 * @param asPath AS numbers, nearest first; empty towards internal peers
 * @param nextHop 4 octets for IPv4, 16 for IPv6
 * @param localPreference for internal peers; null for external ones
 * @param med MULTI_EXIT_DISC; null for none
 * @param communities four octets each
 */
public record PathAttributes(List<Long> asPath, byte[] nextHop, Long localPreference, Long med, List<Integer> communities) {
    /** Well-known community: use the route only if there is no other (RFC 8326). */
    public static final int GRACEFUL_SHUTDOWN = 0xFFFF0000;

    public PathAttributes {
        asPath = List.copyOf(asPath);
        communities = List.copyOf(communities);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PathAttributes o && asPath.equals(o.asPath) && Arrays.equals(nextHop, o.nextHop)
            && java.util.Objects.equals(localPreference, o.localPreference) && java.util.Objects.equals(med, o.med)
            && communities.equals(o.communities);
    }

    @Override
    public int hashCode() {
        return 31 * asPath.hashCode() + Arrays.hashCode(nextHop);
    }
}
