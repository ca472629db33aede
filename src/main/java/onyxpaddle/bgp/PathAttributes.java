package onyxpaddle.bgp;

import java.util.Arrays;
import java.util.List;

/**
 * What a route of this speaker says of itself (RFC 4271, 5; RFC 1997).
 *
 * @param asPath the numbers, nearest first; empty towards peers of the own AS
 * @param nextHop 4 octets, or 16 for IPv6
 * @param localPreference for peers of the own AS; null elsewhere
 * @param med MULTI_EXIT_DISC; null for none
 * @param communities each four octets
 */
public record PathAttributes(List<Long> asPath, byte[] nextHop, Long localPreference, Long med, List<Integer> communities) {
    /** Routes that bear it should be used only where there is no other (RFC 8326). */
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
