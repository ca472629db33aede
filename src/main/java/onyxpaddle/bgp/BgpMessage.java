package onyxpaddle.bgp;

import java.util.List;

/** The messages of BGP-4 (RFC 4271, 4; RFC 2918), as a session means them. Numbers are unsigned in the place they have. */
public sealed interface BgpMessage {
    /** The most bytes of a message with its header (RFC 4271, 4.1); extended messages (RFC 8654) are not offered. */
    int LARGEST = 4096;
    /** Marker, length and type. */
    int HEADER = 19;
    int VERSION = 4;
    /** Stands in an OPEN's two octets for a number that needs four (RFC 6793). */
    int AS_TRANS = 23456;

    /**
     * An OPEN.
     *
     * @param as the sender's number, from the four-octet capability where it has one
     * @param holdTime in seconds: 0, or at least 3
     * @param identifier four octets
     * @param capabilities those understood; others are passed over (RFC 5492, 3)
     */
    record Open(int version, long as, int holdTime, long identifier, Capabilities capabilities) implements BgpMessage {
    }

    /** What an OPEN offers: four-octet AS numbers (RFC 6793), IPv4 and IPv6 unicast (RFC 4760), route refresh (RFC 2918). */
    record Capabilities(boolean fourOctetAs, boolean ipv4, boolean ipv6, boolean refresh) {
        /** All that this speaker knows. Graceful restart (RFC 4724) is not among them, on purpose. */
        public static final Capabilities OWN = new Capabilities(true, true, true, true);
    }

    /** An UPDATE of this speaker: prefixes of one family that go, or that come with one set of attributes. */
    record Update(List<Prefix> withdrawn, List<Prefix> announced, PathAttributes attributes) implements BgpMessage {
        public Update {
            withdrawn = List.copyOf(withdrawn);
            announced = List.copyOf(announced);
        }

        /** Whether it says that a family's first table is whole (RFC 4724, 2), which is sent here for IPv4 alone. */
        public boolean endOfRib() {
            return withdrawn.isEmpty() && announced.isEmpty();
        }
    }

    /** A NOTIFICATION: an error code, its subcode, and what was at fault; the session ends with it. */
    record Notification(int code, int subcode, byte[] data) implements BgpMessage {
        public Notification(ErrorCode error) {
            this(error, new byte[0]);
        }

        public Notification(ErrorCode error, byte[] data) {
            this(error.code, error.subcode, data);
        }

        @Override
        public String toString() {
            return ErrorCode.told(code, subcode);
        }
    }

    /** A KEEPALIVE. */
    record Keepalive() implements BgpMessage {
    }

    /** A ROUTE-REFRESH: the peer asks for all of a family again. */
    record RouteRefresh(int afi, int safi) implements BgpMessage {
    }

    /**
     * An UPDATE of the peer: checked, counted, and not used.
     *
     * @param fault what made it one that counts as withdrawn (RFC 7606), null for none
     */
    record Heard(int announced, int withdrawn, String fault) implements BgpMessage {
    }
}
