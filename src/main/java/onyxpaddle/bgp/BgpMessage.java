package onyxpaddle.bgp;

import java.util.List;

/** The messages of BGP-4 (RFC 4271, 4; RFC 2918) in decoded form. Integer fields hold the unsigned value from the wire. */
public sealed interface BgpMessage {
    /** Maximum message length including the header (RFC 4271, 4.1); extended messages (RFC 8654) are not offered. */
    int MAX_LENGTH = 4096;
    /** Header length: marker, length and type. */
    int HEADER = 19;
    int VERSION = 4;
    /** Placeholder in the two-octet AS field of an OPEN for a four-octet AS number (RFC 6793). */
    int AS_TRANS = 23456;

    /**
     * An OPEN message.
     *
     * @param as the sender's AS number, taken from the four-octet capability if present
     * @param holdTime in seconds: 0, or at least 3
     * @param identifier BGP identifier, four octets
     * @param capabilities the recognized ones; others are ignored (RFC 5492, 3)
     */
    record Open(int version, long as, int holdTime, long identifier, Capabilities capabilities) implements BgpMessage {
    }

    /** Capabilities in an OPEN: four-octet AS numbers (RFC 6793), IPv4 and IPv6 unicast (RFC 4760), route refresh (RFC 2918). */
    record Capabilities(boolean fourOctetAs, boolean ipv4, boolean ipv6, boolean refresh) {
        /** All capabilities that this speaker supports. Graceful restart (RFC 4724) is deliberately not offered. */
        public static final Capabilities OWN = new Capabilities(true, true, true, true);
    }

    /**
     * An UPDATE sent by this speaker: withdrawn or announced prefixes of one address family, the latter with shared attributes.
     */
    record Update(List<Prefix> withdrawn, List<Prefix> announced, PathAttributes attributes) implements BgpMessage {
        public Update {
            withdrawn = List.copyOf(withdrawn);
            announced = List.copyOf(announced);
        }

        /** Whether this is an End-of-RIB marker (RFC 4724, 2), which is sent for IPv4 only. */
        public boolean endOfRib() {
            return withdrawn.isEmpty() && announced.isEmpty();
        }
    }

    /** A NOTIFICATION with error code, subcode and data; it ends the session. */
    record Notification(int code, int subcode, byte[] data) implements BgpMessage {
        public Notification(ErrorCode error) {
            this(error, new byte[0]);
        }

        public Notification(ErrorCode error, byte[] data) {
            this(error.code, error.subcode, data);
        }

        @Override
        public String toString() {
            return ErrorCode.describe(code, subcode);
        }
    }

    record Keepalive() implements BgpMessage {
    }

    /** A ROUTE-REFRESH: requests all routes of an address family again. */
    record RouteRefresh(int afi, int safi) implements BgpMessage {
    }

    /**
     * An UPDATE received from the peer: validated and counted, but its routes are not used.
     *
     * @param fault why the UPDATE is treated as a withdrawal (RFC 7606); null if it is valid
     */
    record ReceivedUpdate(int announced, int withdrawn, String fault) implements BgpMessage {
    }
}
