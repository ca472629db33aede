package onyxpaddle.scale;

import java.io.Serializable;

/**
 * A line of a list.
 *
 * @param host the server's name
 * @param dial where it is reached, {@code ADDRESS:PORT}
 * @param site its zone
 * @param health how it stands
 * @param bornMs when it last started, Unix time in milliseconds; 0 for long ago
 */
public record ListedServer(String host, String dial, String site, Health health, long bornMs) implements Serializable {
    /** As the platform words it, in lower case. */
    public enum Health { READY, DRAINING, GONE }

    /** The same server, in another state. */
    ListedServer with(Health next) {
        return new ListedServer(host, dial, site, next, bornMs);
    }

    /** The same server, started anew at that Unix time. */
    ListedServer started(long unixMs) {
        return new ListedServer(host, dial, site, Health.READY, unixMs);
    }
}
